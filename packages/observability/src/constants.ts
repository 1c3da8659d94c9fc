/** Prefix of log lines by component. */
export const LogComponent = {
  route: '[route]',
  admit: '[admit]',
  backend: '[backend]',
  forward: '[forward]',
  order: '[order]',
  member: '[member]',
  slots: '[slots]',
  config: '[config]',
  log: '[log]',
  probe: '[probe]',
  invariant: '[invariant]',
  daemon: '[daemon]',
} as const;
export type LogComponent = (typeof LogComponent)[keyof typeof LogComponent];

/** The nine invariants of the design page; assertions fire under these names. */
export const InvariantName = {
  orderAtMostOnce: 'order-at-most-once',
  notRunIsTrue: 'not-run-is-true',
  coldStartLimit: 'cold-start-limit',
  wholeAnswer: 'whole-answer',
  domainOut: 'domain-out',
  leavingBackend: 'leaving-backend',
  configurationOrder: 'configuration-order',
  gracefulStop: 'graceful-stop',
  probeBudget: 'probe-budget',
} as const;
export type InvariantName = (typeof InvariantName)[keyof typeof InvariantName];

/** Lines kept in memory while stdout is slow; about 2 MB at 200 bytes a line. */
export const DEFAULT_MAX_BUFFERED_LINES = 10_000;

/** Time between two flushes. */
export const DEFAULT_FLUSH_INTERVAL_MS = 20;

/** A stop does not wait longer than this for a log reader that has stalled. */
export const CLOSE_LIMIT_MS = 1_000;

/** Lines formatted in one flush, so that a flush holds the event loop for about 1 ms only. */
export const MAX_LINES_PER_FLUSH = 500;

/** Violation details kept for the status page. */
export const KEPT_VIOLATIONS = 20;

/** Histograms count microseconds, so that values below a millisecond keep two digits. */
export const HISTOGRAM_UNITS_PER_MS = 1000;

/** Longer durations are counted as this one; callers time out long before. */
export const HISTOGRAM_MAX_MS = 600_000;

/** Percentiles in snapshots and in the Prometheus text. */
export const REPORTED_PERCENTILES = [50, 90, 99, 99.9] as const;
