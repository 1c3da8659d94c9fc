import { RETRY_BURST, RETRY_RATIO } from './constants.js';

/** Token bucket of retries; each request adds a share of a token. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly ratio: number,
    private burst: number,
  ) {
    this.tokens = burst;
  }

  /** Creates a full budget, so that the first failures can be retried. */
  static create(ratio = RETRY_RATIO, burst = RETRY_BURST): RetryBudget {
    return new RetryBudget(ratio, burst);
  }

  /** Sets the capacity of the bucket; removes tokens above it and adds none. */
  setBurst(burst: number): void {
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Adds a share of a token for a request; its retries do not count. */
  recordRequest(): void {
    this.tokens = Math.min(this.tokens + this.ratio, this.burst);
  }

  /** Takes a token for a retry; false if none is left. */
  takeToken(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Number of whole tokens, each of which allows one retry. */
  get available(): number {
    return Math.floor(this.tokens);
  }
}
