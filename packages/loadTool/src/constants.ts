/** Defaults for options that a load plan does not set. */
export const LOAD_DEFAULTS = {
  callers: 20,
  unknownRepeats: 3,
  settleMs: 500,
  timeoutMs: 1000,
  patienceMs: 3000,
  responseBytes: 512,
} as const;

/** Peak rate of the flood load: 20 times the usual rate. */
export const FLOOD_FACTOR = 20;

/** Time in which the flood load rises to its peak: one second. */
export const FLOOD_RAMP_MS = 1000;

/** Weight of an order in the service score; a lookup counts 1. */
export const ORDER_WEIGHT = 2;

/**
 * Timeout of a TCP connection attempt, which takes a few ms at most on loopback and in users'
 * networks.
 */
export const CONNECT_TIMEOUT_MS = 1000;

/** Added to the request timeout on the caller's side, so that the system's own timeout response
 * still arrives. */
export const RESPONSE_GRACE_MS = 250;

/** Timeout of a request for the entry VM addresses of a service. */
export const ADDRESSES_TIMEOUT_MS = 1000;

/** Minimum time left for another attempt; a shorter one would time out with outcome unknown. */
export const MIN_ATTEMPT_MS = 50;

/** Pause before a retry when no entry VM returned addresses or the outcome of an order is unknown. */
export const RETRY_PAUSE_MS = 100;

/** Maximum number of findings listed in a result; the counts include the ones not listed. */
export const MAX_FINDINGS = 50;

/** Separates, in an idempotency key, the ticket from the part that the caller generates. */
export const TICKET_SEPARATOR = '~';
