import { createWriteStream } from 'node:fs';

import type { LogEntry, LogFields, LogSink, MetricLabels } from './types.js';

const STDOUT_FD = 1;
const NEEDS_QUOTES = /[\s"=]/;

const formatValue = (value: string | number | boolean): string => {
  if (typeof value === 'number') return String(Math.round(value * 1000) / 1000);
  if (typeof value === 'boolean') return String(value);
  return value === '' || NEEDS_QUOTES.test(value) ? JSON.stringify(value) : value;
};

/** Formats fields as `key=value` pairs; omits undefined values. */
export const formatFields = (fields: LogFields): string => {
  let text = '';
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) text += ` ${key}=${formatValue(value)}`;
  }
  return text;
};

/** Formats an entry as a line of the decision log, newline included. */
export const formatEntry = (entry: LogEntry): string => {
  const time = new Date(entry.atMs).toISOString();
  const severity = entry.severity === 'info' ? '' : ` ${entry.severity.toUpperCase()}`;
  return `${time}${severity} ${entry.component} ${entry.message}${formatFields(entry.fields)}\n`;
};

/**
 * Creates a sink that writes to stdout through the thread pool, because process.stdout blocks
 * the event loop while a pipe is full.
 */
export const createStdoutSink = (): LogSink => {
  const stream = createWriteStream('', { fd: STDOUT_FD, autoClose: false });
  // The process must survive when the reader of the pipe exits.
  stream.on('error', () => {});
  return (text) =>
    new Promise((resolve) => {
      stream.write(text, () => resolve());
    });
};

const escapeLabelValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

/** Formats labels for Prometheus as `{a="b"}`; returns an empty text without labels. */
export const formatLabels = (labels: MetricLabels): string => {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabelValue(value)}"`);
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
};

/** Builds the key of a metric from its name and its labels, sorted by label name. */
export const formatMetricKey = (name: string, labels: MetricLabels): string => {
  const sorted = Object.entries(labels).sort(([left], [right]) => (left < right ? -1 : 1));
  return name + formatLabels(Object.fromEntries(sorted));
};
