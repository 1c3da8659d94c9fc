import type { Clock } from '@bronzelift/common';

import { HEDGE_BURST, HEDGE_MIN_SAMPLES, HEDGE_PERCENTILE, HEDGE_RATIO } from './constants.js';
import { LatencyQuantile } from './latencyQuantile.js';
import { RetryBudget } from './retryBudget.js';

/** Limits how often lookups of one service are hedged, and calculates when a hedge is sent. */
export class HedgeBudget {
  private readonly tokens = RetryBudget.create(HEDGE_RATIO, HEDGE_BURST);

  private constructor(private readonly latency: LatencyQuantile) {}

  static create(clock: Clock): HedgeBudget {
    return new HedgeBudget(LatencyQuantile.create(clock, HEDGE_PERCENTILE));
  }

  /** Adds a share of a token for a request; its retries and hedges do not count. */
  recordRequest(): void {
    this.tokens.recordRequest();
  }

  /** Records the latency of a response for the percentile. */
  recordLatency(latencyMs: number): void {
    this.latency.add(latencyMs);
  }

  /**
   * Time after which a lookup is hedged; undefined until HEDGE_MIN_SAMPLES responses are recorded.
   */
  delayMs(): number | undefined {
    return this.latency.count < HEDGE_MIN_SAMPLES ? undefined : this.latency.valueMs();
  }

  /** Takes a token for a hedged request; false if none is left. */
  takeToken(): boolean {
    return this.tokens.takeToken();
  }
}
