import type { Clock, RandomSource } from '@bronzelift/common';

import { calculateRetryAfterMs } from './utils.js';

/**
 * Calculates the Retry-After of refused requests. It adds up the work of refused requests and
 * subtracts the time that has passed, so that callers refused together do not retry together.
 */
export class RetryAfterEstimator {
  /** Time that the slots need for all recently refused requests. */
  private refusedWorkMs = 0;

  private refusedAtMs = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  static create(clock: Clock, random: RandomSource): RetryAfterEstimator {
    return new RetryAfterEstimator(clock, random);
  }

  /**
   * Records a refused request whose work would occupy all slots for `workMs`, and returns its
   * Retry-After.
   */
  refuse(predictedWaitMs: number, workMs: number): number {
    const nowMs = this.clock.monotonicMs();
    const elapsedMs = nowMs - this.refusedAtMs;
    this.refusedWorkMs = Math.max(this.refusedWorkMs - elapsedMs, 0) + workMs;
    this.refusedAtMs = nowMs;
    return calculateRetryAfterMs(predictedWaitMs, this.refusedWorkMs, this.random);
  }
}
