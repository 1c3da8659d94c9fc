import type { DeploymentShape } from '@bronzelift/local-deployment';

import type { PolicyName } from './types.js';

/** All systems of a comparison, bronzelift first. */
export const POLICY_NAMES = [
  'bronzelift',
  'random',
  'round-robin',
  'least-outstanding',
  'two-choices',
] as const satisfies readonly PolicyName[];

/**
 * Deployments at middle size. Service times are longer than in the demonstration, so that full
 * capacity is about 960 requests per second and neither load tool nor stand-in is the limit.
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

/** Share of orders in the load of the first service; the second one has lookups only. */
export const ORDER_SHARE = 0.2;

/** Load that warms instances and connections up, as a share of the capacity. */
export const WARMUP_SHARE = 0.3;

/** Time under warm-up load, and until the measurement begins. */
export const WARMUP_LOAD_MS = 8_000;
export const MEASURED_FROM_MS = 9_000;

/** Time from the beginning of the measurement to the fault. */
export const FAULT_AFTER_MS = 2_000;

/** Time at full flood, after a ramp of one second. */
export const FLOOD_HOLD_MS = 4_000;

/** Time after which a fault that ends is over. */
export const FAULT_LASTS_MS = 5_000;

/** A restarting instance has its port closed for this long. */
export const RESTART_DOWN_MS = 500;

/** Measured time of a run, and that of a quick one. */
export const DEFAULT_SECONDS = 12;
export const QUICK_SECONDS = 8;
