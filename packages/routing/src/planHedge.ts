import { HEDGE_FACTOR, HEDGE_RESERVE_FACTOR, MIN_HEDGE_FACTOR } from './constants.js';

/** Times that are known when an attempt is sent and that determine its hedge. */
export interface HedgeTimes {
  /** Expected time until the response to the attempt. */
  readonly expectedMs: number;
  /** Time that the work takes at slowdown 1. */
  readonly workMs: number;
  /** Time within which a response still meets the latency objective. */
  readonly objectiveLeftMs: number;
}

/** When a hedge is considered; times since the first attempt was sent. */
export interface HedgePlan {
  /** From this time on a hedge is sent if the instance has become slow. */
  readonly checkAfterMs: number;
  /** From this time on a hedge is sent whatever the state of the instance. */
  readonly hedgeAfterMs: number;
}

/**
 * Plans a hedge for instances that become slow while they handle a request: the check is early
 * enough for the hedge to meet the objective, but not within the time that the work usually takes.
 */
export const planHedge = (times: HedgeTimes): HedgePlan => {
  const { expectedMs, workMs, objectiveLeftMs } = times;
  const hedgeAfterMs = Math.max(expectedMs, workMs) * HEDGE_FACTOR;
  const latestMs = objectiveLeftMs - workMs * HEDGE_RESERVE_FACTOR;
  const checkAfterMs = Math.max(Math.min(hedgeAfterMs, latestMs), workMs * MIN_HEDGE_FACTOR);
  return { checkAfterMs, hedgeAfterMs };
};
