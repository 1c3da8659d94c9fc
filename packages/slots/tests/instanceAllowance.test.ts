import { ManualClock } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import { InstanceAllowance, UsualLatency } from '../src/index.js';
import { AllowanceModel } from './allowanceModel.js';

const SEED = process.env.SEED ? { seed: Number(process.env.SEED) } : {};
const SETTINGS = { slots: 4, coldSlots: 1, warmupAnswers: 10 };

const createWarmOwner = (clock: ManualClock): InstanceAllowance => {
  const allowance = InstanceAllowance.create(clock, SETTINGS);
  allowance.setOwner(true);
  allowance.recordOpened(1, 0);
  for (let answer = 0; answer < 40; answer++) {
    clock.advance(50);
    allowance.recordResponse(1, { latencyMs: 10, bootId: 'a' });
  }
  return allowance;
};

describe('InstanceAllowance', () => {
  // Guards against more requests at a just-started instance than its owner has warmed it up for.
  it('never allows more requests to a just-started instance than its warmup permits', () => {
    let warmRequests = 0;
    fc.assert(
      fc.property(fc.integer(), fc.boolean(), (seed, hasBootIds) => {
        const model = AllowanceModel.create(seed, hasBootIds);
        model.run(20_000);
        warmRequests += model.warmRequests;
        expect(model.maxExcess).to.be.at.most(0);
      }),
      { ...SEED, numRuns: 400 },
    );
    expect(warmRequests).to.be.above(10_000);
  }).timeout(120_000);

  // Guards against an allowance that does not rise with warmup or fall with slow and cold responses.
  it('raises the allowance with warmup, and lowers it after slow or cold responses', () => {
    const clock = ManualClock.create();
    const allowance = createWarmOwner(clock);
    expect(allowance.usableSlots([0, 2, 3], 1)).to.deep.equal([0, 2, 3]);
    allowance.recordResponse(1, { latencyMs: 40 });
    expect(allowance.allowed).to.equal(4);
    expect(allowance.recordResponse(1, { latencyMs: 40, bootId: 'a' }).isHalved).to.equal(true);
    expect(allowance.allowed).to.equal(2);
    allowance.recordResponse(1, { latencyMs: 40 });
    expect(allowance.usableSlots([0, 2, 3], 1)).to.deep.equal([0]);
    for (const cold of [{ isCold: true }, { isOverloadRefusal: true }, { bootId: 'b' }]) {
      const other = createWarmOwner(clock);
      other.recordResponse(1, { latencyMs: 10, ...cold });
      expect(other.allowed).to.equal(1);
    }
  });

  // Guards against a warm instance that counts as cold after an idle connection was closed.
  it('restores the allowance when the same process responds on a new connection', () => {
    const clock = ManualClock.create();
    const allowance = createWarmOwner(clock);
    allowance.recordClosed(1);
    expect(allowance.allowed).to.equal(1);
    allowance.recordOpened(2, clock.monotonicMs());
    expect(allowance.usableSlots([0, 3], 2)).to.deep.equal([0]);
    expect(allowance.recordResponse(2, { latencyMs: 10, bootId: 'a' }).isRaised).to.equal(true);
    expect(allowance.usableSlots([0, 3], 2)).to.deep.equal([0, 3]);
  });

  // Guards against a new owner that resets the allowance although it has a verified connection.
  it('lets a new owner keep the reported allowance if its connection is verified', () => {
    const clock = ManualClock.create();
    const allowance = InstanceAllowance.create(clock, SETTINGS);
    allowance.recordOpened(1, 0);
    clock.advance(2000);
    allowance.recordOwnerReport({ allowance: 4, observedAtMs: 999 });
    expect(allowance.usableSlots([3], 1)).to.deep.equal([]);
    allowance.recordOwnerReport({ allowance: 4, observedAtMs: 1000 });
    expect(allowance.usableSlots([3], 1)).to.deep.equal([3]);
    allowance.recordOwnerReport({ allowance: 2, observedAtMs: 995 });
    expect(allowance.usableSlots([1, 3], 1)).to.deep.equal([1]);
    allowance.recordOwnerReport({ allowance: 4, observedAtMs: 1001 });
    allowance.setOwner(true);
    expect(allowance.allowed).to.equal(4);
    const other = InstanceAllowance.create(clock, SETTINGS);
    other.recordOpened(1, 500);
    other.recordOwnerReport({ allowance: 4, observedAtMs: 1000 });
    other.setOwner(true);
    expect(other.allowed).to.equal(1);
    allowance.recordPeerColdReport(clock.monotonicMs());
    expect(allowance.allowed).to.equal(1);
  });

  // Guards against a permanent change of the latency that keeps an instance cold forever.
  it('accepts a permanent rise of the latency as normal after 10 to 200 responses', () => {
    const latency = UsualLatency.create();
    latency.recordLatency(10, true);
    let slow = 0;
    while (latency.recordLatency(40, false) !== 'normal') slow += 1;
    expect(slow).to.be.within(10, 200);
  });
});
