import type { InvariantName, LogComponent } from './constants.js';

/** Values of a log line; the object must not change after the call. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of a log line. */
export type LogSeverity = 'info' | 'warn' | 'error';

/** One log line before it is formatted. */
export interface LogEntry {
  readonly atMs: number;
  readonly severity: LogSeverity;
  readonly component: LogComponent;
  readonly message: string;
  readonly fields: LogFields;
}

/** Where formatted lines go; resolves when the text was accepted. */
export type LogSink = (text: string) => Promise<void>;

/** Counts of a decision log since its start. */
export interface LogCounts {
  readonly written: number;
  readonly dropped: number;
  readonly buffered: number;
}

/** Labels of a counter or a histogram, for example service, failureDomain, outcome. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Value of one counter or gauge. */
export interface ValueSnapshot {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly value: number;
}

/** State of one histogram; durations in milliseconds. */
export interface HistogramSnapshot {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly count: number;
  readonly meanMs: number;
  readonly maxMs: number;
  /** Values by percentile, for example `'99.9': 12.4`. */
  readonly percentilesMs: Readonly<Record<string, number>>;
}

/** All metrics of a process as plain JSON. */
export interface MetricsSnapshot {
  readonly counters: readonly ValueSnapshot[];
  readonly gauges: readonly ValueSnapshot[];
  readonly histograms: readonly HistogramSnapshot[];
}

/** One violation of an invariant. */
export interface Violation {
  readonly name: InvariantName;
  readonly detail: string;
  /** Unix time in milliseconds. */
  readonly atMs: number;
}

/** Counts by invariant and the latest violations, oldest first. */
export interface InvariantSnapshot {
  readonly counts: Readonly<Record<InvariantName, number>>;
  readonly latest: readonly Violation[];
}
