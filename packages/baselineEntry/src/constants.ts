/** Ways in which a baseline process chooses an instance. */
export const POLICIES = ['random', 'round-robin', 'least-outstanding', 'two-choices'] as const;

/** Callers keep the addresses for this long, as those of the real entry daemon do. */
export const KEEP_FOR_MS = 5_000;

/** Time for which a ticket is valid for new orders, as that of the real entry daemon. */
export const TICKET_VALID_MS = 60_000;

/** Further instances tried after an attempt that is proven not to have run. */
export const MAX_RETRIES = 2;

/** Time limit of a request that names none. */
export const DEFAULT_TIMEOUT_MS = 2_000;

/** Refused callers come back after a time spread over this range, as with the real daemon. */
export const RETRY_AFTER_RANGE_MS = { min: 100, max: 400 } as const;

/** Idle connections of callers are kept for this long. */
export const KEEP_ALIVE_MS = 65_000;
