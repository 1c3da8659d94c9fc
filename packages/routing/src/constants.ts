import type { FailureKind } from './types.js';

/** Weight of the latest response in an instance's latency; a slowdown shows in two or three. */
export const LATENCY_WEIGHT = 0.3;

/**
 * Without responses an instance's excess over the median fades with this time constant; otherwise
 * an instance that was slow once would never be chosen again and never be measured again.
 */
export const LATENCY_DECAY_MS = 1_000;

/** Costs that differ by less are equal, so that both instances keep being measured. */
export const COST_TOLERANCE = 0.05;

/** A failure doubles the cost of an instance; the factor halves after this time. */
export const FAILURE_DECAY_MS = 200;
export const MAX_FAILURE_DOUBLINGS = 6;

/** Responses before an instance's latency is compared with the others. */
export const MIN_LATENCY_SAMPLES = 3;

/** An instance this many times slower than the median of its service is ejected. */
export const SLOW_FACTOR = 3;

/** Slow responses in a row until ejection, so that one slow request ejects nothing. */
export const MIN_SLOW_IN_ROW = 2;

/** Differences below this are noise of scheduling, whatever the factor. */
export const SLOW_MARGIN_MS = 5;

/** At most one in this many instances of a service is ejected. */
export const EJECTED_SHARE_DIVISOR = 3;

/** The median over a service is calculated again after this time. */
export const MEDIAN_MAX_AGE_MS = 5;

/** Time until the first trial request after an ejection; doubles with each failed trial. */
export const BASE_EJECTION_MS = 200;
export const MAX_EJECTION_MS = 10_000;

/** Ejection intervals vary by this share, so that entry VMs do not send trials together. */
export const EJECTION_JITTER = 0.3;

/** After this time without an ejection the interval starts at its base again. */
export const EJECTION_MEMORY_MS = 30_000;

/** A trial without an end counts as abandoned after this time. */
export const TRIAL_TIMEOUT_MS = 5_000;

/** Latency assumed before any instance of a service has answered. */
export const DEFAULT_LATENCY_MS = 5;

/**
 * Consecutive failures until ejection. A failed connect and a response that is mismatched or not
 * HTTP need no second case; server errors can come from one kind of request only; a refusal is an orderly answer.
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

/** Retries as a share of requests, and how many may follow each other at once. */
export const RETRY_RATIO = 0.1;
export const RETRY_BURST = 10;

/** Hedged requests as a share of requests, and how many may follow each other at once. */
export const HEDGE_RATIO = 0.02;
export const HEDGE_BURST = 5;

/** A hedge is sent after this percentile of the service's recent latency. */
export const HEDGE_PERCENTILE = 95;

/** Responses needed before a percentile means anything. */
export const HEDGE_MIN_SAMPLES = 20;

/** Latencies older than one to two windows are forgotten. */
export const QUANTILE_WINDOW_MS = 10_000;

/** The percentile is calculated again after this time; a calculation visits the whole histogram. */
export const QUANTILE_MAX_AGE_MS = 100;

/** A peer's report loses its weight in a straight line over this time; heartbeats take 500 ms. */
export const REPORT_LIFETIME_MS = 2_000;

/** Part of the remaining time kept back for each further hop, to carry the response. */
export const HOP_MARGIN_MS = 3;

/**
 * A stated pace loses its weight with this time constant. On shared hosts the pace changes about
 * every 150 ms; half of that is the mean time that a pace still lasts.
 */
export const PACE_MEMORY_MS = 150;

/** Added cost of another failure domain as a share of the work; traffic between domains is dear. */
export const CROSS_DOMAIN_COST_SHARE = 0.4;

/** Bound of slowdowns and speed factors, so that one outlier does not decide. */
export const MAX_SLOWDOWN = 20;

/** Weight of the latest response in an instance's speed factor; work itself varies by a third. */
export const SLOWDOWN_WEIGHT = 0.15;

/** Weight of the latest stated slowdown in the mean of a service. */
export const USUAL_SLOWDOWN_WEIGHT = 0.02;

/** Added cost of an instance that fails all requests, as a multiple of the time that they take. */
export const FAILURE_COST = 8;

/** For this time the stated number of requests at an instance holds; most work takes longer. */
export const OCCUPANCY_FRESH_MS = 40;

/** Added time at an instance with all slots in use, as a share; some slow down when nearly full. */
export const CROWDING_COST = 0.5;

/** A second attempt is due after this multiple of the expected time; work itself varies by a third. */
export const HEDGE_FACTOR = 1.7;

/** An attempt is not checked before this multiple of the work, which one request in six exceeds. */
export const MIN_HEDGE_FACTOR = 1.3;

/** Time that a second attempt needs to meet the objective, as a multiple of the work. */
export const HEDGE_RESERVE_FACTOR = 1.35;
