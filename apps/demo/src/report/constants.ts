import type { DeploymentShape } from '@bronzelift/local-deployment';

import type { PolicyName } from './types.js';

/** Names of all systems that the report compares, bronzelift first. */
export const POLICY_NAMES = [
  'bronzelift',
  'random',
  'round-robin',
  'least-outstanding',
  'two-choices',
] as const satisfies readonly PolicyName[];

/**
 * Medium-sized deployments. Their service times are longer than in the demo: full capacity is about
 * 960 requests per second, so neither the load tool nor the stand-ins are the bottleneck.
 */
export const REPORT_SHAPES = {
  mantelmaat: {
    name: 'mantelmaat-middle',
    failureDomainIds: ['ghent-a', 'ghent-b', 'ghent-c', 'ghent-d'],
    services: [
      { service: 'profiles', instances: 12, slots: 4, connections: 200, meanServiceMs: 100 },
      { service: 'sizes', instances: 6, slots: 4, connections: 200, meanServiceMs: 50 },
    ],
    entries: 8,
  },
  authority: {
    name: 'authority-middle',
    failureDomainIds: ['nyeri', 'muranga', 'kirinyaga'],
    services: [
      { service: 'loans', instances: 12, slots: 6, connections: 250, meanServiceMs: 150 },
      { service: 'calibrations', instances: 9, slots: 6, connections: 250, meanServiceMs: 100 },
    ],
    entries: 6,
  },
} as const satisfies Record<string, DeploymentShape>;

/** Share of orders in the load of the first service; the second service gets only lookups. */
export const ORDER_SHARE = 0.2;

/** Load during warm-up of instances and connections, as a share of the capacity. */
export const WARMUP_SHARE = 0.3;

/** Duration of the warm-up load, which begins at the start of the run. */
export const WARMUP_LOAD_DURATION_MS = 8_000;

/** Start of the measurement, from the start of the run. */
export const MEASUREMENT_START_MS = 9_000;

/** Delay of the fault after the start of the measurement. */
export const FAULT_DELAY_MS = 2_000;

/** Duration of the flood at its full rate, after a ramp of one second. */
export const FLOOD_DURATION_MS = 4_000;

/** Duration of a temporary fault. */
export const FAULT_DURATION_MS = 5_000;

/** Time for which the port of a restarting instance is closed. */
export const RESTART_DOWN_MS = 500;

/** Default duration of the measurement. */
export const DEFAULT_SECONDS = 12;

/** Duration of the measurement with `--quick`. */
export const QUICK_SECONDS = 8;
