/** Prefix of the log lines of each component. */
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

/** Names under which violations of the nine invariants in docs/design.md are reported. */
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

/** Lines buffered while stdout is slow; about 2 MB at 200 bytes per line. */
export const DEFAULT_MAX_BUFFERED_LINES = 10_000;

/** Interval at which the timer writes buffered lines. */
export const DEFAULT_FLUSH_INTERVAL_MS = 20;

/** Longest wait on shutdown for the reader of stdout to accept the remaining lines. */
export const CLOSE_TIMEOUT_MS = 1_000;

/** Lines formatted in one flush, so that a flush blocks the event loop for only about 1 ms. */
export const MAX_LINES_PER_FLUSH = 500;

/** Number of violations whose details are kept for the status page. */
export const MAX_KEPT_VIOLATIONS = 20;

/** Histograms store integer microseconds, so that values below 1 ms keep two digits. */
export const HISTOGRAM_UNITS_PER_MS = 1000;

/** Longer durations are recorded as this value; callers time out long before. */
export const HISTOGRAM_MAX_MS = 600_000;

/** Percentiles included in snapshots and in the Prometheus text. */
export const REPORTED_PERCENTILES = [50, 90, 99, 99.9] as const;
