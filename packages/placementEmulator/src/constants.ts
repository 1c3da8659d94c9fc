import type { ServiceShape } from './types.js';

/** Step of emulated time; far below the shortest work and the changes of pace. */
export const STEP_MS = 1;

/** Entry VMs among which requests arrive evenly, each with its own knowledge. */
export const ENTRY_VMS = 14;

/** Time of a probe: the work of a health answer and two crossings. */
export const PROBE_MS = 8;

/** Share of the objective for which a request waits for a good instance, as in the gateway. */
export const HOLD_SHARE = 0.125;

/** Wait between two looks for a good instance, as in the gateway. */
export const SEARCH_PAUSE_MS = 8;

/** A report this young is as good as a probe, as in the gateway. */
export const FRESH_REPORT_MS = 35;

/** An instance may use up to this slowdown and still be chosen at once, as in the gateway. */
export const GOOD_SLOWDOWN = 1.6;

/** Instances probed at once for one request, as in the gateway. */
export const PROBE_WIDTH = 3;

/** An instance that does not answer is left out for this time. */
export const EJECTION_MS = 1_000;

/** A late answer earns this share of the credit, as on the users' sheets. */
export const LATE_CREDIT = 0.1;

/** Refused callers come back once, after this share of the objective. */
export const RETURN_SHARE = 0.2;

/** Window of the worst credit. */
export const WINDOW_MS = 2_000;

/** A service like the larger one of the users' first site. */
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
  paceMs: 150,
  crowdedShare: 0.8,
  crowdedFactor: 1.7,
  statesPace: true,
};
