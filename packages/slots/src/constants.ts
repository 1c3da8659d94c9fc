import type { RateDivision } from './sharedRateLimit.js';

/** Slots that a just-started instance can handle, unless configured. */
export const DEFAULT_COLD_SLOTS = 1;

/** Responses at normal latency that raise the allowance by one slot, unless configured. */
export const DEFAULT_WARMUP_ANSWERS = 10;

/**
 * A connection must be older than the observation by this much. It covers a response that a
 * process sent shortly before it ended and that was still on its way.
 */
export const OBSERVATION_MARGIN_MS = 1000;

/** Messages about a cold instance that differ by less than this concern the same event. */
export const PEER_COLD_TOLERANCE_MS = 100;

/** A response slower than this multiple of the usual latency counts as slow. */
export const SLOW_FACTOR = 3;

/** Consecutive slow responses that make an instance count as cold. */
export const SLOW_RESPONSES = 2;

/** A response faster than this is never slow: scheduling noise alone reaches a few milliseconds. */
export const MIN_SLOW_MS = 5;

/** Weight of one warm response in the usual latency. */
export const BASELINE_WEIGHT = 1 / 64;

/**
 * Growth of the usual latency for each slow response. Without it a lasting change of the latency
 * (a new release, for example) would keep an instance at coldSlots for ever; with it a change by
 * the factor 4 is accepted after about 75 responses.
 */
export const BASELINE_SLOW_GROWTH = 1 / 256;

/** Backend milliseconds per second that probes may cost for each instance, unless configured. */
export const DEFAULT_PROBE_BUDGET_MS_PER_S = 20;

/**
 * Division of what a cold instance bears: a tenth is kept back for members not yet known, and each
 * entry VM may send a single request at once.
 */
export const COLD_RATE_DIVISION: RateDivision = {
  usedShare: 0.9,
  minBurst: 1,
  keptMs: 0,
  headStartMs: 0,
  minSharers: 4,
};

/**
 * Division of the probes that the instances of a service bear over a day: a fifth is kept back for
 * members not yet known and for starts. The least burst is one search. What a calm minute leaves is
 * kept for a flood, when dead and slow instances have to be told from others.
 */
export const PROBE_RATE_DIVISION: RateDivision = {
  usedShare: 0.8,
  minBurst: 3,
  keptMs: 60_000,
  headStartMs: 2_000,
  minSharers: 1,
};

/**
 * A cold instance is used by one entry VM for each of so many requests per second that it bears.
 * All may spend their burst at once, and the sum has to stay below the rate.
 */
export const COLD_RATE_PER_SHARER = 3;
