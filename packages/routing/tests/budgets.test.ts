import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock } from '@bronzelift/common';

import { HedgeBudget, RetryBudget, parseDeadline } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

describe('RetryBudget', () => {
  // Guards against retries that multiply the load.
  it('grants retries for at most a tenth of the requests plus a burst', () => {
    const property = fc.property(
      fc.array(fc.boolean(), { maxLength: 500, size: 'max' }),
      (steps) => {
        const budget = RetryBudget.create();
        let requests = 0;
        let retries = 0;
        for (const isRequest of steps) {
          if (isRequest) {
            budget.recordRequest();
            requests += 1;
          } else if (budget.takeToken()) retries += 1;
          expect(retries).to.be.at.most(10 + requests * 0.1 + 1e-6);
        }
      },
    );
    fc.assert(property, seedOption);
  });
});

describe('HedgeBudget', () => {
  it('sets the hedge delay to the recent 95th percentile and follows a change of latency', () => {
    const clock = ManualClock.create();
    const budget = HedgeBudget.create(clock);
    for (let n = 1; n < 20; n++) budget.recordLatency(n);
    expect(budget.delayMs(), 'too few responses').to.equal(undefined);
    for (let n = 20; n <= 100; n++) budget.recordLatency(n);
    expect(budget.delayMs()).to.be.closeTo(95, 2);
    clock.advance(10_001);
    for (let n = 1; n <= 100; n++) budget.recordLatency(5);
    clock.advance(10_001);
    for (let n = 1; n <= 100; n++) budget.recordLatency(5);
    expect(budget.delayMs()).to.be.closeTo(5, 0.5);
    clock.advance(30_000);
    expect(budget.delayMs(), 'forgotten').to.equal(undefined);
  });
});

describe('parseDeadline', () => {
  const clock = ManualClock.create();
  const bounds = { defaultTimeoutMs: 500, maxTimeoutMs: 1000 };
  const read = (timeoutMs?: string, callDepth?: string) => {
    const result = parseDeadline({ timeoutMs, callDepth }, bounds, clock);
    return result.kind === 'accepted' ? result.deadline : result.code;
  };

  it('refuses malformed limits and call chains that are too deep, and bounds long timeouts', () => {
    expect(read('1e3')).to.equal('malformed');
    expect(read('-1')).to.equal('malformed');
    expect(read('0')).to.equal('expired');
    expect(read('100', '13')).to.equal('too-deep');
    expect(read('99999', '12')).to.include({ atMs: clock.monotonicMs() + 1000, callDepth: 12 });
    expect(read()).to.include({ atMs: clock.monotonicMs() + 500, callDepth: 0 });
  });

  it('gives the next hop at most the remaining time, and no deadline after the lease expires', () => {
    const property = fc.property(
      fc.nat(1000),
      fc.nat(2000),
      fc.nat(1500),
      (timeoutMs, fenceMs, waitMs) => {
        const deadline = read(String(timeoutMs + 1));
        if (typeof deadline === 'string') throw new Error(deadline);
        const fenceAtMs = clock.monotonicMs() + fenceMs;
        const fenceAtWallMs = clock.wallMs() + fenceMs;
        clock.advance(waitMs);
        const nextHop = deadline.toNextHopLimits(fenceAtMs);
        expect(nextHop.callDepth).to.equal(1);
        expect(nextHop.remainingMs).to.be.at.most(deadline.remainingMs());
        const isOver = nextHop.remainingMs === 0;
        expect(isOver || nextHop.deadlineAtWallMs <= fenceAtWallMs).to.equal(true);
      },
    );
    fc.assert(property, seedOption);
  });
});
