import type { ServiceShape } from './types.js';

/** Step of emulated time; much shorter than the work and the time between slowdown changes. */
export const STEP_MS = 1;

/** Number of entry VMs; each receives an equal share of requests and has its own load reports. */
export const ENTRY_VM_COUNT = 14;

/** Duration of a probe: the work of a health response and a round trip. */
export const PROBE_DURATION_MS = 8;

/** Longest wait for a suitable instance as a share of the objective, as in the gateway. */
export const SEARCH_TIME_SHARE = 0.125;

/** Pause between two searches for a suitable instance, as in the gateway. */
export const SEARCH_PAUSE_MS = 8;

/** Age below which a load report is used without a probe, as in the gateway. */
export const MAX_REPORT_AGE_MS = 35;

/** Highest slowdown at which an instance is suitable, as in the gateway. */
export const MAX_GOOD_SLOWDOWN = 1.6;

/** Number of instances probed together for one request, as in the gateway. */
export const PROBES_PER_SEARCH = 3;

/** Time for which an instance that did not respond receives no requests. */
export const EJECTION_MS = 1_000;

/** Credit of a late response; a response within the objective earns 1. */
export const LATE_CREDIT = 0.1;

/** Delay after which a refused caller retries once, as a share of the objective. */
export const RETRY_DELAY_SHARE = 0.2;

/** Length of the time windows; the credit of the worst window is reported. */
export const WINDOW_MS = 2_000;

/** A service on shared hosts, modelled on the larger service of a deployment in use. */
export const DEFAULT_SHAPE: ServiceShape = {
  instances: 18,
  slots: 4,
  queue: 8,
  workMs: 65,
  workSpread: 0.3,
  objectiveMs: 200,
  deadlineMs: 800,
  slowShare: 0.25,
  slowFactor: 5,
  meanSlowdownDurationMs: 150,
  highUtilizationShare: 0.8,
  highUtilizationFactor: 1.7,
  reportsSlowdown: true,
};
