import { RETRY_BURST, RETRY_RATIO } from './constants.js';

/** Token bucket that each request fills by a share of a token. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly ratio: number,
    private burst: number,
  ) {
    this.tokens = burst;
  }

  /** Creates a budget of retries; initially full, so that the first failures can be retried. */
  static create(ratio = RETRY_RATIO, burst = RETRY_BURST): RetryBudget {
    return new RetryBudget(ratio, burst);
  }

  /** Changes how many retries may follow each other; tokens above it are lost, none are added. */
  setBurst(burst: number): void {
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Counts a request, not an attempt. */
  addRequest(): void {
    this.tokens = Math.min(this.tokens + this.ratio, this.burst);
  }

  /** Withdraws a token; false when the budget is used up. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Retries that could follow each other now. */
  get available(): number {
    return Math.floor(this.tokens);
  }
}
