/** Exit codes, as documented in docs/operators.md. */
export const ExitCode = {
  accepted: 0,
  rejected: 1,
  usage: 2,
  unknown: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Environment variable with the address of the log service. */
export const LOG_VARIABLE = 'BRONZELIFT_LOG';

/** Time to wait for an appended record to come back from the log. */
export const SETTLE_TIMEOUT_MS = 10_000;

/** Time to wait for a first complete read of the log. */
export const READ_TIMEOUT_MS = 30_000;

/** Time a read of the log may wait for a record. */
export const READ_WAIT_MS = 500;

/** Pause after a failed read. */
export const RETRY_PAUSE_MS = 200;

/** Limits of a status request. */
export const STATUS_LIMITS = {
  connectTimeoutMs: 1000,
  silenceTimeoutMs: 2000,
  totalTimeoutMs: 3000,
  maxResponseBytes: 16 * 1024 * 1024,
} as const;

/** Pause between two rounds of `wait-for`. */
export const WAIT_POLL_MS = 200;

/** Time `wait-for` waits unless told otherwise. */
export const WAIT_TIMEOUT_MS = 30_000;
