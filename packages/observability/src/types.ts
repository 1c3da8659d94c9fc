import type { InvariantName, LogComponent } from './constants.js';

/** Key-value pairs of a log line; the object must not change after it is logged. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Severity of a log line: `info` for a decision, `warn` for a fault that the system handles without
 * an operator, `error` for a fault that an operator must investigate.
 */
export type LogSeverity = 'info' | 'warn' | 'error';

/** Buffered log line that is not formatted yet. */
export interface LogEntry {
  readonly atMs: number;
  readonly severity: LogSeverity;
  readonly component: LogComponent;
  readonly message: string;
  readonly fields: LogFields;
}

/** Writes formatted lines; resolves when the destination has accepted the text. */
export type LogSink = (text: string) => Promise<void>;

/** Number of lines written and dropped since the start, and of lines still buffered. */
export interface LogCounts {
  readonly written: number;
  readonly dropped: number;
  readonly buffered: number;
}

/** Labels of a metric, for example service, failureDomain and outcome. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Current value of a counter or gauge. */
export interface ValueSnapshot {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly value: number;
}

/** Summary of a histogram; durations in milliseconds. */
export interface HistogramSnapshot {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly count: number;
  readonly meanMs: number;
  readonly maxMs: number;
  /** Values by percentile, for example `'99.9': 12.4`. */
  readonly percentilesMs: Readonly<Record<string, number>>;
}

/** All metrics of a process as a plain object for JSON. */
export interface MetricsSnapshot {
  readonly counters: readonly ValueSnapshot[];
  readonly gauges: readonly ValueSnapshot[];
  readonly histograms: readonly HistogramSnapshot[];
}

/** Violation of an invariant, with a description of what was detected. */
export interface Violation {
  readonly name: InvariantName;
  readonly detail: string;
  /** Unix time in milliseconds. */
  readonly atMs: number;
}

/** Number of violations per invariant and the latest violations, oldest first. */
export interface InvariantSnapshot {
  readonly counts: Readonly<Record<InvariantName, number>>;
  readonly latest: readonly Violation[];
}
