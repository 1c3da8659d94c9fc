/** Time for which a grant of the member lease is valid, from the send of the heartbeat. */
export const LEASE_MS = 3000;

/** Added to the lease when waiting for it to expire elsewhere; covers differences in clock rate. */
export const SETTLEMENT_MARGIN_MS = 500;

/** Time after which knowledge of the configuration has to be confirmed again. */
export const FRESHNESS_MS = 3000;

/** An event loop gap above this counts as a pause of the process. */
export const PAUSE_MS = 500;

/** Interval between heartbeats to a peer. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Urgent heartbeats are sent at most this often. */
export const URGENT_INTERVAL_MS = 50;

/**
 * Time limit of a heartbeat. It is below a third of the lease, so that a connection that goes silent
 * is replaced and the lease renewed on a new one before it expires.
 */
export const HEARTBEAT_TIMEOUT_MS = 750;

/** Time limit of a state fetch, whose response can be megabytes long. */
export const FETCH_STATE_TIMEOUT_MS = 3000;

/** Delay between the two refused connections that prove a process gone. */
export const REFUSAL_CONFIRM_MS = 100;

/** A member not heard from for this long is evicted. */
export const SILENT_MS = 3000;

/** Delay for each rank before a member evicts another, so that usually only one appends. */
export const EVICTION_RANK_DELAY_MS = 500;

/** Delay for each rank before a member evicts one that is confirmed gone. */
export const GONE_RANK_DELAY_MS = 100;

/** Wait before an eviction is appended again when the roster has not changed. */
export const EVICTION_RETRY_MS = 2000;

/** Time for which a caller may keep the addresses. */
export const KEEP_FOR_MS = 5000;

/** Time for which a ticket is valid for new orders. */
export const TICKET_VALID_MS = 60_000;

/** A member is named as witness only if it was heard within this time. */
export const RECENTLY_HEARD_MS = 1500;

/** Interval between reads of the VM list. */
export const VM_LIST_INTERVAL_MS = 1000;

/** Time limit of a read of the VM list. */
export const VM_LIST_TIMEOUT_MS = 2000;

/** Largest VM list accepted, in bytes. */
export const VM_LIST_MAX_BYTES = 8 * 1024 * 1024;

/**
 * A VM that never appears while the list advances by this much is gone. It only concerns VMs that
 * had left the list before this process first read it; the list can lag behind a VM's start.
 */
export const NEVER_LISTED_GONE_MS = 60_000;

/**
 * Unsettled rosters kept apart; above this number, the oldest ones with the same members are joined.
 * It bounds memory when the configuration changes often while no epoch can be settled.
 */
export const MAX_UNSETTLED_ROSTERS = 64;

/** Former members remembered, to answer whether one of them is gone. */
export const MAX_FORMER_MEMBERS = 1024;

/**
 * Time for which a peer stays ahead before its state is fetched. Normally the log delivers the same
 * records within this time, and a state can be megabytes long.
 */
export const FETCH_STATE_DELAY_MS = 300;
