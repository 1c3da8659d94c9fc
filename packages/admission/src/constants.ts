/** Service time assumed until the first responses were measured. */
export const DEFAULT_SERVICE_TIME_MS = 10;

/**
 * Weight of the latest service time in the mean, which follows a change within about 40 responses.
 * With a larger weight, one response of a slow instance refuses requests that the others can serve.
 */
export const SERVICE_TIME_WEIGHT = 0.05;

/** Weight of the latest start in the share of starts that are orders. */
export const ORDER_SHARE_WEIGHT = 0.02;

/** A start later than this after the arrival counts as a wait; less is scheduling. */
export const MIN_WAIT_MS = 1;

/** Requests that may wait; bounds memory, the deadline bounds the wait. */
export const DEFAULT_MAX_QUEUED = 2000;

/** While both wait, one lookup is started after this many orders, so that lookups do not starve. */
export const ORDERS_PER_LOOKUP = 8;

/**
 * A gap without usable slots up to this long does not refuse new requests: slots return within
 * milliseconds when a connection reopens or an ejected instance is readmitted.
 */
export const SLOT_GAP_MS = 250;

/** Bounds of the retry-after that a refused caller receives. */
export const MIN_RETRY_AFTER_MS = 50;
export const MAX_RETRY_AFTER_MS = 10_000;

/** Retry-after while there are no slots and so no predicted wait. */
export const RETRY_AFTER_WITHOUT_SLOTS_MS = 1000;

/** Shortest time between two searches for expired requests; a search visits the whole queue. */
export const MIN_EXPIRY_INTERVAL_MS = 1;

/** Waiting lookups checked for displacement when an order joins the queue. */
export const DISPLACEMENT_CHECKS_PER_ORDER = 2;
