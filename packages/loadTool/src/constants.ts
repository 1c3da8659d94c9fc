/** Values used where the options leave something open. */
export const LOAD_DEFAULTS = {
  callers: 20,
  unknownRepeats: 3,
  settleMs: 500,
  timeoutMs: 1000,
  patienceMs: 3000,
  responseBytes: 512,
} as const;

/** A flood: 20 times the usual load, reached within a second. */
export const FLOOD_FACTOR = 20;
export const FLOOD_RAMP_MS = 1000;

/** Weight of an order in the service score; a lookup counts 1. */
export const ORDER_WEIGHT = 2;

/** Time for a TCP connection; loopback and the users' networks need a few ms at most. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Beyond the time limit sent to the system, so that its own answer still arrives. */
export const ANSWER_GRACE_MS = 250;

/** Time limit of a request for the addresses of a service. */
export const ADDRESSES_TIMEOUT_MS = 1000;

/** A caller starts no attempt with less time left, because it could only end as unknown. */
export const MIN_ATTEMPT_MS = 50;

/** Pause before asking again after no entry VM gave addresses, and before repeating an order. */
export const RETRY_PAUSE_MS = 100;

/** Findings listed in a result; the counts cover all of them. */
export const MAX_FINDINGS = 50;

/** Separates the ticket from the caller's part in an idempotency key. */
export const TICKET_SEPARATOR = '~';
