/** A ticket may be used for new orders for this time. */
export const TICKET_VALIDITY_MS = 60_000;

/** Entries are kept at least this long after the issue of their ticket. */
export const RETENTION_MS = 15 * 60_000;

/** Clocks of two entry VMs may differ by this; a ticket from further in the future is rejected. */
export const CLOCK_SKEW_MS = 60_000;

/**
 * Kept from the creation of an entry. A ticket that looks younger than the retention was issued at
 * most `CLOCK_SKEW_MS` after the entry was created, so its entry still exists.
 */
export const ENTRY_LIFETIME_MS = RETENTION_MS + CLOCK_SKEW_MS;

/** Longest caller part of an idempotency key, in characters. */
export const MAX_CALLER_PART_LENGTH = 128;

/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 384;

/** Responses with larger bodies are not kept for repeats. */
export const MAX_STORED_BODY_BYTES = 16 * 1024;

/** Limits of a registry; `bench/registry.ts` measures the memory that they amount to. */
export const DEFAULT_LIMITS = {
  maxEntries: 100_000,
  maxBodyBytes: 48 * 1024 * 1024,
  maxRefusals: 20_000,
} as const;

/** Pause between two tries to reach a member or to learn the end of an order. */
export const POLL_INTERVAL_MS = 100;

/** Pause before reports that got no response are repeated. */
export const REPORT_RETRY_MS = 500;

/** Reports waiting beyond this number are dropped; the repeat of such an order gives `unknown`. */
export const MAX_WAITING_REPORTS = 10_000;

/** Completions in one message. */
export const MAX_REPORTS_PER_MESSAGE = 64;

/** Retry-after of refusals that this package decides. */
export const REFUSAL_RETRY_AFTER_MS = 1000;

/** Retry-after of answers with outcome `unknown` that a repeat can improve. */
export const UNKNOWN_RETRY_AFTER_MS = 500;

/** Codes of the answers that this package creates. */
export const OrderCode = {
  badKey: 'bad-key',
  keyReused: 'key-reused',
  ticketExpired: 'ticket-expired',
  registryFull: 'order-registry-full',
  witnessSilent: 'witness-silent',
  witnessFull: 'witness-full',
  homeSilent: 'home-silent',
  homeGone: 'home-gone',
  partnersGone: 'home-and-witness-gone',
  witnessUnreachable: 'witness-unreachable',
  takenOver: 'taken-over',
  noLease: 'no-member-lease',
  deadline: 'deadline',
  evicted: 'evicted',
  stopping: 'stopping',
  internal: 'internal-error',
} as const;

/** An attempt may end this much after the deadline of a waiting request before that gives up. */
export const DEADLINE_GRACE_MS = 20;

/** A claim, release or similar message without a response is given up after this time. */
export const CALL_TIMEOUT_MS = 300;

/** A connection to another entry VM that is not established within this time is given up. */
export const CONNECT_TIMEOUT_MS = 500;

/** Connections to one peer for claims and similar messages, and for forwarded orders. */
export const MAX_CALL_SOCKETS = 32;
export const MAX_FORWARD_SOCKETS = 512;

/** Largest message between members: 64 completions of 16 KiB with their headers. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Largest body of a forwarded order. */
export const MAX_ORDER_BODY_BYTES = 1024 * 1024;

/** Paths of the messages between members. */
export const PeerPath = {
  claims: '/peer/v1/claims',
  takeovers: '/peer/v1/takeovers',
  releases: '/peer/v1/releases',
  completions: '/peer/v1/completions',
  handovers: '/peer/v1/handovers',
  forward: '/peer/v1/forward',
} as const;

/** Headers on responses to forwarded orders. */
export const ForwardHeader = {
  /** `stored` for the response of a backend server, `decided` for an answer of the member. */
  kind: 'bronzelift-order-answer',
  /** Status of the response of the backend server. */
  status: 'bronzelift-order-status',
} as const;

/** Status of a response to a message for another incarnation: misdirected request. */
export const STATUS_WRONG_INCARNATION = 421;
