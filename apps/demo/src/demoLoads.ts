import { SHAPES } from '@bronzelift/local-deployment';
import type { DeploymentShape } from '@bronzelift/local-deployment';
import type { ServiceLoad } from '@bronzelift/load-tool';

/** A deployment and the load that the demo sends to it. */
export interface DemoCase {
  readonly shape: DeploymentShape;
  readonly services: readonly ServiceLoad[];
}

/** The two deployments that the design page describes, at small size. */
export const DEMO_CASES: readonly DemoCase[] = [
  {
    shape: SHAPES.mantelmaatSmall,
    services: [
      { service: 'profiles', lookupsPerSecond: 120, ordersPerSecond: 20 },
      { service: 'sizes', lookupsPerSecond: 60, ordersPerSecond: 0 },
    ],
  },
  {
    shape: SHAPES.authoritySmall,
    services: [
      { service: 'loans', lookupsPerSecond: 100, ordersPerSecond: 20 },
      { service: 'calibrations', lookupsPerSecond: 60, ordersPerSecond: 0 },
    ],
  },
];
