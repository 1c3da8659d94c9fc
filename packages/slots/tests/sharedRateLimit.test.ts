import { ManualClock } from '@bronzelift/common';
import { expect } from 'chai';

import { ADVERTISED_RATE_DIVISION, COLD_RATE_DIVISION, SharedRateLimit } from '../src/index.js';

describe('SharedRateLimit', () => {
  // Guards against a cold instance that is never used because its service allows a rate of zero, as
  // a division by this rate is no number.
  it('grants the tokens that it has when the rate is zero, and then none', () => {
    const limit = SharedRateLimit.create(ManualClock.create(), COLD_RATE_DIVISION);
    const rate = { ratePerS: 0, sharers: 1 };
    expect(limit.calculateWaitMs(rate)).to.equal(0);
    limit.spendToken(rate);
    expect(limit.calculateWaitMs(rate)).to.equal(Infinity);
  });

  // Guards against a burst of an entry VM that takes over a share that another one has just spent.
  it('grants nothing at once to an entry VM that begins to share the rate', () => {
    const clock = ManualClock.create();
    const limit = SharedRateLimit.create(clock, ADVERTISED_RATE_DIVISION);
    clock.advance(10_000);
    expect(limit.calculateWaitMs({ ratePerS: 1, sharers: 0 })).to.equal(Infinity);
    expect(limit.calculateWaitMs({ ratePerS: 1, sharers: 1 })).to.be.above(1_000);
    clock.advance(1_200);
    expect(limit.calculateWaitMs({ ratePerS: 1, sharers: 1 })).to.equal(0);
  });
});
