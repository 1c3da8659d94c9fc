import { expect } from 'chai';

import { ManualClock, SeededRandom } from '@bronzelift/common';

import { RetryAfterEstimator } from '../src/index.js';

describe('RetryAfterEstimator', () => {
  // Guards against refused callers that all retry at the same time and overload the service again.
  it('spreads the retries of many refused callers until their work has drained', () => {
    const clock = ManualClock.create();
    const estimator = RetryAfterEstimator.create(clock, SeededRandom.create(1));
    const flood = Array.from({ length: 200 }, () => estimator.refuse(50, 10));
    const late = flood.slice(100);
    expect(Math.max(...late) - Math.min(...late)).to.be.above(800);
    expect(Math.min(...flood)).to.be.at.least(50);
    clock.advance(10_000);
    expect(estimator.refuse(50, 10)).to.be.at.most(100);
  });
});
