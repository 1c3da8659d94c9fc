import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  EFFECT_LIMIT_MS,
  at,
  loadDeployment,
  smallShape,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

const LOAD = { lookupsPerSecond: 200, ordersPerSecond: 20 };

const LEAVING = 'coats-1';
const DRAINING = 'coats-2';

const readInstance = async (deployment: LocalDeployment, instanceId: string) => {
  const { instances } = await deployment.backendReport();
  return instances.find((instance) => instance.instanceId === instanceId)!;
};

describe('leaving-backend', () => {
  // Guards against sources of the news that are not followed: VM list and the server's own word.
  proofTest('holds for a VM that the list shows as leaving and for a server that drains', () =>
    withDeployment(smallShape(), async (deployment) => {
      let changedAtMs = 0;
      let undrainedAtMs = 0;
      const result = await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
        at(2_000, 'leave and drain', async () => {
          changedAtMs = Date.now();
          await deployment.changeVmList({ kind: 'leaving', vmIds: [`vm-${LEAVING}`] });
          await deployment.changeBackend({ kind: 'drain', target: { instanceId: DRAINING } });
        }),
        at(8_500, 'look and undrain', async () => {
          const leaving = await readInstance(deployment, LEAVING);
          const draining = await readInstance(deployment, DRAINING);
          expect(leaving.started, 'work before').to.be.greaterThan(0);
          expect(leaving.lastStartAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
          expect(draining.started, 'work before').to.be.greaterThan(0);
          expect(draining.lastArrivalAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
          undrainedAtMs = Date.now();
          await deployment.changeBackend({ kind: 'undrain', target: { instanceId: DRAINING } });
        }),
      ]);
      const returned = await readInstance(deployment, DRAINING);
      expect(returned.lastStartAtMs!, 'work returned').to.be.greaterThan(undrainedAtMs);
      const left = await readInstance(deployment, LEAVING);
      expect(left.lastStartAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
      expect(result.total.lookups.served).to.be.greaterThan(0);
    }),
  );
});
