import type { DeploymentShape } from './types.js';

/** Maximum time until a started process responds as ready, in milliseconds. */
export const START_TIMEOUT_MS = 30_000;

/** Interval at which `waitUntil` polls its condition, in milliseconds. */
export const POLL_INTERVAL_MS = 50;

/** Address on which all processes of a local deployment listen. */
export const LOOPBACK = '127.0.0.1';

/** Range of listening ports; Linux assigns ports from 32768 up to outgoing connections. */
export const PORT_RANGE = { first: 12_000, last: 32_000 } as const;

/** The two deployments that the design page describes, at full size and at a small size for demos. */
export const SHAPES = {
  mantelmaat: {
    name: 'mantelmaat',
    failureDomainIds: ['ghent-a', 'ghent-b', 'ghent-c', 'ghent-d'],
    services: [
      { service: 'profiles', instances: 20, slots: 4, connections: 200, meanServiceMs: 10 },
      { service: 'sizes', instances: 10, slots: 4, connections: 200, meanServiceMs: 5 },
    ],
    entries: 16,
  },
  authority: {
    name: 'authority',
    failureDomainIds: ['nyeri', 'muranga', 'kirinyaga'],
    services: [
      { service: 'loans', instances: 20, slots: 6, connections: 250, meanServiceMs: 10 },
      { service: 'calibrations', instances: 15, slots: 6, connections: 250, meanServiceMs: 5 },
    ],
    entries: 15,
  },
  mantelmaatSmall: {
    name: 'mantelmaat-small',
    failureDomainIds: ['ghent-a', 'ghent-b', 'ghent-c', 'ghent-d'],
    services: [
      { service: 'profiles', instances: 8, slots: 4, connections: 200, meanServiceMs: 10 },
      { service: 'sizes', instances: 4, slots: 4, connections: 200, meanServiceMs: 5 },
    ],
    entries: 4,
  },
  authoritySmall: {
    name: 'authority-small',
    failureDomainIds: ['nyeri', 'muranga', 'kirinyaga'],
    services: [
      { service: 'loans', instances: 6, slots: 6, connections: 250, meanServiceMs: 10 },
      { service: 'calibrations', instances: 6, slots: 6, connections: 250, meanServiceMs: 5 },
    ],
    entries: 3,
  },
} as const satisfies Record<string, DeploymentShape>;
