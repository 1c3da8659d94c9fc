import { MAX_SLOWDOWN, MEAN_SLOWDOWN_WEIGHT } from './constants.js';

/** Mean of the reported slowdowns of a service; assumed for instances without a recent report. */
export class MeanSlowdown {
  private mean = 1;

  private constructor() {
    // Private, because instances are created with `create`.
  }

  /** Starts at a slowdown of 1. */
  static create(): MeanSlowdown {
    return new MeanSlowdown();
  }

  get value(): number {
    return this.mean;
  }

  record(slowdown: number): void {
    this.mean += MEAN_SLOWDOWN_WEIGHT * (Math.min(slowdown, MAX_SLOWDOWN) - this.mean);
  }
}
