import { MAX_SLOWDOWN, LEARNED_SLOWDOWN_WEIGHT } from './constants.js';

/** Learns how much longer an instance takes than its reported slowdown explains. */
export class LearnedSlowdown {
  private factor = 1;

  private constructor() {
    // Private, because instances are created with `create`.
  }

  static create(): LearnedSlowdown {
    return new LearnedSlowdown();
  }

  /** Service time for the same work relative to other instances; 1 is usual. */
  get value(): number {
    return this.factor;
  }

  /** Records a response time and the time expected from the slowdown when the request was sent. */
  recordResponse(tookMs: number, expectedMs: number): void {
    const ratio = Math.min(
      Math.max(tookMs / Math.max(expectedMs, 1), 1 / MAX_SLOWDOWN),
      MAX_SLOWDOWN,
    );
    this.factor += LEARNED_SLOWDOWN_WEIGHT * (ratio - this.factor);
  }

  /** Resets the factor to 1, for example when another process serves the instance. */
  reset(): void {
    this.factor = 1;
  }
}
