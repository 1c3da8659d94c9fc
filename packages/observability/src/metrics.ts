import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { HISTOGRAM_MAX_MS, HISTOGRAM_UNITS_PER_MS, REPORTED_PERCENTILES } from './constants.js';
import type { HistogramSnapshot, MetricLabels, MetricsSnapshot, ValueSnapshot } from './types.js';
import { formatLabels, formatMetricKey } from './utils.js';

/** Metric whose value only increases. */
export interface Counter {
  readonly increment: (by?: number) => void;
}

/** Metric whose value can go up and down. */
export interface Gauge {
  readonly set: (value: number) => void;
}

/** Metric that records the distribution of durations. */
export interface DurationHistogram {
  readonly recordMs: (durationMs: number) => void;
}

interface ValueSeries {
  readonly name: string;
  readonly labels: MetricLabels;
  value: number;
}

interface HistogramSeries {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly histogram: Histogram;
  sumMs: number;
}

const SIGNIFICANT_DIGITS = 2;

const getOrAdd = <T>(series: Map<string, T>, key: string, create: () => T): T => {
  const existing = series.get(key);
  if (existing !== undefined) return existing;
  const created = create();
  series.set(key, created);
  return created;
};

const buildHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HISTOGRAM_MAX_MS * HISTOGRAM_UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

const recordMs = (series: HistogramSeries, durationMs: number): void => {
  // NaN fails the comparison and is recorded as 0.
  const boundedMs = durationMs > 0 ? Math.min(durationMs, HISTOGRAM_MAX_MS) : 0;
  series.histogram.recordValue(Math.round(boundedMs * HISTOGRAM_UNITS_PER_MS));
  // eslint-disable-next-line no-param-reassign -- the series holds the state that this function updates
  series.sumMs += boundedMs;
};

const unitsToMs = (units: number): number => units / HISTOGRAM_UNITS_PER_MS;

const snapshotHistogram = ({
  name,
  labels,
  histogram,
  sumMs,
}: HistogramSeries): HistogramSnapshot => {
  const count = histogram.totalCount;
  const percentilesMs = Object.fromEntries(
    REPORTED_PERCENTILES.map((percentile) => [
      String(percentile),
      unitsToMs(histogram.getValueAtPercentile(percentile)),
    ]),
  );
  const meanMs = count === 0 ? 0 : sumMs / count;
  return { name, labels, count, meanMs, maxMs: unitsToMs(histogram.maxValue), percentilesMs };
};

const snapshotValue = ({ name, labels, value }: ValueSeries): ValueSnapshot => ({
  name,
  labels,
  value,
});

/**
 * Registry of counters, gauges and histograms by name and labels. A hot path should keep the
 * object it gets instead of looking it up for each update.
 */
export class Metrics {
  private readonly counters = new Map<string, ValueSeries>();

  private readonly gauges = new Map<string, ValueSeries>();

  private readonly histograms = new Map<string, HistogramSeries>();

  private constructor() {
    // Private, so that instances are created through `create`.
  }

  static create(): Metrics {
    return new Metrics();
  }

  /** Returns the counter with this name and these labels; creates it at 0 if it is new. */
  counter(name: string, labels: MetricLabels = {}): Counter {
    const series = Metrics.getOrAddValueSeries(this.counters, name, labels);
    return {
      increment: (by = 1) => {
        series.value += by;
      },
    };
  }

  /** Returns the gauge with this name and these labels; creates it at 0 if it is new. */
  gauge(name: string, labels: MetricLabels = {}): Gauge {
    const series = Metrics.getOrAddValueSeries(this.gauges, name, labels);
    return {
      set: (value) => {
        series.value = value;
      },
    };
  }

  /** Returns the histogram with this name and these labels; a new one takes about 13 KB. */
  histogram(name: string, labels: MetricLabels = {}): DurationHistogram {
    const series = getOrAdd(this.histograms, formatMetricKey(name, labels), () => ({
      name,
      labels,
      histogram: buildHistogram(),
      sumMs: 0,
    }));
    return { recordMs: (durationMs) => recordMs(series, durationMs) };
  }

  /** Copies the current values of all series into a plain object for JSON. */
  snapshot(): MetricsSnapshot {
    return {
      counters: [...this.counters.values()].map(snapshotValue),
      gauges: [...this.gauges.values()].map(snapshotValue),
      histograms: [...this.histograms.values()].map(snapshotHistogram),
    };
  }

  /** Formats all series as Prometheus text, histograms as summaries in milliseconds. */
  formatPrometheus(): string {
    const lines: string[] = [];
    const namesWithType = new Set<string>();
    const addType = (name: string, type: string): void => {
      if (!namesWithType.has(name)) lines.push(`# TYPE ${name} ${type}`);
      namesWithType.add(name);
    };
    const addValues = (series: Map<string, ValueSeries>, type: string): void => {
      for (const key of [...series.keys()].sort()) {
        const { name, labels, value } = series.get(key)!;
        addType(name, type);
        lines.push(`${name}${formatLabels(labels)} ${value}`);
      }
    };
    addValues(this.counters, 'counter');
    addValues(this.gauges, 'gauge');
    for (const key of [...this.histograms.keys()].sort()) {
      const series = this.histograms.get(key)!;
      const { name, labels, percentilesMs, count } = snapshotHistogram(series);
      addType(name, 'summary');
      for (const [percentile, valueMs] of Object.entries(percentilesMs)) {
        const quantile = String(Number(percentile) / 100);
        lines.push(`${name}${formatLabels({ ...labels, quantile })} ${valueMs}`);
      }
      lines.push(`${name}_sum${formatLabels(labels)} ${series.sumMs}`);
      lines.push(`${name}_count${formatLabels(labels)} ${count}`);
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }

  private static getOrAddValueSeries(
    series: Map<string, ValueSeries>,
    name: string,
    labels: MetricLabels,
  ): ValueSeries {
    return getOrAdd(series, formatMetricKey(name, labels), () => ({ name, labels, value: 0 }));
  }
}
