import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import type { RequestTrace } from './requestTrace.js';
import type { KindResult, Quantiles } from './types.js';

const US_PER_MS = 1000;

const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 2, autoResize: true });

const recordMs = (histogram: Histogram, durationMs: number): void =>
  histogram.recordValue(Math.max(1, Math.round(durationMs * US_PER_MS)));

const summarize = (histogram: Histogram): Quantiles => {
  const getPercentileMs = (percentile: number): number =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {
    count: histogram.totalCount,
    meanMs: histogram.totalCount === 0 ? 0 : histogram.mean / US_PER_MS,
    p50Ms: getPercentileMs(50),
    p99Ms: getPercentileMs(99),
    p999Ms: getPercentileMs(99.9),
    maxMs: getPercentileMs(100),
  };
};

const increment = (counts: Record<string, number>, code: string): void => {
  const target = counts;
  target[code] = (target[code] ?? 0) + 1;
};

/** Accumulates counts and latency histograms of the finished requests of one kind. */
export class KindRecorder {
  private readonly counts = {
    offered: 0,
    served: 0,
    refused: 0,
    unknown: 0,
    failed: 0,
    wrongAnswers: 0,
    incompleteAnswers: 0,
    attempts: 0,
  };

  private readonly refusedByCode: Record<string, number> = {};

  private readonly unknownByCode: Record<string, number> = {};

  private readonly latency = createHistogram();

  private readonly addedTime = createHistogram();

  private constructor() {
    // Instances are created with KindRecorder.create.
  }

  /** Creates a recorder with zero counts and empty histograms. */
  static create(): KindRecorder {
    return new KindRecorder();
  }

  /** Adds a finished request to the counts and, if it was served, to the histograms. */
  record(trace: RequestTrace): void {
    this.counts.offered += 1;
    this.counts[trace.verdict] += 1;
    this.counts.attempts += trace.attempts;
    this.counts.wrongAnswers += trace.wrongAnswers;
    this.counts.incompleteAnswers += trace.incompleteAnswers;
    if (trace.verdict === 'refused') increment(this.refusedByCode, trace.code);
    if (trace.verdict === 'unknown') increment(this.unknownByCode, trace.code);
    if (trace.verdict !== 'served') return;
    recordMs(this.latency, trace.latencyMs);
    if (trace.addedMs !== undefined) recordMs(this.addedTime, trace.addedMs);
  }

  /** Summarizes the requests recorded so far. */
  result(): KindResult {
    return {
      ...this.counts,
      refusedByCode: { ...this.refusedByCode },
      unknownByCode: { ...this.unknownByCode },
      latency: summarize(this.latency),
      addedTime: summarize(this.addedTime),
    };
  }
}
