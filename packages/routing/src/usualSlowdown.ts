import { MAX_SLOWDOWN, USUAL_SLOWDOWN_WEIGHT } from './constants.js';

/** Mean of the stated slowdowns of a service, for instances without a recent report. */
export class UsualSlowdown {
  private mean = 1;

  private constructor() {
    // Created through `create`.
  }

  /** Creates a mean of 1. */
  static create(): UsualSlowdown {
    return new UsualSlowdown();
  }

  get value(): number {
    return this.mean;
  }

  /** Counts a stated slowdown. */
  observe(slowdown: number): void {
    this.mean += USUAL_SLOWDOWN_WEIGHT * (Math.min(slowdown, MAX_SLOWDOWN) - this.mean);
  }
}
