/** Time after its issue for which a ticket may be used for new orders. */
export const TICKET_VALIDITY_MS = 60_000;

/** Minimum time for which the entry of a key is kept after the issue of its ticket. */
export const RETENTION_MS = 15 * 60_000;

/** Largest clock difference of two entry VMs; tickets from further in the future are rejected. */
export const CLOCK_SKEW_MS = 60_000;

/**
 * Lifetime of an entry, from its creation. A ticket younger than the retention was issued at most
 * `CLOCK_SKEW_MS` after the creation of its entry, so the entry still exists.
 */
export const ENTRY_LIFETIME_MS = RETENTION_MS + CLOCK_SKEW_MS;

/** Longest caller part of an idempotency key, in characters. */
export const MAX_CALLER_PART_LENGTH = 128;

/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 384;

/** Larger response bodies are not stored; a retry of their order gets `answer-not-kept`. */
export const MAX_STORED_BODY_BYTES = 16 * 1024;

/** Default limits of a registry; `bench/registry.ts` measures the memory use at these limits. */
export const DEFAULT_LIMITS = {
  maxEntries: 100_000,
  maxBodyBytes: 48 * 1024 * 1024,
  maxRefusals: 20_000,
} as const;

/** Delay between two attempts to reach a member or to learn whether an order ran. */
export const POLL_INTERVAL_MS = 100;

/** Delay before reports without a response are sent again. */
export const REPORT_RETRY_MS = 500;

/** Reports beyond this queue length are dropped; a retry of their order may get `unknown`. */
export const MAX_WAITING_REPORTS = 10_000;

/** Largest number of completions or handed over keys in one message. */
export const MAX_REPORTS_PER_MESSAGE = 64;

/** Retry-After of refusals that this package itself creates. */
export const REFUSAL_RETRY_AFTER_MS = 1000;

/** Retry-After of `unknown` answers when a retry may learn whether the order ran. */
export const UNKNOWN_RETRY_AFTER_MS = 500;

/** Codes in the answers to callers that explain the outcome of an order. */
export const OrderCode = {
  badKey: 'bad-key',
  keyReused: 'key-reused',
  ticketExpired: 'ticket-expired',
  registryFull: 'order-registry-full',
  witnessSilent: 'witness-silent',
  witnessFull: 'witness-full',
  homeSilent: 'home-silent',
  homeGone: 'home-gone',
  homeAndWitnessGone: 'home-and-witness-gone',
  witnessUnreachable: 'witness-unreachable',
  takenOver: 'taken-over',
  noLease: 'no-member-lease',
  deadline: 'deadline',
  evicted: 'evicted',
  stopping: 'stopping',
  internal: 'internal-error',
} as const;

/** Time after its deadline for which a request still waits for the result of its attempt. */
export const DEADLINE_GRACE_MS = 20;

/** Timeout of a claim, release or similar message. */
export const CALL_TIMEOUT_MS = 300;

/** Timeout for establishing a connection to another entry VM. */
export const CONNECT_TIMEOUT_MS = 500;

/** Largest number of connections to one peer for claims and similar messages. */
export const MAX_CALL_SOCKETS = 32;

/** Largest number of connections to one peer for forwarded orders. */
export const MAX_FORWARD_SOCKETS = 512;

/** Largest message between members; 64 completions of 16 KiB with their headers fit into it. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Largest body of a forwarded order. */
export const MAX_ORDER_BODY_BYTES = 1024 * 1024;

/** HTTP paths of the messages between members. */
export const PeerPath = {
  claims: '/peer/v1/claims',
  takeovers: '/peer/v1/takeovers',
  releases: '/peer/v1/releases',
  completions: '/peer/v1/completions',
  handovers: '/peer/v1/handovers',
  forward: '/peer/v1/forward',
} as const;

/** Headers that tell how to interpret the response to a forwarded order. */
export const ForwardHeader = {
  /** `stored`: response of a backend server; `decided`: answer of the member, as JSON. */
  kind: 'bronzelift-order-answer',
  /** HTTP status that the backend server sent. */
  status: 'bronzelift-order-status',
} as const;

/** HTTP status 421 (misdirected request): the message was meant for another incarnation. */
export const STATUS_WRONG_INCARNATION = 421;
