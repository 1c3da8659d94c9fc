/** Exit codes of the commands; docs/operators.md documents them. */
export const ExitCode = {
  accepted: 0,
  rejected: 1,
  usage: 2,
  unknown: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Environment variable that holds the address of the log service. */
export const LOG_VARIABLE = 'BRONZELIFT_LOG';

/** Default timeout for reading an appended record back from the log. */
export const SETTLE_TIMEOUT_MS = 10_000;

/** Timeout for reading the log to its end. */
export const READ_TIMEOUT_MS = 30_000;

/** Longest time for which the log service may wait for a record in one read. */
export const READ_WAIT_MS = 500;

/** Delay before a failed read of the log is retried. */
export const RETRY_PAUSE_MS = 200;

/** Timeouts and response size limit of a status request to an entry daemon. */
export const STATUS_LIMITS = {
  connectTimeoutMs: 1000,
  silenceTimeoutMs: 2000,
  totalTimeoutMs: 3000,
  maxResponseBytes: 16 * 1024 * 1024,
} as const;

/** Interval at which `wait-for` requests the status of the entry daemons. */
export const WAIT_POLL_MS = 200;

/** Default timeout of `wait-for`. */
export const WAIT_TIMEOUT_MS = 30_000;
