/** Codes of answers that do not come from a backend server, with status and text. */
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

/** Status of codes that are not in the table. */
export const DEFAULT_REFUSAL_STATUS = 503;

/** Refused callers come back after a time spread over this range, in milliseconds. */
export const RETRY_AFTER_RANGE_MS = { min: 100, max: 400 } as const;

/** Largest time limit that a caller can ask for. */
export const MAX_TIMEOUT_MS = 60_000;

/** Timeout of a request that names a service without configuration, in milliseconds. */
export const FALLBACK_TIMEOUT_MS = 2_000;

/** Paths of forwarded requests on the peer port. */
export const FORWARD_PREFIX = '/peer/v1/forward/';

/** Request headers larger than this are refused by the HTTP parser. */
export const MAX_HEADER_BYTES = 16_384;

/** An event loop gap above this counts as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 500;

/** Time after a pause within which requests that arrived during it may still be read. */
export const READ_BACKLOG_MS = 500;

/** How often the daemon refreshes rights, connections and probes. */
export const MAINTENANCE_INTERVAL_MS = 100;

/** Backend time that a probe and a new connection cost, in milliseconds. */
export const PROBE_COST_MS = 6;
export const CONNECTION_COST_MS = 1;

/** A connection without a response for this long is probed, as far as the budget allows. */
export const PROBE_INTERVAL_MS = 1_000;

/** A probe without a response by then counts as failed. */
export const PROBE_TIMEOUT_MS = 1_000;

/** Orders prefer connections that were proven live within this time. */
export const PROVEN_CONNECTION_MS = 2_000;

/** Without a better one, orders take a connection proven within this time. */
export const USABLE_UNPROVEN_MS = 10_000;

/**
 * A slot of an instance that is not warm stays taken for this long after its request was given up.
 * The backend server works on the request until it has seen the end of the connection; the next
 * request, on another connection, may overtake that.
 */
export const GIVEN_UP_HOLD_MS = 250;

/** Work sent to a target that has been known to be out for longer violates an invariant. */
export const OUT_GRACE_MS = 3_000;

/** Wait between the announcement of a shutdown and the end of service, beyond keepForMs. */
export const SHUTDOWN_EXTRA_MS = 1_000;

/** Limit of the wait for requests in flight at shutdown. */
export const SHUTDOWN_DRAIN_LIMIT_MS = 60_000;

/** Peers that a request is offered to, one after the other. */
export const MAX_FORWARDS = 2;

/** Longest wait for a slot between two looks, in milliseconds. */
export const SLOT_WAIT_MS = 50;

/** Attempts at one request, proven not to have run or covered by the retry budget. */
export const MAX_ATTEMPTS = 6;

/** Idle connections of callers and peers are kept for this long. */
export const KEEP_ALIVE_MS = 65_000;

/** Pause between two join records of a member that is not in the roster yet. */
export const JOIN_RETRY_MS = 2_000;

/** Time for which heartbeats tell that an instance was seen cold. */
export const COLD_NOTICE_MS = 2_000;

/** Limit of each step of leaving: handover, record and announcement. */
export const LEAVE_LIMIT_MS = 2_000;

/** Limit of one connection that checks whether a member is gone. */
export const CONFIRM_TIMEOUT_MS = 300;

/** Older observations of an owner are not reported; they would prove nothing. */
export const MAX_OBSERVATION_AGE_MS = 600_000;
