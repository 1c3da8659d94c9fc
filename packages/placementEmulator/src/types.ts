import type { RandomSource } from '@bronzelift/common';
import type { LoadReport } from '@bronzelift/routing';

import type { EmulatedInstance } from './emulatedInstance.js';

/** Instances of one service and the work they do. Times in milliseconds. */
export interface ServiceShape {
  readonly instances: number;
  readonly slots: number;
  /** Requests that may wait at an instance; it refuses more. */
  readonly queue: number;
  readonly workMs: number;
  /** Spread of the work as a share of its mean. */
  readonly workSpread: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Share of the time for which the host of an instance is slow. */
  readonly slowShare: number;
  /** How much longer work takes then. */
  readonly slowFactor: number;
  /** Mean time between two changes of the pace. */
  readonly paceMs: number;
  /** Share of busy slots above which work slows down by `crowdedFactor`; 1 for never. */
  readonly crowdedShare: number;
  readonly crowdedFactor: number;
  /** Whether a stated load contains the pace. */
  readonly statesPace: boolean;
}

/** A load on a service over time. */
export interface Load {
  readonly name: string;
  readonly description: string;
  readonly durationMs: number;
  /** Arrivals per second at a time. */
  readonly ratePerS: (atMs: number, shape: ServiceShape) => number;
  /** Whether an instance is out at a time; it answers nothing then. */
  readonly isOut: (instance: number, atMs: number, shape: ServiceShape) => boolean;
  readonly changeShape?: (shape: ServiceShape) => ServiceShape;
}

/** What one entry VM knows of one instance. */
export interface InstanceKnowledge {
  readonly instance: EmulatedInstance;
  report: LoadReport | undefined;
  /** The instance did not answer; it is not used before this time. */
  ejectedUntilMs: number;
  /** Start times of own requests in flight. */
  readonly ownStartsMs: number[];
}

/** A placement to be decided by one entry VM. */
export interface PlacementQuestion {
  readonly nowMs: number;
  readonly shape: ServiceShape;
  readonly known: readonly InstanceKnowledge[];
  readonly random: RandomSource;
  /** Asks an instance for its load; counted, and answered at once in emulated time. */
  readonly probe: (known: InstanceKnowledge) => void;
}

/** How an entry VM places requests. */
export interface Policy {
  readonly name: string;
  readonly description: string;
  /** Time between the arrival and the choice, as probes take it. */
  readonly decisionMs: number;
  /** The instance to send to; undefined when none is good enough now. */
  readonly choose: (question: PlacementQuestion) => InstanceKnowledge | undefined;
  /** Whether requests are refused after the hold instead of being sent anywhere. */
  readonly refuses: boolean;
}

/** Result of one run. Shares are of all requests, times in milliseconds. */
export interface RunResult {
  readonly requests: number;
  readonly inTimeShare: number;
  readonly lateShare: number;
  readonly refusedShare: number;
  readonly failedShare: number;
  /** Credit of the worst two seconds; a late answer earns a tenth. */
  readonly worstCredit: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly probesPerRequest: number;
}
