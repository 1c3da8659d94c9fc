/** Service time assumed before the first response. */
export const DEFAULT_SERVICE_TIME_MS = 10;

/**
 * Weight of the latest service time in the mean, which follows a change within about 40 responses.
 * With a larger weight, one slow instance causes refusals of requests that others can serve.
 */
export const SERVICE_TIME_WEIGHT = 0.05;

/** Weight of the latest start in the mean share of orders among started requests. */
export const ORDER_SHARE_WEIGHT = 0.02;

/**
 * A delay between arrival and start counts as a wait only above this; shorter ones are scheduling
 * noise.
 */
export const MIN_WAIT_MS = 1;

/** Maximum number of waiting requests; bounds memory, while deadlines bound the wait. */
export const DEFAULT_MAX_QUEUED = 2000;

/**
 * While orders and lookups wait, a lookup is started after this many orders, so that lookups do not
 * starve.
 */
export const ORDERS_PER_LOOKUP = 8;

/**
 * New requests are refused for lack of slots only after there have been none for this time: slots
 * are usable again within milliseconds when a connection reopens or an instance is readmitted.
 */
export const NO_SLOTS_GRACE_MS = 250;

/** Shortest Retry-After that a refused caller receives. */
export const MIN_RETRY_AFTER_MS = 50;

/** Longest Retry-After that a refused caller receives. */
export const MAX_RETRY_AFTER_MS = 10_000;

/** Retry-After while there are no slots, so that no wait can be predicted. */
export const RETRY_AFTER_WITHOUT_SLOTS_MS = 1000;

/** Shortest time between two scans for expired requests; each scan reads the whole queue. */
export const MIN_EXPIRY_INTERVAL_MS = 1;

/** Maximum number of lookups displaced when an order joins the queue. */
export const MAX_DISPLACED_PER_ORDER = 2;

/** Crashes of instances at which a request has to be present to be no longer sent to instances. */
export const CRASHES_TO_QUARANTINE = 3;

/** Crashes after which a request is not sent to another instance when its next one crashes. */
export const CRASHES_TO_SUSPECT = 2;

/**
 * Time in which a response of an instance shows that it has not ended. Instances that have ended
 * need longer to start again.
 */
export const END_DISPUTE_MS = 1_000;

/** A request that was completed within this time does not crash the instances that run it. */
export const COMPLETION_MEMORY_MS = 10_000;

/** Time for which a request is not sent to instances after it has crashed several. */
export const QUARANTINE_MS = 86_400_000;

/** Remembered requests that were present at a crash. */
export const MAX_SUSPECTS = 1_024;

/** Remembered crashes of one request; more than are needed, since some may be disputed. */
export const MAX_CRASHES_PER_REQUEST = 8;

/** Remembered completions of requests. */
export const MAX_COMPLETIONS = 8_192;

/** Requests in quarantine; each costs instances, so that more are hardly to be had. */
export const MAX_QUARANTINES = 256;
