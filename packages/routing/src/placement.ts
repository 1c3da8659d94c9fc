import type { InstanceId, RandomSource } from '@bronzelift/common';
import { shuffle } from '@bronzelift/common';

import {
  CROSS_DOMAIN_COST_SHARE,
  UTILIZATION_COST,
  FAILURE_COST,
  LOAD_REPORT_VALID_MS,
  SLOWDOWN_DECAY_MS,
} from './constants.js';

/** Load that an instance reported last. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Service time now relative to the usual one of the instance; 1 if it is not reported. */
  readonly slowdown: number;
  /** Monotonic time of receipt. */
  readonly atMs: number;
}

/** An instance that a request can be sent to, with its reported and observed load. */
export interface PlacementCandidate {
  readonly instanceId: InstanceId;
  readonly slots: number;
  readonly report: LoadReport | undefined;
  /** Requests that this entry VM sent after the report and that are still in flight. */
  readonly sentSinceReport: number;
  /** Requests of this entry VM that are in flight. */
  readonly ownInFlight: number;
  /** Learned service time for the same work relative to other instances; 1 is usual. */
  readonly learnedSlowdown: number;
  /** Share of failures among the latest requests, 0 to 1. */
  readonly failureShare: number;
  readonly isLocalDomain: boolean;
}

/** The request to place, and the state of its service. */
export interface PlacementRequest {
  /** Time that the work takes at slowdown 1. */
  readonly workMs: number;
  /** Slowdown assumed for an instance without a recent report. */
  readonly meanSlowdown: number;
  /** Slots reserved for requests of higher priority. */
  readonly reservedSlots: number;
  readonly nowMs: number;
}

/** Expected time and cost of a request at one candidate. */
export interface PlacementEstimate {
  readonly candidate: PlacementCandidate;
  /** Expected time until the response. */
  readonly finishMs: number;
  /** Expected time plus the costs of failures and of another failure domain; lower is preferred. */
  readonly costMs: number;
  readonly freeSlots: number;
  /** Age of the report; Infinity without one. */
  readonly reportAgeMs: number;
}

/** Weight of a reported load: 1 for a recent report; decays as the requests that it counts end. */
const calculateLoadWeight = (reportAgeMs: number): number =>
  Math.exp(-Math.max(reportAgeMs - LOAD_REPORT_VALID_MS, 0) / SLOWDOWN_DECAY_MS);

/**
 * Estimates when a request would be finished at an instance. Since load shifts within milliseconds
 * and the slowdown changes several times a second, a reported slowdown decays towards the mean.
 */
export const estimatePlacement = (
  candidate: PlacementCandidate,
  request: PlacementRequest,
): PlacementEstimate => {
  const { report } = candidate;
  const reportAgeMs = report === undefined ? Infinity : request.nowMs - report.atMs;
  const slowdownWeight = Math.exp(-reportAgeMs / SLOWDOWN_DECAY_MS);
  const reportedSlowdown = report?.slowdown ?? request.meanSlowdown;
  const slowdown =
    request.meanSlowdown + (reportedSlowdown - request.meanSlowdown) * slowdownWeight;
  const slots = report?.slots ?? candidate.slots;
  const reportedCount =
    report === undefined
      ? 0
      : (report.running + report.waiting) * calculateLoadWeight(reportAgeMs) +
        candidate.sentSinceReport;
  // Requests of this entry VM are known for certain, whatever the age of the report.
  const requestCount = Math.max(reportedCount, candidate.ownInFlight);
  const workMs = request.workMs * slowdown * candidate.learnedSlowdown;
  const queued = Math.max(requestCount - slots + 1, 0);
  const utilizationFactor =
    1 + UTILIZATION_COST * Math.min(requestCount / Math.max(slots, 1), 1) ** 2;
  const finishMs = workMs * utilizationFactor * (1 + queued / Math.max(slots, 1));
  const distanceShare = candidate.isLocalDomain ? 0 : CROSS_DOMAIN_COST_SHARE;
  return {
    candidate,
    finishMs,
    costMs: finishMs * (1 + FAILURE_COST * candidate.failureShare) + request.workMs * distanceShare,
    freeSlots: slots - requestCount - request.reservedSlots,
    reportAgeMs,
  };
};

/**
 * Sorts candidates by cost. Candidates of equal cost are in random order, so that entry VMs with
 * the same reports do not all select the same instance.
 */
export const rankPlacements = (
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): PlacementEstimate[] =>
  shuffle(random, candidates)
    .map((candidate) => estimatePlacement(candidate, request))
    .sort((left, right) => left.costMs - right.costMs);
