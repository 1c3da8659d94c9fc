import type { Policy } from '@bronzelift/baseline-entry';
import type { LoadResult, RateStep, ScheduledFault } from '@bronzelift/load-tool';
import type { DeploymentShape } from '@bronzelift/local-deployment';

import type { ReportSystem } from './reportSystem.js';

/** A system of the comparison: bronzelift or a baseline. */
export type PolicyName = 'bronzelift' | Policy;

/** One scenario of the report. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Load at factor 1, as a share of the capacity of all slots. */
  readonly share: number;
  /** Systems with which the scenario makes sense; all when absent. */
  readonly policies?: readonly PolicyName[];
  /** Steps of the rate after the warm-up; times from the start of the run. */
  readonly profile?: (faultAtMs: number) => RateStep[];
  readonly faults?: (system: ReportSystem, faultAtMs: number) => ScheduledFault[];
}

/** Options of one run. */
export interface RunOptions {
  readonly shape: DeploymentShape;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly measuredMs: number;
}

/** Result of one scenario with one system. */
export interface ReportRow {
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly deployment: string;
  readonly seed: number;
  /** Load average of the host over one minute, when the run ended. */
  readonly hostLoad: number;
  /** Backend time spent on probes per second and instance, in milliseconds. */
  readonly probeMsPerS: number;
  /** Invariant violations counted by the entry daemons; 0 for baselines, which count none. */
  readonly violations: number;
  readonly result: LoadResult;
}
