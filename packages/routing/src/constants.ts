import type { FailureKind } from './types.js';

/**
 * Weight of the latest response in an instance's latency; two or three responses reveal a slowdown.
 */
export const LATENCY_WEIGHT = 0.3;

/**
 * Time constant with which an instance's latency above the median decays while it sends no
 * responses. Without the decay, an instance that was slow once would never be selected or measured
 * again.
 */
export const LATENCY_DECAY_MS = 1_000;

/**
 * Costs whose relative difference is smaller than this count as equal, so that both instances are
 * measured.
 */
export const COST_TOLERANCE = 0.05;

/** Each consecutive failure doubles the cost of an instance; the factor halves after this time. */
export const FAILURE_DECAY_MS = 200;

/** Maximum number of doublings of an instance's cost by consecutive failures. */
export const MAX_FAILURE_DOUBLINGS = 6;

/** Responses needed before an instance's latency is compared with that of the others. */
export const MIN_LATENCY_SAMPLES = 3;

/** An instance this many times slower than the median of its service is ejected. */
export const SLOW_FACTOR = 3;

/** Consecutive slow responses until ejection, so that a single slow request ejects no instance. */
export const MIN_CONSECUTIVE_SLOW = 2;

/** Latency differences below this are scheduling noise and never eject an instance. */
export const SLOW_MARGIN_MS = 5;

/** At most one in this many instances of a service is ejected. */
export const EJECTED_SHARE_DIVISOR = 3;

/** Age at which the cached median latency of a service is recalculated. */
export const MEDIAN_MAX_AGE_MS = 5;

/** Time until the first trial request after an ejection; doubles with each failed trial. */
export const BASE_EJECTION_MS = 200;

/** Upper bound of the time until a trial request, before its random variation. */
export const MAX_EJECTION_MS = 10_000;

/** Random variation of ejection intervals, so that entry VMs do not send trials together. */
export const EJECTION_JITTER = 0.3;

/** After this time without an ejection the next interval is BASE_EJECTION_MS again. */
export const EJECTION_BACKOFF_RESET_MS = 30_000;

/** A trial request that has not ended after this time counts as abandoned. */
export const TRIAL_TIMEOUT_MS = 5_000;

/** Latency assumed before any instance of a service has responded. */
export const DEFAULT_LATENCY_MS = 5;

/**
 * Consecutive failures until ejection. A failed connect and a response that is mismatched or not
 * HTTP eject at once. Server errors need more failures because a single kind of request may cause
 * them, and refusals because they come from a working server.
 */
export const FAILURES_UNTIL_EJECTION: Readonly<Record<FailureKind, number>> = {
  'connect-failed': 1,
  mismatched: 1,
  malformed: 1,
  timeout: 2,
  reset: 2,
  'cut-short': 2,
  refused: 4,
  'server-error': 5,
};

/** Retries as a share of requests. */
export const RETRY_RATIO = 0.1;

/** Largest burst of retries. */
export const RETRY_BURST = 10;

/** Hedged requests as a share of requests. */
export const HEDGE_RATIO = 0.02;

/** Largest burst of hedged requests. */
export const HEDGE_BURST = 5;

/** Percentile of the service's recent latency after which a hedged request is sent. */
export const HEDGE_PERCENTILE = 95;

/** Responses needed before the percentile is used. */
export const HEDGE_MIN_SAMPLES = 20;

/** Length of a latency window; samples are dropped after one to two windows. */
export const QUANTILE_WINDOW_MS = 10_000;

/** Age at which the cached percentile is recalculated, which reads the whole histogram. */
export const QUANTILE_MAX_AGE_MS = 100;

/**
 * Time in which the weight of a peer's report falls linearly to 0; heartbeats come every 500 ms.
 */
export const REPORT_LIFETIME_MS = 2_000;

/** Part of the remaining time reserved at each hop for the transfer of the response. */
export const HOP_MARGIN_MS = 3;

/**
 * Time constant with which the weight of a reported slowdown decays. On shared hosts the slowdown
 * changes about every 150 ms, so that a reported slowdown lasts for half of that time on average.
 */
export const SLOWDOWN_DECAY_MS = 150;

/** Extra cost of another failure domain as a share of the work; such traffic is billed. */
export const CROSS_DOMAIN_COST_SHARE = 0.4;

/** Upper bound of reported and learned slowdowns; limits the influence of an outlier. */
export const MAX_SLOWDOWN = 20;

/** Weight of the latest response in the learned slowdown; work itself varies by a third. */
export const LEARNED_SLOWDOWN_WEIGHT = 0.15;

/** Weight of the latest reported slowdown in the mean slowdown of a service. */
export const MEAN_SLOWDOWN_WEIGHT = 0.02;

/** Extra cost of an instance that fails every request, as a multiple of the expected time. */
export const FAILURE_COST = 8;

/** Time for which a reported number of requests counts in full; most requests take longer. */
export const LOAD_REPORT_VALID_MS = 40;

/**
 * Extra time at an instance with all slots in use, as a share; some instances slow down when nearly
 * full.
 */
export const UTILIZATION_COST = 0.5;

/** A hedge is sent after this multiple of the expected time; work itself varies by a third. */
export const HEDGE_FACTOR = 1.7;

/** No hedge is considered before this multiple of the work, which one request in six exceeds. */
export const MIN_HEDGE_FACTOR = 1.3;

/** Time reserved for a hedge to meet the latency objective, as a multiple of the work. */
export const HEDGE_RESERVE_FACTOR = 1.35;

/** Instances of a service that have to fail, without a response of any, until it is not reached. */
export const INSTANCES_TO_BE_UNREACHED = 4;

/** Instances that have to respond until a service that was not reached is reached again. */
export const INSTANCES_TO_BE_REACHED = 2;

/** Share of the instances that accept no new connections, above which a service is impaired. */
export const MAX_IMPAIRED_SHARE = 0.5;

/** A failed connection to an instance counts for this time. */
export const CONNECT_FAILURE_MEMORY_MS = 1_500;
