import { MAX_SLOWDOWN, SLOWDOWN_WEIGHT } from './constants.js';

/** Learns how much longer an instance takes than its stated pace explains. */
export class SpeedTracker {
  private factor = 1;

  private constructor() {
    // Created through `create`.
  }

  /** Creates a tracker of an instance that is as fast as the others. */
  static create(): SpeedTracker {
    return new SpeedTracker();
  }

  /** Relative time for the same work; 1 is usual. */
  get speedFactor(): number {
    return this.factor;
  }

  /** Counts a response: the time it took and the time expected at the pace when it was sent. */
  observe(tookMs: number, expectedMs: number): void {
    const ratio = Math.min(
      Math.max(tookMs / Math.max(expectedMs, 1), 1 / MAX_SLOWDOWN),
      MAX_SLOWDOWN,
    );
    this.factor += SLOWDOWN_WEIGHT * (ratio - this.factor);
  }

  /** Forgets what was learned, when the process behind the instance is another one. */
  reset(): void {
    this.factor = 1;
  }
}
