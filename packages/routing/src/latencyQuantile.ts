import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import type { Clock } from '@bronzelift/common';

import { QUANTILE_MAX_AGE_MS, QUANTILE_WINDOW_MS } from './constants.js';

const UNITS_PER_MS = 100;
const MAX_MS = 60_000;

const createHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });

/** Estimates a percentile of the latencies recorded in the last one to two windows. */
export class LatencyQuantile {
  private current = createHistogram();

  private previous = createHistogram();

  private windowStartedAtMs: number;

  private cached: { readonly atMs: number; readonly valueMs: number } | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly percentile: number,
  ) {
    this.windowStartedAtMs = clock.monotonicMs();
  }

  /** `percentile` is between 0 and 100, for example 95. */
  static create(clock: Clock, percentile: number): LatencyQuantile {
    return new LatencyQuantile(clock, percentile);
  }

  /** Number of responses recorded in both windows. */
  get count(): number {
    this.rotateWindows();
    return this.current.totalCount + this.previous.totalCount;
  }

  add(latencyMs: number): void {
    this.rotateWindows();
    const boundedMs = latencyMs > 0 ? Math.min(latencyMs, MAX_MS) : 0;
    this.current.recordValue(Math.round(boundedMs * UNITS_PER_MS));
  }

  /** The percentile in milliseconds, cached for QUANTILE_MAX_AGE_MS; 0 without responses. */
  valueMs(): number {
    const nowMs = this.clock.monotonicMs();
    if (this.cached === undefined || nowMs - this.cached.atMs >= QUANTILE_MAX_AGE_MS) {
      this.cached = { atMs: nowMs, valueMs: this.calculateMs() };
    }
    return this.cached.valueMs;
  }

  private calculateMs(): number {
    this.rotateWindows();
    // The current window may have few responses; the previous one alone would hide a change.
    const currentPercentile = this.current.getValueAtPercentile(this.percentile);
    const previousPercentile = this.previous.getValueAtPercentile(this.percentile);
    const currentCount = this.current.totalCount;
    const total = currentCount + this.previous.totalCount;
    if (total === 0) return 0;
    const weight = currentCount / total;
    return (currentPercentile * weight + previousPercentile * (1 - weight)) / UNITS_PER_MS;
  }

  private rotateWindows(): void {
    const nowMs = this.clock.monotonicMs();
    const elapsedMs = nowMs - this.windowStartedAtMs;
    if (elapsedMs < QUANTILE_WINDOW_MS) return;
    const emptied = this.previous;
    emptied.reset();
    this.previous = this.current;
    this.current = emptied;
    if (elapsedMs >= 2 * QUANTILE_WINDOW_MS) this.previous.reset();
    this.windowStartedAtMs = nowMs;
    this.cached = undefined;
  }
}
