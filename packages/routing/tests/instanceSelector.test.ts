import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SeededRandom } from '@bronzelift/common';

import { InstanceSelector } from '../src/index.js';
import type { AttemptHandle, EjectionChange, FailureKind } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const createSelector = (instanceCount: number, seed = 1) => {
  const clock = ManualClock.create();
  const changes: EjectionChange[] = [];
  const selector = InstanceSelector.create({
    clock,
    random: SeededRandom.create(seed),
    onEjectionChange: (change) => changes.push(change),
  });
  const ids = Array.from({ length: instanceCount }, (_, index) => `i${index}`);
  selector.setInstances(ids);
  return { clock, selector, changes, ids };
};

type Setup = ReturnType<typeof createSelector>;

const lookup = { isOrder: false };

const answer = ({ selector, clock }: Setup, instanceId: string, latencyMs: number): void => {
  const handle = selector.begin({ instanceId, isTrial: false });
  clock.advance(1);
  handle.end({ kind: 'answered', latencyMs });
};

const freeCandidates = (ids: readonly string[]) =>
  ids.map((instanceId) => ({ instanceId, freeSlots: 2 }));

const failures: readonly FailureKind[] = [
  'connect-failed',
  'refused',
  'timeout',
  'reset',
  'cut-short',
  'mismatched',
  'malformed',
  'server-error',
];

const operation = fc.record({
  action: fc.constantFrom('send', 'send', 'send', 'end', 'end', 'advance', 'resize'),
  value: fc.nat(10_000),
  isOrder: fc.boolean(),
  isFailure: fc.boolean(),
});

describe('InstanceSelector', () => {
  it('ejects at most a third of the instances, and sends only trial requests to ejected instances', () => {
    const property = fc.property(
      fc.array(operation, { maxLength: 200, size: 'max' }),
      fc.nat(),
      (operations, seed) => {
        const { clock, selector } = createSelector(9, seed);
        const inFlight: AttemptHandle[] = [];
        let size = 9;
        const ids = () => Array.from({ length: size }, (_, index) => `i${index}`);
        for (const { action, value, isOrder, isFailure } of operations) {
          if (action === 'advance') clock.advance(value % 1000);
          if (action === 'resize') {
            size = (value % 12) + 1;
            selector.setInstances(ids());
          }
          if (action === 'end' && inFlight.length > 0) {
            const [handle] = inFlight.splice(value % inFlight.length, 1);
            const failure = failures[value % failures.length]!;
            handle!.end(
              isFailure
                ? { kind: 'failed', failure }
                : { kind: 'answered', latencyMs: value % 100 },
            );
          }
          if (action === 'send') {
            const excluded = new Set([`i${value % size}`]);
            const selection = selector.select(freeCandidates(ids()), { isOrder, excluded });
            if (selection !== undefined) {
              const { instanceId, isTrial } = selection;
              expect(excluded.has(instanceId), 'excluded instance').to.equal(false);
              expect(
                selector.isUsable(instanceId),
                'sent as a trial exactly when ejected',
              ).to.equal(!isTrial);
              expect(isTrial && isOrder, 'order as trial').to.equal(false);
              inFlight.push(selector.begin(selection));
            }
          }
          const ejected = selector.listHealth().filter(({ isEjected }) => isEjected);
          expect(ejected.length, 'ejected').to.be.at.most(Math.floor(size / 3));
        }
      },
    );
    fc.assert(property, { numRuns: 300, ...seedOption });
  });

  it('ejects an instance within four responses after it has become slow', () => {
    const setup = createSelector(6);
    for (const instanceId of setup.ids) for (let n = 0; n < 5; n++) answer(setup, instanceId, 5);
    answer(setup, 'i0', 60);
    expect(setup.changes, 'after one slow response').to.deep.equal([]);
    for (let n = 0; n < 3; n++) answer(setup, 'i0', 20);
    expect(setup.changes.map(({ instanceId, reason }) => [instanceId, reason])).to.deep.equal([
      ['i0', 'slow'],
    ]);
  });

  it('readmits an instance after a successful trial, and doubles the interval after a failed trial', () => {
    const setup = createSelector(3);
    const { selector, clock, changes, ids } = setup;
    for (const instanceId of ids) for (let n = 0; n < 5; n++) answer(setup, instanceId, 5);
    const fail = { kind: 'failed', failure: 'connect-failed' } as const;
    selector.begin({ instanceId: 'i0', isTrial: false }).end(fail);
    const takeTrial = (): AttemptHandle => {
      for (let waitedMs = 0; waitedMs < 1000; waitedMs += 10) {
        const selection = selector.select(freeCandidates(ids), lookup)!;
        if (selection.isTrial) return selector.begin(selection);
        clock.advance(10);
      }
      throw new Error('no trial within a second');
    };
    const trial = takeTrial();
    expect(selector.select(freeCandidates(ids), lookup)!.isTrial, 'second trial').to.equal(false);
    trial.end(fail);
    takeTrial().end({ kind: 'answered', latencyMs: 6 });
    expect(changes.map(({ change, intervalMs }) => [change, intervalMs])).to.deep.equal([
      ['ejected', 200],
      ['ejected', 400],
      ['readmitted', 0],
    ]);
  });

  it('prefers the faster of two instances, and avoids an instance that stalls or fails fast', () => {
    const setup = createSelector(2);
    const { selector, clock, ids } = setup;
    for (let n = 0; n < 5; n++) answer(setup, 'i0', 5);
    for (let n = 0; n < 5; n++) answer(setup, 'i1', 9);
    const choose = () => selector.select(freeCandidates(ids), lookup)!.instanceId;
    expect(choose()).to.equal('i0');
    const stalled = selector.begin({ instanceId: 'i0', isTrial: false });
    clock.advance(30);
    expect(choose()).to.equal('i1');
    stalled.end({ kind: 'abandoned' });
    expect(choose()).to.equal('i0');
    const failing = selector.begin({ instanceId: 'i0', isTrial: false });
    failing.end({ kind: 'failed', failure: 'reset' });
    expect(choose()).to.equal('i1');
    clock.advance(400);
    expect(choose(), 'after the failure has decayed').to.equal('i0');
  });

  it('selects a formerly slow instance again after a time, to measure its latency', () => {
    const setup = createSelector(2);
    answer(setup, 'i1', 10);
    answer(setup, 'i0', 500);
    const select = () => setup.selector.select(freeCandidates(setup.ids), lookup)!;
    expect(select().instanceId).to.equal('i1');
    setup.clock.advance(10_000);
    const chosen = new Set(Array.from({ length: 50 }, () => select().instanceId));
    expect(chosen.size).to.equal(2);
  });
});
