import type { RateDivision } from './sharedRateLimit.js';

/** Default number of slots that a just-started instance can handle. */
export const DEFAULT_COLD_SLOTS = 1;

/** Default number of responses at normal latency that raise the allowance by one slot. */
export const DEFAULT_WARMUP_ANSWERS = 10;

/**
 * A connection is verified only if it is older than the observation by this much. The margin covers
 * a response that was still in transit when the process that sent it ended.
 */
export const CONNECTION_AGE_MARGIN_MS = 1000;

/**
 * Peer messages about a cold instance whose times differ by at most this are about the same event.
 */
export const PEER_COLD_TOLERANCE_MS = 100;

/** A response slower than this multiple of the usual latency counts as slow. */
export const SLOW_FACTOR = 3;

/** Consecutive slow responses that make an instance count as cold. */
export const MIN_CONSECUTIVE_SLOW = 2;

/** A response faster than this is never slow: scheduling noise alone reaches a few milliseconds. */
export const MIN_SLOW_MS = 5;

/** Weight of a response of a warm instance in its usual latency. */
export const USUAL_LATENCY_WEIGHT = 1 / 64;

/**
 * Growth of the usual latency with each slow response. Without it a permanent change of the latency
 * (a new release, for example) would keep an instance at coldSlots forever; with it a change by
 * the factor 4 is accepted after about 75 responses.
 */
export const USUAL_LATENCY_GROWTH = 1 / 256;

/** Default backend time in milliseconds per second that probes of one instance may cost. */
export const DEFAULT_PROBE_BUDGET_MS_PER_S = 20;

/**
 * Division of the request rate of a cold instance: a tenth is reserved for members not yet known,
 * and each entry VM has a burst of one request.
 */
export const COLD_RATE_DIVISION: RateDivision = {
  usedShare: 0.9,
  minBurst: 1,
  accumulationMs: 0,
  initialAccumulationMs: 0,
  minSharers: 4,
  startsEmpty: false,
};

/**
 * Division of the probe rate that the instances of a service can handle over a day: a fifth is
 * reserved for members not yet known and for starts. The smallest burst is one search. Probes saved
 * in the last minute are available in a traffic spike, to detect dead and slow instances.
 */
export const PROBE_RATE_DIVISION: RateDivision = {
  usedShare: 0.8,
  minBurst: 3,
  accumulationMs: 60_000,
  initialAccumulationMs: 2_000,
  minSharers: 1,
  startsEmpty: false,
};

/**
 * Requests per second of a cold instance's rate for each entry VM that may use it. All of these may
 * spend their bursts at the same time, and the sum has to stay below the rate.
 */
export const COLD_RATE_PER_SHARER = 3;

/**
 * Division of the request rate that an instance in need advertises. The smallest burst covers a
 * probe and the request that follows it. An entry VM that begins to share the rate starts without
 * tokens, because another one may just have spent them.
 */
export const ADVERTISED_RATE_DIVISION: RateDivision = {
  usedShare: 0.9,
  minBurst: 2,
  accumulationMs: 0,
  initialAccumulationMs: 0,
  minSharers: 1,
  startsEmpty: true,
};

/**
 * Requests per second of an advertised rate for each entry VM beyond the first that may use it. The
 * bursts of all of them have to stay below the rate, and an equal share of all entry VMs would be
 * less than one request a minute.
 */
export const ADVERTISED_RATE_PER_SHARER = 2;

/**
 * Time after which an advertised limit that no entry VM has confirmed is forgotten. It is far longer
 * than the interval of confirmations, since entry VMs that forget it would all send a request.
 */
export const ADVERTISED_LIMIT_LIFETIME_MS = 60_000;
