import type { Policy } from '@bronzelift/baseline-entry';
import type { LoadResult, RateStep, ScheduledFault } from '@bronzelift/load-tool';
import type { DeploymentShape } from '@bronzelift/local-deployment';

import type { ReportSystem } from './reportSystem.js';

/** Name of a compared system: bronzelift or the policy of a baseline. */
export type PolicyName = 'bronzelift' | Policy;

/** Load and faults of one scenario of the report. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Load at factor 1, as a share of the capacity of all slots. */
  readonly share: number;
  /** Systems to which the scenario applies; all when absent. */
  readonly policies?: readonly PolicyName[];
  /** Creates the rate steps after the warm-up; times are relative to the start of the run. */
  readonly profile?: (faultAtMs: number) => RateStep[];
  readonly faults?: (system: ReportSystem, faultAtMs: number) => ScheduledFault[];
}

/** Deployment, system and duration of one run. */
export interface RunOptions {
  readonly shape: DeploymentShape;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly measuredMs: number;
}

/** Result of one scenario with one system, as written to the `--json` file. */
export interface ReportRow {
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly deployment: string;
  readonly seed: number;
  /** One-minute load average of the host at the end of the run. */
  readonly hostLoad: number;
  /** Service time that probes used, in milliseconds per second and instance. */
  readonly probeMsPerS: number;
  /** Invariant violations counted by the entry daemons; always 0 for baselines. */
  readonly violations: number;
  readonly result: LoadResult;
}
