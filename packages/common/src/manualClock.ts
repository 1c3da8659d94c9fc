import type { Clock } from './types.js';

/** Clock that moves only when told to, for tests. */
export class ManualClock implements Clock {
  private constructor(
    private nowMs: number,
    private readonly wallOriginMs: number,
  ) {}

  /** Creates a clock at zero monotonic milliseconds. */
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
