import { expect } from 'chai';

import {
  at,
  expectCorrect,
  loadDeployment,
  smallShape,
  warmUp,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

const FAULTS = ['late', 'crossed', 'cut-short', 'reset-midway'] as const;

const FAULT_PROBABILITY = 0.01;

const MIN_SERVED_SHARE = 0.99;

describe('whole-answer', () => {
  // Guards against answers that are passed on incomplete, or to another request.
  proofTest(
    'holds while responses are late, crossed, cut short and reset, and connections fall silent',
    () =>
      withDeployment(smallShape(), async (deployment) => {
        await warmUp(deployment);
        for (const fault of FAULTS) {
          await deployment.changeBackend({
            kind: 'response-fault',
            fault,
            probability: FAULT_PROBABILITY,
          });
        }
        const silence = (failureDomainId: string) => () =>
          deployment.changeBackend({ kind: 'silence-connections', target: { failureDomainId } });
        const result = await loadDeployment(
          deployment,
          { lookupsPerSecond: 80, ordersPerSecond: 10, durationMs: 12_000 },
          [
            at(3_000, 'silence', silence('a')),
            at(6_000, 'silence', silence('b')),
            at(9_000, 'silence', silence('c')),
          ],
        );
        expectCorrect(result);
        const { lookups } = result.total;
        expect(lookups.served / lookups.offered, JSON.stringify(lookups)).to.be.at.least(
          MIN_SERVED_SHARE,
        );
      }),
  );
});
