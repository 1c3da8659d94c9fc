import { HEDGE_FACTOR, HEDGE_RESERVE_FACTOR, MIN_HEDGE_FACTOR } from './constants.js';

/** What is known of an attempt when it is sent. */
export interface HedgeSituation {
  /** Expected time until its response. */
  readonly expectedMs: number;
  /** Time that the work takes at usual pace. */
  readonly workMs: number;
  /** Time within which a response still meets the latency objective. */
  readonly objectiveLeftMs: number;
}

/** When a second attempt is considered; times after the send of the first. */
export interface HedgePlan {
  /** From here on a second attempt is made if the instance has become slow. */
  readonly checkAfterMs: number;
  /** From here on it is made without a look at the instance. */
  readonly hedgeAfterMs: number;
}

/**
 * Answers instances whose pace drops while they work: the check comes early enough for a second
 * attempt to meet the objective, but not within the time that the work usually takes.
 */
export const planHedge = (situation: HedgeSituation): HedgePlan => {
  const { expectedMs, workMs, objectiveLeftMs } = situation;
  const hedgeAfterMs = Math.max(expectedMs, workMs) * HEDGE_FACTOR;
  const latestMs = objectiveLeftMs - workMs * HEDGE_RESERVE_FACTOR;
  const checkAfterMs = Math.max(Math.min(hedgeAfterMs, latestMs), workMs * MIN_HEDGE_FACTOR);
  return { checkAfterMs, hedgeAfterMs };
};
