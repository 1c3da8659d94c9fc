import { expect } from 'chai';
import fc from 'fast-check';

import { SeededRandom } from '@bronzelift/common';

import { LearnedSlowdown, WeightedSplit, rankPlacements } from '../src/index.js';
import type { PlacementCandidate, PlacementRequest } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const createCandidate = (
  instanceId: string,
  fields: Partial<PlacementCandidate> = {},
): PlacementCandidate => ({
  instanceId,
  slots: 4,
  report: { running: 1, waiting: 0, slots: 4, slowdown: 1, atMs: 1_000 },
  sentSinceReport: 0,
  ownInFlight: 0,
  learnedSlowdown: 1,
  failureShare: 0,
  isLocalDomain: true,
  ...fields,
});

const request: PlacementRequest = { workMs: 60, meanSlowdown: 2.4, reservedSlots: 0, nowMs: 1_010 };

const first = (...candidates: PlacementCandidate[]): string =>
  rankPlacements(candidates, request, SeededRandom.create(1))[0]!.candidate.instanceId;

const report = (running: number, slowdown: number, atMs = 1_000) => ({
  running,
  waiting: 0,
  slots: 4,
  slowdown,
  atMs,
});

describe('placement', () => {
  // Guards against sending to an instance with a high slowdown, which takes five times as long.
  it('prefers an instance at slowdown 1 to an idle one with a high slowdown', () => {
    const slow = createCandidate('slow', { report: report(0, 5) });
    expect(first(slow, createCandidate('usual', { report: report(2, 1) }))).to.equal('usual');
  });

  // Guards against relying on a reported slowdown that has changed since.
  it('treats an old report of a low slowdown almost like the mean slowdown', () => {
    const old = createCandidate('old', { report: report(0, 1, 200) });
    expect(first(old, createCandidate('recent'))).to.equal('recent');
  });

  // Guards against sending a burst of requests to an instance that was idle at its last report.
  it('counts requests sent since the report as occupied slots', () => {
    const used = createCandidate('used', { report: report(0, 1), sentSinceReport: 4 });
    expect(first(used, createCandidate('other', { report: report(2, 1) }))).to.equal('other');
    const [estimate] = rankPlacements([used], request, SeededRandom.create(1));
    expect(estimate!.freeSlots).to.equal(0);
  });

  // Guards against the decay of a report that makes part of a slot of a full instance seem free.
  it('treats a full instance as full while its report is recent', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 35 }),
        fc.integer({ min: 1, max: 8 }),
        (ageMs, slots) => {
          const full = createCandidate('full', {
            slots,
            report: { running: slots, waiting: 0, slots, slowdown: 1, atMs: request.nowMs - ageMs },
          });
          const [estimate] = rankPlacements([full], request, SeededRandom.create(1));
          expect(estimate!.freeSlots).to.be.at.most(0);
        },
      ),
      seedOption,
    );
  });

  // Guards against billed traffic between failure domains that saves no time.
  it('prefers an instance in the same failure domain unless a remote instance is much better', () => {
    const remote = { isLocalDomain: false };
    expect(first(createCandidate('far', remote), createCandidate('near'))).to.equal('near');
    const near = createCandidate('near', { report: report(0, 5) });
    expect(first(createCandidate('far', remote), near)).to.equal('far');
  });

  // Guards against an instance that passes its health check but fails its requests.
  it('avoids an instance with recent failures', () => {
    const failingInstance = createCandidate('grey', { report: report(0, 1), failureShare: 0.25 });
    expect(first(failingInstance, createCandidate('sound', { report: report(2, 1) }))).to.equal(
      'sound',
    );
  });

  it('learns the factor by which responses exceed their expected time, until a reset', () => {
    const tracker = LearnedSlowdown.create();
    for (let index = 0; index < 30; index += 1) tracker.recordResponse(300, 60);
    expect(tracker.value).to.be.closeTo(5, 0.2);
    tracker.reset();
    expect(tracker.value).to.equal(1);
  });
});

describe('WeightedSplit', () => {
  // Guards against shares that differ from the weights over a few hundred requests.
  it('gives each part its share of any 100 requests, to within 3 requests', () => {
    const weights = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 2, maxLength: 4 });
    fc.assert(
      fc.property(weights, fc.double({ min: 0, max: 1, noNaN: true }), (given, offset) => {
        const parts = given.map((weight, index) => ({ service: `s${index}`, weight }));
        const total = given.reduce((sum, weight) => sum + weight, 0);
        const split = WeightedSplit.create(parts, offset);
        const chosen = Array.from({ length: 300 }, () => split.next());
        parts.forEach(({ service, weight }) => {
          const window = chosen.slice(150, 250).filter((name) => name === service).length;
          expect(Math.abs(window / 100 - weight / total)).to.be.at.most(0.03);
        });
      }),
      seedOption,
    );
  });

  it('selects no service if all weights are 0', () => {
    expect(WeightedSplit.create([{ service: 's', weight: 0 }], 0).next()).to.equal(undefined);
  });
});
