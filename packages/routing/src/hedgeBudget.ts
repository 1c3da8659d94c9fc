import type { Clock } from '@bronzelift/common';

import { HEDGE_BURST, HEDGE_MIN_SAMPLES, HEDGE_PERCENTILE, HEDGE_RATIO } from './constants.js';
import { LatencyQuantile } from './latencyQuantile.js';
import { RetryBudget } from './retryBudget.js';

/** Decides when a lookup of one service is hedged, and how often. */
export class HedgeBudget {
  private readonly tokens = RetryBudget.create(HEDGE_RATIO, HEDGE_BURST);

  private constructor(private readonly latency: LatencyQuantile) {}

  /** Creates the budget of one service. */
  static create(clock: Clock): HedgeBudget {
    return new HedgeBudget(LatencyQuantile.create(clock, HEDGE_PERCENTILE));
  }

  /** Counts a request, not an attempt. */
  addRequest(): void {
    this.tokens.addRequest();
  }

  /** Counts the latency of a response. */
  addLatency(latencyMs: number): void {
    this.latency.add(latencyMs);
  }

  /** Time after which a lookup is hedged; undefined while too few responses are known. */
  delayMs(): number | undefined {
    return this.latency.count < HEDGE_MIN_SAMPLES ? undefined : this.latency.valueMs();
  }

  /** Withdraws a token for a hedged request; false when the budget is used up. */
  take(): boolean {
    return this.tokens.take();
  }
}
