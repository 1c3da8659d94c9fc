import type { InstanceId, RandomSource } from '@bronzelift/common';
import { shuffle } from '@bronzelift/common';

import {
  CROSS_DOMAIN_COST_SHARE,
  CROWDING_COST,
  FAILURE_COST,
  OCCUPANCY_FRESH_MS,
  PACE_MEMORY_MS,
} from './constants.js';

/** Load of an instance as it stated it last. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes now relative to the usual time there; 1 when it is not told. */
  readonly slowdown: number;
  /** Monotonic time of receipt. */
  readonly atMs: number;
}

/** One instance as a choice for a request. */
export interface PlacementCandidate {
  readonly instanceId: InstanceId;
  readonly slots: number;
  readonly report: LoadReport | undefined;
  /** Own requests in flight that the report cannot contain. */
  readonly sentSinceReport: number;
  /** Own requests in flight. */
  readonly ownInFlight: number;
  /** Learned time for the same work relative to other instances; 1 is usual. */
  readonly speedFactor: number;
  /** Share of failures among the latest requests, 0 to 1. */
  readonly failureShare: number;
  readonly isLocalDomain: boolean;
}

/** What a request needs from an instance. */
export interface PlacementNeed {
  /** Time that the work takes at usual pace. */
  readonly workMs: number;
  /** Slowdown to expect of an instance of which nothing recent is known. */
  readonly usualSlowdown: number;
  /** Slots that have to stay free for requests of higher priority. */
  readonly reservedSlots: number;
  readonly nowMs: number;
}

/** Estimate for one candidate. */
export interface PlacementEstimate {
  readonly candidate: PlacementCandidate;
  /** Expected time until the response. */
  readonly finishMs: number;
  /** Expected time with the price of distance added; the order of preference. */
  readonly costMs: number;
  readonly freeSlots: number;
  /** Age of the report; Infinity without one. */
  readonly reportAgeMs: number;
}

/** A report of the last moment holds whole; an older one fades as the work that it counts ends. */
const fadeOccupancy = (reportAgeMs: number): number =>
  Math.exp(-Math.max(reportAgeMs - OCCUPANCY_FRESH_MS, 0) / PACE_MEMORY_MS);

/**
 * Estimates when a request would be finished at an instance. Answers the load that shifts within
 * milliseconds: a stated pace fades towards the usual one, since it changes several times a second.
 */
export const estimatePlacement = (
  candidate: PlacementCandidate,
  need: PlacementNeed,
): PlacementEstimate => {
  const { report } = candidate;
  const reportAgeMs = report === undefined ? Infinity : need.nowMs - report.atMs;
  const trust = Math.exp(-reportAgeMs / PACE_MEMORY_MS);
  const pace = report?.slowdown ?? need.usualSlowdown;
  const slowdown = need.usualSlowdown + (pace - need.usualSlowdown) * trust;
  const slots = report?.slots ?? candidate.slots;
  const stated =
    report === undefined
      ? 0
      : (report.running + report.waiting) * fadeOccupancy(reportAgeMs) + candidate.sentSinceReport;
  // Own requests are certain, however old the report.
  const busy = Math.max(stated, candidate.ownInFlight);
  const workMs = need.workMs * slowdown * candidate.speedFactor;
  const queued = Math.max(busy - slots + 1, 0);
  const crowding = 1 + CROWDING_COST * Math.min(busy / Math.max(slots, 1), 1) ** 2;
  const finishMs = workMs * crowding * (1 + queued / Math.max(slots, 1));
  const distanceShare = candidate.isLocalDomain ? 0 : CROSS_DOMAIN_COST_SHARE;
  return {
    candidate,
    finishMs,
    costMs: finishMs * (1 + FAILURE_COST * candidate.failureShare) + need.workMs * distanceShare,
    freeSlots: slots - busy - need.reservedSlots,
    reportAgeMs,
  };
};

/**
 * Candidates in the order of preference. Equal ones come in random order, so that entry VMs with
 * the same knowledge do not choose the same instance.
 */
export const rankPlacements = (
  candidates: readonly PlacementCandidate[],
  need: PlacementNeed,
  random: RandomSource,
): PlacementEstimate[] =>
  shuffle(random, candidates)
    .map((candidate) => estimatePlacement(candidate, need))
    .sort((left, right) => left.costMs - right.costMs);
