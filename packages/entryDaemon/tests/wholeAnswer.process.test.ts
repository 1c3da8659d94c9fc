import { expect } from 'chai';

import {
  faultAt,
  expectCorrectResult,
  loadDeployment,
  createTestShape,
  warmUp,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const FAULTS = ['late', 'crossed', 'cut-short', 'reset-midway'] as const;

const FAULT_PROBABILITY = 0.01;

const MIN_SERVED_SHARE = 0.99;

describe('whole-answer', () => {
  // Guards against responses that are passed on incomplete or to the caller of another request.
  processTest(
    'passes on only whole responses when some are late, swapped, cut short, reset or missing',
    () =>
      withDeployment(createTestShape(), async (deployment) => {
        await warmUp(deployment);
        for (const fault of FAULTS) {
          await deployment.changeBackendBehavior({
            kind: 'response-fault',
            fault,
            probability: FAULT_PROBABILITY,
          });
        }
        const silence = (failureDomainId: string) => () =>
          deployment.changeBackendBehavior({
            kind: 'silence-connections',
            target: { failureDomainId },
          });
        const result = await loadDeployment(
          deployment,
          { lookupsPerSecond: 80, ordersPerSecond: 10, durationMs: 12_000 },
          [
            faultAt(3_000, 'silence', silence('a')),
            faultAt(6_000, 'silence', silence('b')),
            faultAt(9_000, 'silence', silence('c')),
          ],
        );
        expectCorrectResult(result);
        const { lookups } = result.total;
        expect(lookups.served / lookups.offered, JSON.stringify(lookups)).to.be.at.least(
          MIN_SERVED_SHARE,
        );
      }),
  );
});
