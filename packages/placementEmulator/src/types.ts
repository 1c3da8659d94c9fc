import type { RandomSource } from '@bronzelift/common';
import type { LoadReport } from '@bronzelift/routing';

import type { EmulatedInstance } from './emulatedInstance.js';

/**
 * Instances and work of an emulated service, and the variation of its slowdown. Times in
 * milliseconds.
 */
export interface ServiceShape {
  readonly instances: number;
  readonly slots: number;
  /** Number of requests that may wait at an instance; it refuses more. */
  readonly queue: number;
  readonly workMs: number;
  /** Standard deviation of the work as a share of its mean. */
  readonly workSpread: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Share of time during which the host of an instance is slow. */
  readonly slowShare: number;
  /** Slowdown while the host is slow. */
  readonly slowFactor: number;
  /** Mean time between two changes of the slowdown. */
  readonly meanSlowdownDurationMs: number;
  /**
   * Share of used slots above which work takes `highUtilizationFactor` times as long; 1 for never.
   */
  readonly highUtilizationShare: number;
  readonly highUtilizationFactor: number;
  /** Whether a load report contains the slowdown. */
  readonly reportsSlowdown: boolean;
}

/** Request rate and outages of a service over time. */
export interface Load {
  readonly name: string;
  readonly description: string;
  readonly durationMs: number;
  /** Arrivals per second at the given time. */
  readonly ratePerS: (atMs: number, shape: ServiceShape) => number;
  /** Whether an instance is out of service at the given time; it does not respond while it is. */
  readonly isOut: (instance: number, atMs: number, shape: ServiceShape) => boolean;
  readonly changeShape?: (shape: ServiceShape) => ServiceShape;
}

/** Load report, ejection and own requests of one instance, as known to one entry VM. */
export interface InstanceKnowledge {
  readonly instance: EmulatedInstance;
  report: LoadReport | undefined;
  /** End of the ejection of an instance that did not respond. */
  ejectedUntilMs: number;
  /** Start times of this entry VM's requests in flight. */
  readonly ownStartsMs: number[];
}

/** Inputs that a policy may use to select an instance for a request. */
export interface SelectionContext {
  readonly nowMs: number;
  readonly shape: ServiceShape;
  readonly known: readonly InstanceKnowledge[];
  readonly random: RandomSource;
  /** Updates the load report of an instance; counted as a probe, takes no emulated time. */
  readonly probe: (known: InstanceKnowledge) => void;
}

/** A rule by which an entry VM selects the instance of a request. */
export interface Policy {
  readonly name: string;
  readonly description: string;
  /** Time between arrival and first selection; the duration of a probe if the policy probes. */
  readonly decisionMs: number;
  /** Selects the instance to send to; undefined if none is suitable now. */
  readonly choose: (context: SelectionContext) => InstanceKnowledge | undefined;
  /** Whether a request without a suitable instance is refused after the wait. */
  readonly refuses: boolean;
}

/** Outcomes and latencies of one run. Shares are of all requests, times in milliseconds. */
export interface RunResult {
  readonly requests: number;
  readonly inTimeShare: number;
  readonly lateShare: number;
  readonly refusedShare: number;
  readonly failedShare: number;
  /**
   * Mean credit per request in the worst time window of two seconds; a late response earns a tenth.
   */
  readonly worstCredit: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly probesPerRequest: number;
}
