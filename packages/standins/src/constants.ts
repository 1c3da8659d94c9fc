/** Path to which a behavior is posted, on the control port of every stand-in. */
export const BEHAVIOR_PATH = '/standin/v1/behavior';

/** Path of the report, on the control port of every stand-in. */
export const REPORT_PATH = '/standin/v1/report';

/** Header by which a reader or writer of the log names itself. */
export const CLIENT_ID_HEADER = 'x-client-id';

/** Response header with the measured service time of a run, in microseconds. */
export const SERVICE_TIME_HEADER = 'x-standin-service-us';

/** Appends the log accepts per second; the log service is rated for several hundred. */
export const DEFAULT_APPENDS_PER_SECOND = 400;

/** Records returned by one read when the reader gives no limit. */
export const DEFAULT_READ_LIMIT = 1000;

/** Longest wait of a long-poll read. */
export const MAX_READ_WAIT_MS = 60_000;

/** Largest request body that a stand-in accepts. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Properties of a backend instance that its options leave open. */
export const INSTANCE_DEFAULTS = {
  slots: 4,
  maxConnections: 200,
  maxQueue: 8,
  meanServiceMs: 20,
  serviceSigma: 0.3,
  coldSlots: 1,
  coldFactor: 5,
  warmupRequestsPerSlot: 8,
  stallMs: 3000,
  unannouncedColdGraceMs: 250,
  probeCostMs: 6,
  connectionCostMs: 1,
} as const;

/** Cold overloads described in a report; the counts cover all of them. */
export const MAX_OVERLOAD_DETAILS = 1000;

/** Pause between the bytes of a cut response and the reset, so that the bytes arrive first. */
export const CUT_RESET_DELAY_MS = 5;
