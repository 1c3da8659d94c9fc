import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  EFFECT_LIMIT_MS,
  faultAt,
  loadDeployment,
  createTestShape,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const LOAD = { lookupsPerSecond: 200, ordersPerSecond: 20 };

const LEAVING = 'coats-1';
const DRAINING_INSTANCE_ID = 'coats-2';

const readInstance = async (deployment: LocalDeployment, instanceId: string) => {
  const { instances } = await deployment.fetchBackendReport();
  return instances.find((instance) => instance.instanceId === instanceId)!;
};

describe('leaving-backend', () => {
  // Guards against an entry daemon that ignores the `leaving` state in the VM list or the
  // `draining` state in a backend server's responses, and keeps sending there.
  processTest('stops requests to a VM listed as leaving and to a backend server that drains', () =>
    withDeployment(createTestShape(), async (deployment) => {
      let changedAtMs = 0;
      let undrainedAtMs = 0;
      const result = await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
        faultAt(2_000, 'leave and drain', async () => {
          changedAtMs = Date.now();
          await deployment.changeVmListBehavior({ kind: 'leaving', vmIds: [`vm-${LEAVING}`] });
          await deployment.changeBackendBehavior({
            kind: 'drain',
            target: { instanceId: DRAINING_INSTANCE_ID },
          });
        }),
        faultAt(8_500, 'check last start and undrain', async () => {
          const leaving = await readInstance(deployment, LEAVING);
          const draining = await readInstance(deployment, DRAINING_INSTANCE_ID);
          expect(leaving.started, 'requests before the change').to.be.greaterThan(0);
          expect(leaving.lastStartAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
          expect(draining.started, 'requests before the change').to.be.greaterThan(0);
          expect(draining.lastArrivalAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
          undrainedAtMs = Date.now();
          await deployment.changeBackendBehavior({
            kind: 'undrain',
            target: { instanceId: DRAINING_INSTANCE_ID },
          });
        }),
      ]);
      const returned = await readInstance(deployment, DRAINING_INSTANCE_ID);
      expect(returned.lastStartAtMs!, 'last start after undrain').to.be.greaterThan(undrainedAtMs);
      const left = await readInstance(deployment, LEAVING);
      expect(left.lastStartAtMs! - changedAtMs).to.be.at.most(EFFECT_LIMIT_MS);
      expect(result.total.lookups.served).to.be.greaterThan(0);
    }),
  );
});
