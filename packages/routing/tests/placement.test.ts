import { expect } from 'chai';
import fc from 'fast-check';

import { SeededRandom } from '@bronzelift/common';

import { SpeedTracker, WeightedSplit, rankPlacements } from '../src/index.js';
import type { PlacementCandidate, PlacementNeed } from '../src/index.js';

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
  speedFactor: 1,
  failureShare: 0,
  isLocalDomain: true,
  ...fields,
});

const need: PlacementNeed = { workMs: 60, usualSlowdown: 2.4, reservedSlots: 0, nowMs: 1_010 };

const first = (...candidates: PlacementCandidate[]): string =>
  rankPlacements(candidates, need, SeededRandom.create(1))[0]!.candidate.instanceId;

const report = (running: number, slowdown: number, atMs = 1_000) => ({
  running,
  waiting: 0,
  slots: 4,
  slowdown,
  atMs,
});

describe('placement', () => {
  // Guards against sending to an instance at slow pace, which takes five times as long.
  it('prefers an instance at usual pace to an idle one at slow pace', () => {
    const slow = createCandidate('slow', { report: report(0, 5) });
    expect(first(slow, createCandidate('usual', { report: report(2, 1) }))).to.equal('usual');
  });

  // Guards against trusting a pace that has changed since.
  it('takes an old report of a good pace for little more than the usual one', () => {
    const old = createCandidate('old', { report: report(0, 1, 200) });
    expect(first(old, createCandidate('recent'))).to.equal('recent');
  });

  // Guards against several sends to the instance that was free a moment ago.
  it('counts what was sent since the report', () => {
    const used = createCandidate('used', { report: report(0, 1), sentSinceReport: 4 });
    expect(first(used, createCandidate('other', { report: report(2, 1) }))).to.equal('other');
    const [estimate] = rankPlacements([used], need, SeededRandom.create(1));
    expect(estimate!.freeSlots).to.equal(0);
  });

  // Guards against a full instance that seems to have a part of a slot free.
  it('leaves a full instance without a free slot while its report is young', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 35 }),
        fc.integer({ min: 1, max: 8 }),
        (ageMs, slots) => {
          const full = createCandidate('full', {
            slots,
            report: { running: slots, waiting: 0, slots, slowdown: 1, atMs: need.nowMs - ageMs },
          });
          const [estimate] = rankPlacements([full], need, SeededRandom.create(1));
          expect(estimate!.freeSlots).to.be.at.most(0);
        },
      ),
      seedOption,
    );
  });

  // Guards against traffic between failure domains without a gain, which is paid for.
  it('stays in the own failure domain among equals and leaves it for a much better instance', () => {
    const remote = { isLocalDomain: false };
    expect(first(createCandidate('far', remote), createCandidate('near'))).to.equal('near');
    const near = createCandidate('near', { report: report(0, 5) });
    expect(first(createCandidate('far', remote), near)).to.equal('far');
  });

  // Guards against an instance that answers its health check and fails its requests.
  it('avoids an instance that failed lately', () => {
    const grey = createCandidate('grey', { report: report(0, 1), failureShare: 0.25 });
    expect(first(grey, createCandidate('sound', { report: report(2, 1) }))).to.equal('sound');
  });

  it('learns that an instance takes longer than its stated pace explains', () => {
    const tracker = SpeedTracker.create();
    for (let index = 0; index < 30; index += 1) tracker.observe(300, 60);
    expect(tracker.speedFactor).to.be.closeTo(5, 0.2);
    tracker.reset();
    expect(tracker.speedFactor).to.equal(1);
  });
});

describe('WeightedSplit', () => {
  // Guards against shares of a split that differ from its weights over some hundred requests.
  it('gives each part its share over any 100 requests, within 3 in 100', () => {
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

  it('has no part to give without weights', () => {
    expect(WeightedSplit.create([{ service: 's', weight: 0 }], 0).next()).to.equal(undefined);
  });
});
