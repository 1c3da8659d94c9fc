import type { Clock } from '@bronzelift/common';

const MS_PER_S = 1000;

/** How a rate of the whole system is divided among entry VMs. */
export interface RateDivision {
  /** Part of the rate that is handed out; the rest covers members not yet known. */
  readonly usedShare: number;
  /** What one entry VM may spend at once, at least. */
  readonly minBurst: number;
  /** Time for which a share that was not used is kept. */
  readonly keptMs: number;
  /** Time whose share is available at the start. */
  readonly headStartMs: number;
  /** Entry VMs assumed to share the rate while fewer are known, as after a start. */
  readonly minSharers: number;
}

/** A rate and those who share it now. */
export interface SharedRate {
  /** Rate that all entry VMs together may spend, per second. */
  readonly ratePerS: number;
  /** Entry VMs that share it; 0 when this one may spend nothing. */
  readonly sharers: number;
}

/**
 * Share of one entry VM in a rate of the whole system, as what a cold instance bears. Every entry
 * VM takes the same share without asking the others, so that the sum holds while they disagree
 * about anything but their number: within a second it is at most the bursts of all plus the rate.
 */
export class SharedRateLimit {
  private tokens: number;

  private filledAtMs: number;

  private constructor(
    private readonly clock: Clock,
    private readonly division: RateDivision,
  ) {
    this.tokens = division.minBurst;
    this.filledAtMs = clock.monotonicMs() - division.headStartMs;
  }

  /** Creates a limit whose least burst and head start are available at once. */
  static create(clock: Clock, division: RateDivision): SharedRateLimit {
    return new SharedRateLimit(clock, division);
  }

  /** Whether one unit may be spent now. */
  isOpen(rate: SharedRate): boolean {
    this.fill(rate);
    return rate.sharers > 0 && this.tokens >= 1;
  }

  /** Counts a unit that is spent now. */
  spend(rate: SharedRate): void {
    this.fill(rate);
    this.tokens -= 1;
  }

  private fill({ ratePerS, sharers }: SharedRate): void {
    const { usedShare, minBurst, keptMs, minSharers } = this.division;
    const nowMs = this.clock.monotonicMs();
    const sharePerMs = (ratePerS * usedShare) / Math.max(sharers, minSharers) / MS_PER_S;
    const earned = (nowMs - this.filledAtMs) * sharePerMs;
    this.tokens = Math.min(this.tokens + earned, Math.max(minBurst, keptMs * sharePerMs));
    this.filledAtMs = nowMs;
  }
}
