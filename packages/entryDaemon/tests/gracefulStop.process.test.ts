import { sleep } from '@bronzelift/common';
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

describe('graceful-stop', () => {
  // Guards against a planned shutdown that cuts off requests or does not hand over orders.
  processTest(
    'serves every request while entry daemons restart one by one and a backend server drains',
    () =>
      withDeployment(createTestShape(), async (deployment) => {
        await warmUp(deployment);
        const exitCodes: (number | string)[] = [];
        let haveAllRestarted = false;
        const restartAll = async (): Promise<void> => {
          for (const { vmId } of deployment.entries) {
            deployment.getProcess(vmId).signal('SIGTERM');
            exitCodes.push(await deployment.getProcess(vmId).ended);
            await deployment.startEntry(vmId);
            await deployment.waitUntilReady([vmId]);
          }
          haveAllRestarted = true;
        };
        const target = { instanceId: 'coats-3' };
        const result = await loadDeployment(
          deployment,
          { lookupsPerSecond: 60, ordersPerSecond: 20, durationMs: 27_000 },
          [
            faultAt(500, 'restart all in turn', restartAll),
            faultAt(3_000, 'drain', () =>
              deployment.changeBackendBehavior({ kind: 'drain', target }),
            ),
            faultAt(20_000, 'undrain', () =>
              deployment.changeBackendBehavior({ kind: 'undrain', target }),
            ),
          ],
        );
        await sleep(500);
        expect(haveAllRestarted, 'all entry daemons restarted').to.equal(true);
        expect(exitCodes, 'exit codes').to.deep.equal([0, 0, 0]);
        expectCorrectResult(result);
        for (const kind of [result.total.lookups, result.total.orders]) {
          const { refused, unknown, failed } = kind;
          expect({ refused, unknown, failed }, JSON.stringify(kind)).to.deep.equal({
            refused: 0,
            unknown: 0,
            failed: 0,
          });
        }
      }),
  );
});
