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
  /** Whether an entry VM that begins to share the rate has no tokens at first. */
  readonly startsEmpty: boolean;
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
    this.tokens = division.startsEmpty ? 0 : division.minBurst;
    this.filledAtMs = clock.monotonicMs() - division.initialAccumulationMs;
  }

  /** Creates a limit with the tokens that its division allows at the start. */
  static create(clock: Clock, division: RateDivision): SharedRateLimit {
    return new SharedRateLimit(clock, division);
  }

  /** Whether tokens may be spent now; does not spend them. */
  hasToken(rate: SharedRate, count = 1): boolean {
    this.refill(rate);
    return rate.sharers > 0 && this.tokens >= count;
  }

  /** Milliseconds until tokens may be spent; 0 if they may be spent now, Infinity without a share. */
  calculateWaitMs(rate: SharedRate, count = 1): number {
    this.refill(rate);
    if (rate.sharers === 0) return Infinity;
    if (this.tokens >= count) return 0;
    return (count - this.tokens) / this.calculateSharePerMs(rate);
  }

  /** Spends a token, even if none is available. */
  spendToken(rate: SharedRate): void {
    this.refill(rate);
    this.tokens -= 1;
  }

  private calculateSharePerMs({ ratePerS, sharers }: SharedRate): number {
    const { usedShare, minSharers } = this.division;
    return (ratePerS * usedShare) / Math.max(sharers, minSharers) / MS_PER_S;
  }

  private refill(rate: SharedRate): void {
    const { minBurst, accumulationMs, startsEmpty } = this.division;
    const nowMs = this.clock.monotonicMs();
    if (startsEmpty && rate.sharers === 0) {
      this.tokens = 0;
      this.filledAtMs = nowMs;
      return;
    }
    const sharePerMs = this.calculateSharePerMs(rate);
    const earned = (nowMs - this.filledAtMs) * sharePerMs;
    this.tokens = Math.min(this.tokens + earned, Math.max(minBurst, accumulationMs * sharePerMs));
    this.filledAtMs = nowMs;
  }
}
