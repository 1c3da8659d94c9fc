/** HTTP status and message of each response that the entry daemon produces itself, by code. */
export const ANSWER_CODES = {
  'bad-request': { status: 400, message: 'the request is malformed' },
  'bad-key': { status: 400, message: 'the idempotency key is malformed' },
  'key-required': { status: 400, message: 'an order needs an idempotency key' },
  'unknown-service': { status: 404, message: 'no service of this name is configured' },
  'unknown-path': { status: 404, message: 'no such resource' },
  'answer-not-kept': { status: 409, message: 'the order ran; its answer was too large to keep' },
  'ticket-expired': { status: 410, message: 'the ticket of the key has expired' },
  'too-large': { status: 413, message: 'the request body is larger than the service allows' },
  'key-reused': { status: 422, message: 'the key was used for another request' },
  'internal-error': { status: 500, message: 'the entry daemon failed' },
  'backend-failed': { status: 502, message: 'the connection to the backend server broke' },
  'answer-too-large': { status: 502, message: 'the answer of the backend server is too large' },
  'not-ready': { status: 503, message: 'this entry VM has no lease or no fresh state' },
  'no-member-lease': { status: 503, message: 'this entry VM has no lease for the order' },
  'no-capacity': { status: 503, message: 'no instance of the service may take work' },
  overloaded: { status: 503, message: 'no slot becomes free before the deadline' },
  'no-free-slot': { status: 503, message: 'no slot is free at the entry VM asked' },
  displaced: { status: 503, message: 'the request gave way to an order' },
  cancelled: { status: 503, message: 'the caller went away' },
  'shutting-down': { status: 503, message: 'this entry VM is shutting down' },
  stopping: { status: 503, message: 'the entry VM of the order is shutting down' },
  evicted: { status: 503, message: 'the entry VM of the order lost its membership' },
  'witness-silent': { status: 503, message: 'the witness of the order does not answer' },
  'witness-unreachable': { status: 503, message: 'the witness of the order does not answer' },
  'witness-full': { status: 503, message: 'the witness has no room for another order' },
  'order-registry-full': { status: 503, message: 'this entry VM has no room for another order' },
  'home-silent': { status: 503, message: 'the entry VM of the order does not answer' },
  'home-gone': { status: 503, message: 'the entry VM of the order was lost' },
  'home-and-witness-gone': { status: 503, message: 'both entry VMs of the order were lost' },
  'taken-over': { status: 503, message: 'the witness has taken the order over' },
  'wrong-incarnation': { status: 503, message: 'the entry VM has restarted' },
  'not-a-member': { status: 503, message: 'the sender is not a member of the roster' },
  'deadline-passed': { status: 504, message: 'the deadline passed before the request was sent' },
  deadline: { status: 504, message: 'the deadline passed' },
  timeout: { status: 504, message: 'no answer before the deadline' },
  'too-deep': { status: 508, message: 'the call is nested too deep' },
} as const;

/** HTTP status of a response whose code is not in ANSWER_CODES. */
export const DEFAULT_REFUSAL_STATUS = 503;

/** Range of the random retry delay that refused callers are given, in milliseconds. */
export const RETRY_AFTER_RANGE_MS = { min: 100, max: 400 } as const;

/** Upper limit of the timeout that a caller can request, in milliseconds. */
export const MAX_TIMEOUT_MS = 60_000;

/** Timeout of a request whose service has no configured timeout, in milliseconds. */
export const FALLBACK_TIMEOUT_MS = 2_000;

/** Path prefix of forwarded requests on the peer port. */
export const FORWARD_BASE_PATH = '/peer/v1/forward/';

/** The HTTP parser refuses requests with larger headers. */
export const MAX_HEADER_BYTES = 16_384;

/** An event loop delay longer than this counts as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 500;

/** For this long after a pause, the daemon may still read requests that arrived in the pause. */
export const READ_BACKLOG_MS = 500;

/** Interval at which the daemon updates slot rights, opens connections and sends probes. */
export const MAINTENANCE_INTERVAL_MS = 100;

/** Processing time that a probe costs a backend server, in milliseconds. */
export const PROBE_COST_MS = 6;

/** Processing time that a new connection costs a backend server, in milliseconds. */
export const CONNECTION_COST_MS = 1;

/** A connection without a response for this long is probed if the probe budget allows it. */
export const PROBE_INTERVAL_MS = 1_000;

/** A probe without a response within this time has failed. */
export const PROBE_TIMEOUT_MS = 1_000;

/** Orders prefer connections that were opened or had a response within this time. */
export const ORDER_PREFERRED_STALENESS_MS = 2_000;

/** Without a preferred connection, orders use one opened or with a response within this time. */
export const ORDER_MAX_STALENESS_MS = 10_000;

/**
 * A slot of an instance that is not warm stays reserved for this long after its request was
 * abandoned. The backend server processes the request until it sees that the connection has closed,
 * and a request on another connection can arrive before that.
 */
export const ABANDONED_SLOT_HOLD_MS = 250;

/** Sending to a target known for longer than this to be out of service violates an invariant. */
export const OUT_OF_SERVICE_GRACE_MS = 3_000;

/** Time beyond keepForMs for which requests are still accepted after a shutdown is announced. */
export const SHUTDOWN_GRACE_MS = 1_000;

/** Time limit for requests in flight to finish at shutdown. */
export const SHUTDOWN_DRAIN_TIMEOUT_MS = 60_000;

/** Maximum number of peers to which a request is forwarded, one after the other. */
export const MAX_FORWARDS = 2;

/** Longest wait before checking again for a free slot, in milliseconds. */
export const SLOT_POLL_INTERVAL_MS = 50;

/** Maximum attempts for one request; a retry needs a not-run result or the retry budget. */
export const MAX_ATTEMPTS = 6;

/** Idle connections from callers and peers are kept open for this long. */
export const KEEP_ALIVE_MS = 65_000;

/** Delay before a member that is not yet in the roster appends another join record. */
export const JOIN_RETRY_MS = 2_000;

/** For this long, heartbeats report that an instance was observed to be cold. */
export const COLD_REPORT_MS = 2_000;

/** Time limit of each step of leaving the roster: handover, leave record and announcement. */
export const LEAVE_STEP_TIMEOUT_MS = 2_000;

/** Connect timeout when checking whether a member's process is gone. */
export const GONE_CHECK_TIMEOUT_MS = 300;

/**
 * Maximum age of an observation that an owner reports; older ones do not show the current state.
 */
export const MAX_OBSERVATION_AGE_MS = 600_000;
