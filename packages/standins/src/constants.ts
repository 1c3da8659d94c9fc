/** Path on the control port of every stand-in to which a behavior is posted. */
export const BEHAVIOR_PATH = '/standin/v1/behavior';

/** Path on the control port of every stand-in that returns the report. */
export const REPORT_PATH = '/standin/v1/report';

/** Request header with the id of the client that reads or appends. */
export const CLIENT_ID_HEADER = 'x-client-id';

/** Response header with the service time of the run in microseconds. */
export const SERVICE_TIME_HEADER = 'x-standin-service-us';

/** Default limit of appends per second; the real log service supports several hundred. */
export const DEFAULT_APPENDS_PER_SECOND = 400;

/** Maximum number of records returned by a read that gives no limit. */
export const DEFAULT_READ_LIMIT = 1000;

/** Upper limit of `waitMs` in a long-poll read. */
export const MAX_READ_WAIT_MS = 60_000;

/** Largest request body that a stand-in accepts. */
export const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Defaults for the options of a backend instance. */
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

/** Number of cold overloads described in a report; the counts include all of them. */
export const MAX_OVERLOAD_DETAILS = 1000;

/** Delay of the reset after a truncated body is sent, so that the bytes arrive first. */
export const TRUNCATED_ANSWER_RESET_DELAY_MS = 5;

/** Repetitions of a piece in one write of a response without end. */
export const ENDLESS_PIECES = 1_000;
