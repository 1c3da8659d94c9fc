/** Names of the policies by which a baseline process selects an instance. */
export const POLICIES = ['random', 'round-robin', 'least-outstanding', 'two-choices'] as const;

/** Time for which callers may cache addresses; the same as with the real entry daemon. */
export const ADDRESSES_KEEP_FOR_MS = 5_000;

/** Time for which a ticket is valid for new orders; the same as with the real entry daemon. */
export const TICKET_VALID_MS = 60_000;

/** Maximum number of retries after attempts that certainly did not run. */
export const MAX_RETRIES = 2;

/** Timeout of a request without a timeout header. */
export const DEFAULT_TIMEOUT_MS = 2_000;

/** Range of the random retry delay sent to refused callers; the same as with the real daemon. */
export const RETRY_AFTER_RANGE_MS = { min: 100, max: 400 } as const;

/** Time after which idle connections of callers are closed. */
export const KEEP_ALIVE_MS = 65_000;
