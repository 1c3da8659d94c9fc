import type { Clock } from '@bronzelift/common';

const MS_PER_S = 1000;

/** Rules by which a system-wide rate is divided among entry VMs. */
export interface RateDivision {
  /** Part of the rate that is divided; the rest is reserved for members not yet known. */
  readonly usedShare: number;
  /** Smallest burst of one entry VM. */
  readonly minBurst: number;
  /** Time over which an unused share accumulates. */
  readonly accumulationMs: number;
  /** Time whose share counts as accumulated at the start. */
  readonly initialAccumulationMs: number;
  /** Smallest assumed number of entry VMs that share the rate; after a start, few are known. */
  readonly minSharers: number;
}

/** A system-wide rate and the number of entry VMs that share it now. */
export interface SharedRate {
  /** Rate that all entry VMs together may spend, per second. */
  readonly ratePerS: number;
  /** Number of entry VMs that share the rate; 0 if this one has no share. */
  readonly sharers: number;
}

/**
 * Rate limit for the share of one entry VM in a system-wide rate, such as the request rate of a
 * cold instance. Every entry VM takes an equal share without coordination, so that the sum stays
 * bounded as long as the entry VMs agree on the number of sharers: within a second it is at most
 * all bursts plus the rate.
 */
export class SharedRateLimit {
  private tokens: number;

  private filledAtMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly division: RateDivision,
  ) {
    this.tokens = division.minBurst;
    this.filledAtMs = clock.monotonicMs() - division.initialAccumulationMs;
  }

  /** Creates a limit with the smallest burst and the initial accumulation available at once. */
  static create(clock: Clock, division: RateDivision): SharedRateLimit {
    return new SharedRateLimit(clock, division);
  }

  /** Whether a token may be spent now; does not spend it. */
  hasToken(rate: SharedRate): boolean {
    this.refill(rate);
    return rate.sharers > 0 && this.tokens >= 1;
  }

  /** Spends a token, even if none is available. */
  spendToken(rate: SharedRate): void {
    this.refill(rate);
    this.tokens -= 1;
  }

  private refill({ ratePerS, sharers }: SharedRate): void {
    const { usedShare, minBurst, accumulationMs, minSharers } = this.division;
    const nowMs = this.clock.monotonicMs();
    const sharePerMs = (ratePerS * usedShare) / Math.max(sharers, minSharers) / MS_PER_S;
    const earned = (nowMs - this.filledAtMs) * sharePerMs;
    this.tokens = Math.min(this.tokens + earned, Math.max(minBurst, accumulationMs * sharePerMs));
    this.filledAtMs = nowMs;
  }
}
