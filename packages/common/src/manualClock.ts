import type { Clock } from './types.js';

/** Clock for tests; time passes only through `advance`. */
export class ManualClock implements Clock {
  private constructor(
    private nowMs: number,
    private readonly wallOriginMs: number,
  ) {}

  /** Creates a clock at the monotonic time 0 and the wall-clock time `wallOriginMs`. */
  static create(wallOriginMs = 1_700_000_000_000): ManualClock {
    return new ManualClock(0, wallOriginMs);
  }

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.wallOriginMs + this.nowMs;
  }

  /** Moves the clock forward by a duration in milliseconds. */
  advance(durationMs: number): void {
    this.nowMs += durationMs;
  }
}
