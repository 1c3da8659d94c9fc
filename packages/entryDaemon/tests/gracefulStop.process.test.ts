import { sleep } from '@bronzelift/common';
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

describe('graceful-stop', () => {
  // Guards against requests and orders that a planned stop interrupts or forgets.
  proofTest(
    'holds while every entry daemon is stopped and started in turn and a server drains',
    () =>
      withDeployment(smallShape(), async (deployment) => {
        await warmUp(deployment);
        const exits: (number | string)[] = [];
        let isRolled = false;
        const restartAll = async (): Promise<void> => {
          for (const { vmId } of deployment.entries) {
            deployment.process(vmId).signal('SIGTERM');
            exits.push(await deployment.process(vmId).ended);
            await deployment.startEntry(vmId);
            await deployment.waitUntilReady([vmId]);
          }
          isRolled = true;
        };
        const target = { instanceId: 'coats-3' };
        const result = await loadDeployment(
          deployment,
          { lookupsPerSecond: 60, ordersPerSecond: 20, durationMs: 27_000 },
          [
            at(500, 'restart all in turn', restartAll),
            at(3_000, 'drain', () => deployment.changeBackend({ kind: 'drain', target })),
            at(20_000, 'undrain', () => deployment.changeBackend({ kind: 'undrain', target })),
          ],
        );
        await sleep(500);
        expect(isRolled, 'all entry daemons restarted').to.equal(true);
        expect(exits, 'exit codes').to.deep.equal([0, 0, 0]);
        expectCorrect(result);
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
