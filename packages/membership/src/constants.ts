/** Validity of a grant of the member lease, from the time when the heartbeat was sent. */
export const LEASE_MS = 3000;

/** Added to the lease when waiting for another member's lease to expire; covers clock drift. */
export const SETTLEMENT_MARGIN_MS = 500;

/** Time after which a member must confirm again that its configuration is up to date. */
export const FRESHNESS_MS = 3000;

/** An event loop delay above this counts as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 500;

/** Interval between heartbeats to a peer. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Minimum interval between two heartbeats to a peer, also for urgent ones. */
export const URGENT_INTERVAL_MS = 50;

/**
 * Timeout of a heartbeat. It is below a third of the lease, so that the loss of several datagrams
 * does not end the lease.
 */
export const HEARTBEAT_TIMEOUT_MS = 750;

/** Timeout of a state fetch, whose response can be megabytes long. */
export const FETCH_STATE_TIMEOUT_MS = 3000;

/** Delay between the two refused connections after which a process counts as gone. */
export const REFUSAL_CONFIRMATION_DELAY_MS = 100;

/** Time without a message from a member after which it is evicted. */
export const SILENCE_LIMIT_MS = 3000;

/** Delay per rank before a member evicts a silent one, so that usually only one of them does. */
export const EVICTION_RANK_DELAY_MS = 500;

/** Delay per rank before a member evicts another that is confirmed gone. */
export const GONE_RANK_DELAY_MS = 100;

/** Delay before an eviction is appended again if the roster has not changed. */
export const EVICTION_RETRY_MS = 2000;

/** Time for which a caller may cache the addresses of entry VMs. */
export const ADDRESSES_KEEP_FOR_MS = 5000;

/** Time after its issue for which a ticket may be used for new orders. */
export const TICKET_VALID_MS = 60_000;

/** Members without a message for this long are chosen last, as home or as witness. */
export const RECENTLY_HEARD_MS = 1500;

/** Default interval at which the VM list is polled. */
export const VM_LIST_INTERVAL_MS = 1000;

/** Timeout of a read of the VM list. */
export const VM_LIST_TIMEOUT_MS = 2000;

/** Larger responses to a read of the VM list are rejected. */
export const VM_LIST_MAX_BYTES = 8 * 1024 * 1024;

/**
 * Time, measured by `asOfMs` of the lists, after which an expected VM that was never listed counts
 * as gone. Such a VM had left the list before this process first read the list, or it has just
 * started, since the list lags behind.
 */
export const NEVER_LISTED_GONE_MS = 60_000;

/**
 * Number of unsettled rosters above which the oldest ones with the same members are merged. It
 * limits memory when the configuration changes often while no epoch can be settled.
 */
export const MAX_UNSETTLED_ROSTERS = 64;

/** Largest number of former members stored in order to answer whether one of them is gone. */
export const MAX_FORMER_MEMBERS = 1024;

/**
 * Time for which a peer must be ahead of this member before its state is fetched. A state can be
 * megabytes long, and the log normally delivers the same records within this time.
 */
export const FETCH_STATE_DELAY_MS = 300;

/** Larger heartbeat datagrams are dropped without decoding. */
export const MAX_DATAGRAM_BYTES = 32_768;
