/**
 * Interval of reads of the instance registrations; about half of the 2 s within which a drain has
 * to take effect.
 */
export const INSTANCE_READ_INTERVAL_MS = 1_100;

/**
 * Random share by which the interval is shorter, so that the readers do not read and publish the
 * same changes at the same moment.
 */
export const READ_INTERVAL_JITTER = 0.2;

/**
 * Delay before the first retry of a failed read; further retries wait longer because each store
 * call costs money.
 */
export const STORE_RETRY_DELAY_MS = 400;

/**
 * A long poll for operators' records is renewed after this time, so that a connection on which
 * nothing arrives any more is noticed.
 */
export const OPERATOR_POLL_TIMEOUT_MS = 1_800;

/**
 * Number of entry VMs that read the store at the same time; one of them may fail without a gap in
 * the reads.
 */
export const READER_COUNT = 2;

/** Maximum number of entry VMs that watch the operators' records; each costs a long poll. */
export const MAX_OPERATOR_WATCHERS = 4;

/**
 * A read of the registrations without a response for this time counts as failed for the election of
 * readers; the store responds within 360 ms when it is slow. The call itself goes on.
 */
export const STORE_SUSPECT_MS = 400;

/**
 * A member whose store call failed within this time is elected reader only if too few other members
 * remain.
 */
export const STORE_FAILURE_MEMORY_MS = 3_000;

/** A relay that has received no heartbeat of a reader for this time reads the store itself. */
export const READER_LOST_MS = 1_200;

/** The same time for a member that hears of readers once per heartbeat interval from its relays. */
export const READER_LOST_AT_MEMBERS_MS = 2_600;

/** Heartbeat interval; a member counts as lost after three missed heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/**
 * A member without a heartbeat for this time is left out of address lists and cannot be elected
 * reader.
 */
export const MEMBER_LOST_MS = 3_200;

/** A member without a heartbeat for this time is removed from the member table. */
export const MEMBER_REMOVAL_MS = 20_000;

/**
 * Time that a starting process waits for peers before it reads the store itself. A seed, and then a
 * reader whose host the seed sends, each respond after two one-way delays between failure domains.
 */
export const PEER_STATE_WAIT_MS = 25;

/** Relays of each failure domain; one of them may fail without a gap. */
export const RELAY_COUNT = 2;

/** A relay that was not heard for this time is replaced by the next one. */
export const RELAY_LOST_MS = 1_500;

/** Time after its start from which on a process elects itself a relay. */
export const RELAY_START_DELAY_MS = 1_000;

/** Time for which a member stays a relay after another one used it as such. */
export const RELAY_ASKED_MS = 2_200;

/**
 * Time by which a listed member counts as live longer than one that was heard itself, until the
 * members of a failure domain that has lost its relays have elected others.
 */
export const RELAY_CHANGE_GRACE_MS = 1_000;

/** Time for which the results of an election of relays are used. */
export const RELAY_RESULTS_LIFETIME_MS = 200;

/** Time over which a relay gathers changes of its lists, to send them together. */
export const ROSTER_CHANGE_DELAY_MS = 60;

/** Members in one change of a list, so that it fits into a datagram. */
export const MAX_ROSTER_CHANGES = 6;

/** Messages into which a larger change of a list is split; still larger ones are fetched. */
export const MAX_ROSTER_CHANGE_MESSAGES = 4;

/** Minimum time between two digests because of large changes. */
export const MIN_DIGEST_INTERVAL_MS = 250;

/** Members of its failure domain, and of others, that a member without a relay asks at a time. */
export const SEARCHED_MEMBERS = 2;

/** Time after which a member without a relay asks again; it doubles up to the heartbeat interval. */
export const RELAY_SEARCH_INTERVAL_MS = 200;

/** Maximum random delay before lists are fetched from a relay, so that not all ask at once. */
export const ROSTER_FETCH_DELAY_MS = 150;

/** The delay doubles with each failure, at most so many times. */
export const MAX_ROSTER_FETCH_BACKOFF = 5;

/**
 * Time limit for the lists of a relay; longer than for state, since a relay that has to answer many
 * members at once does the work for nothing if they give up.
 */
export const ROSTER_FETCH_TIMEOUT_MS = 1_500;

/** Time for which a message that was passed on is not passed on again. */
export const PASSED_ON_MEMORY_MS = 500;

/** Time after the start in which a process learns of the other members and elects readers. */
export const START_SETTLE_MS = 300;

/** Interval of searches in the store for unknown members. */
export const MEMBER_SEARCH_INTERVAL_MS = 20_000;

/** Time limit for the whole response to a request for the state of a peer. */
export const PEER_FETCH_TIMEOUT_MS = 600;

/**
 * Delay before a member fetches what it has missed: changes that are still arriving make the fetch
 * needless.
 */
export const MIN_FETCH_DELAY_MS = 50;

/** Maximum additional random delay, so that not all members ask the same peer at the same moment. */
export const FETCH_DELAY_RANGE_MS = 250;

/** The same for operators' records, of which no datagrams arrive. */
export const OPERATOR_FETCH_DELAY_RANGE_MS = 80;

/**
 * Time after which an entry VM that shares a limit prefers the instance for a request, to learn
 * whether it still limits its requests.
 */
export const LIMIT_CHECK_INTERVAL_MS = 2_000;

/** Limits of instances in one message, so that it fits into a datagram. */
export const LIMITS_PER_MESSAGE = 24;

/** Further times that a changed limit is sent, since datagrams may be lost. */
export const LIMIT_RESENDS = 2;

/**
 * Interval at which a limit in force is sent again, for members that started or were cut off
 * meanwhile.
 */
export const LIMIT_REFRESH_INTERVAL_MS = 5_000;

/** Hosts in one message, so that it fits into a datagram. */
export const HOSTS_PER_MESSAGE = 64;

/** Maximum number of peers that a member asks one after the other for what it has missed. */
export const MAX_FETCH_ATTEMPTS = 4;

/** A member that has missed changes for this time reads the store itself. */
export const MISSED_CHANGES_LIMIT_MS = 900;

/**
 * Time after a store outage for which removals of expired registrations are deferred; instances
 * renew them within 2 s after the store is reachable again.
 */
export const REGISTRATION_RENEWAL_GRACE_MS = 2_200;

/**
 * If reads have failed and the time between two successful reads exceeds this, the store counts as
 * having been unavailable.
 */
export const MIN_STORE_OUTAGE_MS = 1_500;

/**
 * Instances probed in parallel for one request; in 96 of 100 cases at least one of three works at
 * full speed.
 */
export const PROBES_PER_SEARCH = 3;

/**
 * Longest wait for probe responses: 6 ms of work, a connect and two one-way delays between failure
 * domains.
 */
export const PROBE_WAIT_MS = 25;

/** After the first suitable probe response, a search waits this long for a better one. */
export const BETTER_PROBE_WAIT_MS = 2;

/**
 * A load report up to this age is used instead of a probe; an instance keeps its slowdown for about
 * 150 ms.
 */
export const MAX_REPORT_AGE_MS = 35;

/** Up to this slowdown, an instance is selected without further search. */
export const MAX_GOOD_SLOWDOWN = 1.6;

/**
 * Maximum age of an instance's last health response; after a longer time the instance could have
 * become cold unnoticed.
 */
export const MAX_HEALTH_AGE_MS = 800;

/**
 * When no instance has responded within this time, a request is sent only after a successful probe.
 * Searches probe several instances a second while there are requests.
 */
export const MAX_RESPONSE_AGE_MS = 1_000;

/**
 * Minimum interval between two requests of a service that are sent although no instance responds to
 * probes.
 */
export const SILENT_TRIAL_INTERVAL_MS = 1_000;

/** Pause between two attempts of one search to find an instance. */
export const SEARCH_PAUSE_MS = 8;

/**
 * Share of its latency objective that a request spends searching for an instance before it is
 * refused.
 */
export const SEARCH_TIME_SHARE = 0.125;

/** Slots per instance that requests of lower priority leave free for the most urgent ones. */
export const RESERVED_SLOTS = 1;

/**
 * Subtracted from the deadline that the backend server receives, to leave time for sending the
 * response back.
 */
export const RESPONSE_MARGIN_MS = 5;

/** Minimum Retry-After of a refusal as a share of the latency objective. */
export const RETRY_AFTER_MIN_SHARE = 0.2;

/** Maximum Retry-After as a share of the caller's remaining time; callers do not wait longer. */
export const RETRY_AFTER_MAX_SHARE = 0.33;

/**
 * Minimum Retry-After while the process has no configuration. The process asks peers or the store
 * within 25 ms of its start, and callers retry only once. A random delay up to twice this time
 * spreads the retries.
 */
export const RETRY_AFTER_WITHOUT_STATE_MS = 100;

/**
 * Share of the allowed retry ratio that entry VMs use; a small reserve is enough because requests
 * are counted exactly.
 */
export const RETRY_RATIO_SHARE = 0.9;

/**
 * Of the retries allowed beyond the ratio, the share that is divided among entry VMs; the rest covers
 * members that are not known yet and restarted processes, which begin with a full share.
 */
export const RETRY_SLACK_SHARE = 0.65;

/** Share of an instance's connection limit that is divided among entry VMs. */
export const CONNECTION_SHARE = 0.7;

/** Maximum connections of one entry VM to one instance. */
export const MAX_CONNECTIONS_PER_INSTANCE = 24;

/** Idle connections are closed after this time, before instances close theirs after about 10 s. */
export const CONNECTION_IDLE_MS = 7_500;

/**
 * A non-idempotent request reuses a connection only if it was confirmed to work within this time.
 */
export const MAX_CONNECTION_CHECK_AGE_MS = 2_000;

/** Connect timeout for an instance: two one-way delays, the handshake and a margin for load. */
export const CONNECT_TIMEOUT_MS = 200;

/** Maximum size of a response, since each one is buffered whole. */
export const MAX_RESPONSE_BYTES = 16_777_216;

/**
 * Work time of a route that is assumed before its first response, as a share of the latency
 * objective.
 */
export const INITIAL_WORK_SHARE = 0.3;

/** Weight of the latest response in the moving average of a route's work time. */
export const WORK_WEIGHT = 0.05;

/** Time for which callers may cache an address list; some cache it three times as long. */
export const ADDRESS_TTL_MS = 3_000;

/**
 * Maximum size of request headers. Node fixes it when the server is created, before the
 * configuration is known.
 */
export const MAX_HEADER_BYTES = 65_536;

/** Keep-alive timeout of callers' connections until a configuration is applied. */
export const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

/**
 * After SIGTERM, new connections are accepted for this time, until callers have switched to other
 * entry VMs.
 */
export const STOP_ACCEPT_MS = 3_500;

/** Subtracted from the stop grace period, to leave time for the process to exit. */
export const STOP_RESERVE_MS = 400;

/**
 * Time between the latest deadline of a request that a stopping entry VM handles and the end of its
 * stop, to write the response.
 */
export const STOP_RESPONSE_MARGIN_MS = 200;

/** Interval at which a member that is not a reader checks whether it has to read the store. */
export const READER_CHECK_INTERVAL_MS = 150;

/** Share of this VM's link that changes of registrations may use while they are sent. */
export const CHANGES_LINK_SHARE = 0.5;

/** Interval at which queued datagrams are sent. */
export const SEND_INTERVAL_MS = 5;

/** Maximum size of the decompressed content of a datagram. */
export const MAX_MESSAGE_BYTES = 65_536;

/** Maximum size of a datagram; larger ones would be fragmented, and lost if one fragment is. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** Maximum size of a peer's state; even a state with thousands of routes is far smaller. */
export const MAX_PEER_STATE_BYTES = 33_554_432;

/**
 * Reported age of the registrations before the first read; finite because heartbeats carry it as a
 * JSON number.
 */
export const NEVER_READ_AGE_MS = 1_000_000_000;

/**
 * Weight of the latest outcome in the failure share of an instance; two or three failures in a row
 * stand out.
 */
export const FAILURE_SHARE_WEIGHT = 0.25;

/**
 * Half-life of the failure share without new outcomes, so that a failed instance receives requests
 * again.
 */
export const FAILURE_SHARE_HALF_LIFE_MS = 2_000;

/** Minimum connections of one entry VM to one instance; enough for a probe beside requests. */
export const MIN_CONNECTIONS_PER_INSTANCE = 2;

/** Maximum concurrent searches for one service; more would send probes that find nothing. */
export const MAX_CONCURRENT_SEARCHES = 6;

/** Weight of the latest load report in the moving average of a service's utilization. */
export const UTILIZATION_WEIGHT = 0.05;

/** Above this utilization, requests of lower priority leave the reserved slots free. */
export const RESERVE_UTILIZATION = 0.6;

/**
 * A probe times out after this time, long after the request that caused the probe stopped waiting.
 */
export const PROBE_ATTEMPT_TIMEOUT_MS = 300;

/**
 * Search time before a retry; it is short because the first search has already used part of the
 * time.
 */
export const RETRY_SEARCH_MS = 30;

/** Search time for the instance of a hedged request; enough for one round of probes. */
export const HEDGE_SEARCH_MS = 10;

/**
 * A cancelled attempt that had run for this multiple of its expected time counts as a failure of
 * the instance.
 */
export const HEDGE_SLOW_FACTOR = 4;

/**
 * A request with less than this share of its latency objective left is not sent, since its response
 * would come too late.
 */
export const MIN_REMAINING_SHARE = 0.12;

/** Maximum instances tried per request, including those that could not be reached. */
export const MAX_TRIED_INSTANCES = 4;

/**
 * Priority boost of a request whose caller was refused before and retries: its search for an
 * instance runs before those of new requests.
 */
export const CALLER_RETRY_PRIORITY_BOOST = 10;

/**
 * Differences below this between a caller's timeout and the longest timeout of its route do not
 * count as an earlier attempt.
 */
export const MIN_EARLIER_WAIT_MS = 15;

/** Maximum size of a request body until a configuration is applied. */
export const DEFAULT_MAX_BODY_BYTES = 16_777_216;

/** Interval at which buffered log lines are written; each write costs a wake-up. */
export const LOG_FLUSH_INTERVAL_MS = 250;

/** Time limit for writing the remaining log lines when the process ends. */
export const LOG_CLOSE_TIMEOUT_MS = 200;

/** Interval at which idle connections are closed and connection limits are updated. */
export const SWEEP_INTERVAL_MS = 2_000;

/** Time for which a connection that was ended is read until its caller closes it. */
export const LINGER_MS = 1_000;

/** Time limit for reading what has arrived, on a process with too little processor time. */
export const READ_ARRIVED_LIMIT_MS = 1_500;

/** Interval at which a stopping process checks its requests in flight. */
export const STOP_CHECK_INTERVAL_MS = 50;

/**
 * Least number of estimated free slots that counts as a free slot; estimates from older reports are
 * fractions.
 */
export const MIN_FREE_SLOTS = 0.5;

/** Above this utilization, a request is refused instead of being sent to a slow instance. */
export const MAX_SLOW_INSTANCE_UTILIZATION = 0.5;

/**
 * Share by which the longest known timeout of a route's callers decays, with each request, towards
 * the shorter timeout of that request.
 */
export const LONGEST_TIMEOUT_DECAY = 0.002;

/** Time for which a removed registration is remembered, so that older records of it are ignored. */
export const TOMBSTONE_LIFETIME_MS = 600_000;

/** Version of the configuration of an entry VM that has none. */
export const NO_VERSION = -1;

/** Store position of a record or a removal that does not exist. */
export const NO_POSITION = -1;

/**
 * A shift of the time at which an instance becomes warm is sent to other entry VMs if it exceeds
 * this; renewals repeat the remaining time up to some hundred milliseconds late.
 */
export const COLD_TIME_TOLERANCE_MS = 500;

/**
 * Removed registrations are kept after an outage if they are at least this share of the instances;
 * the others carry the load of fewer.
 */
export const MASS_EXPIRY_SHARE = 0.25;

/** Maximum number of remembered results of the distribution of instances among members. */
export const MAX_INSTANCE_SHARER_RESULTS = 4_096;

/** Characters of a request's fingerprint; 22 of base64 are 132 bits. */
export const FINGERPRINT_LENGTH = 22;

/**
 * Time within which an instance that has ended refuses a connection: two one-way delays between
 * failure domains and a margin for load.
 */
export const END_CHECK_TIMEOUT_MS = 50;

/** Further times that a report of a crash is sent, since datagrams may be lost. */
export const CRASH_REPORT_RESENDS = 2;

/** Reports of crashes in one message, so that it fits into a datagram. */
export const CRASH_REPORTS_PER_MESSAGE = 16;

/** Quarantines in one message, so that it fits into a datagram. */
export const QUARANTINES_PER_MESSAGE = 24;

/** Digest of the quarantined requests that members of earlier builds do not send. */
export const NO_DIGEST = -1;

/** Delay before quarantines are exchanged with the store again after a failed call. */
export const QUARANTINE_STORE_RETRY_MS = 5_000;

/**
 * Retry-After of a quarantined request. Its caller would not be served earlier than the quarantine
 * ends, or by another request.
 */
export const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Path of the requests that one entry VM forwards to another one. */
export const FORWARD_PATH = '/forward/1';

/** Members that a request is offered to, one after the other, until one does not decline it. */
export const MAX_FORWARD_ATTEMPTS = 3;

/** Requests that this entry VM forwards at the same time. */
export const MAX_FORWARDS = 512;

/** Forwarded requests that this entry VM handles at the same time. */
export const MAX_RECEIVED_FORWARDS = 256;

/** Bytes of forwarded requests that this entry VM keeps at the same time. */
export const MAX_FORWARDED_BYTES = 33_554_432;

/** Time limit for a connection to a member. */
export const FORWARD_CONNECT_TIMEOUT_MS = 100;

/** Time after which a member closes an idle connection of another one. */
export const PEER_CONNECTION_IDLE_MS = 15_000;

/** A request is forwarded only to members that were heard within this time. */
export const FORWARDER_MAX_AGE_MS = 2_200;

/** Interval of probes that show whether a service is reached again. */
export const RECOVERY_PROBE_INTERVAL_MS = 200;

/** Instances of a service that are probed at each interval while the service is not reached. */
export const RECOVERY_PROBES = 3;

/** Time for which instances have to be reached before the entry VM is named to callers again. */
export const LISTING_DELAY_MS = 1_000;

/** Minimum time between two notices to all members that the reached services have changed. */
export const MIN_REACH_NOTICE_INTERVAL_MS = 200;

/**
 * Share of the members of a failure domain that has to reach instances for its callers to be sent to
 * these members only.
 */
export const MIN_LISTED_SHARE = 0.25;

/** Requests in flight at a near member from which on a member of another failure domain is used. */
export const FAR_FORWARD_PENALTY = 6;

/** Characters of the longest name of an instance, a service, a failure domain or an entry VM. */
export const MAX_NAME_CHARS = 128;

/** Largest number of slots of an instance. */
export const MAX_SLOTS = 4_096;

/** Longest time for which an instance can be cold. */
export const MAX_COLD_MS = 3_600_000;

/** Longest time for which an instance can ask for a pause. */
export const MAX_PAUSE_MS = 60_000;

/** Latest point in time in Unix milliseconds, the end of the year 2099. */
export const MAX_WALL_MS = 4_102_444_800_000;

/** Largest count, such as the sequence of a registration that is renewed every second. */
export const MAX_COUNT = 2 ** 31 - 1;

/** Largest number of times that the store can be restored from a copy. */
export const MAX_ERA = 4_096;

/** Most names or texts in a list of a message. */
export const MAX_LISTED_TEXTS = 1_024;

/** Characters of the longest text in a list of a message, such as two names. */
export const MAX_LISTED_TEXT_CHARS = 300;

/** Largest request limit of an instance. */
export const MAX_REQUESTS_PER_S = 1_000_000;

/** Interval at which the same record is logged again as left out. */
export const LEFT_OUT_LOG_INTERVAL_MS = 60_000;

/** Records that are remembered as left out, so that each is logged once. */
export const MAX_LEFT_OUT_RECORDS = 1_024;

/** A time without a read of the store by any member is logged from this length on. */
export const MIN_LOGGED_READ_GAP_MS = 2_400;

/** A delay of a timer is logged from this length on. */
export const MIN_LOGGED_LOOP_DELAY_MS = 400;

/** Time for which the largest delay of a timer is remembered. */
export const LOOP_DELAY_MEMORY_MS = 3_000;
