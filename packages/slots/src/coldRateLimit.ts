import type { Clock } from '@bronzelift/common';

import { COLD_BURST_REQUESTS, COLD_RATE_SHARE, MIN_COLD_SHARERS } from './constants.js';

const MS_PER_S = 1000;

/** Settings of the limit of one instance. */
export interface ColdRateSettings {
  /** Requests per second that the cold instance bears from all entry VMs together. */
  readonly requestsPerS: number;
  /** Entry VMs that may send to it; at least MIN_COLD_SHARERS are assumed. 0 when this one may not. */
  readonly sharers: number;
}

/**
 * Share of one entry VM in what a cold instance bears. Every entry VM takes the same share without
 * asking the others, so that the sum holds while they disagree about anything but their number.
 * Each one may spend a single request at once: the sum within a second is the number of sharers
 * plus the shared rate.
 */
export class ColdRateLimit {
  private tokens: number = COLD_BURST_REQUESTS;

  private filledAtMs: number;

  private constructor(private readonly clock: Clock) {
    this.filledAtMs = clock.monotonicMs();
  }

  /** Creates the limit of an instance that has just been found cold. */
  static create(clock: Clock): ColdRateLimit {
    return new ColdRateLimit(clock);
  }

  /** Whether a request may be sent now. */
  isOpen(settings: ColdRateSettings): boolean {
    this.fill(settings);
    return settings.sharers > 0 && this.tokens >= 1;
  }

  /** Counts a request that is sent now. */
  spend(settings: ColdRateSettings): void {
    this.fill(settings);
    this.tokens -= 1;
  }

  private fill({ requestsPerS, sharers }: ColdRateSettings): void {
    const nowMs = this.clock.monotonicMs();
    const ratePerMs =
      (requestsPerS * COLD_RATE_SHARE) / Math.max(sharers, MIN_COLD_SHARERS) / MS_PER_S;
    const earned = (nowMs - this.filledAtMs) * ratePerMs;
    this.tokens = Math.min(this.tokens + earned, COLD_BURST_REQUESTS);
    this.filledAtMs = nowMs;
  }
}
