import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  faultAt,
  freezeEntry,
  loadDeployment,
  killAndRestartEntry,
  sendLookups,
  createTestShape,
  warmUp,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

// Six instances with four slots and 20 ms per request serve 1200 requests/s; this is half of it.
const HALF_CAPACITY_LOAD = { lookupsPerSecond: 540, ordersPerSecond: 60 };

const expectNoColdOverload = async (deployment: LocalDeployment): Promise<void> => {
  const report = await deployment.fetchBackendReport();
  expect(report.coldOverloadDetails, 'cold overloads').to.deep.equal([]);
  expect(report.coldOverloads).to.equal(0);
};

describe('cold-start-limit', () => {
  // Guards against an allowance that is kept after a backend server restarts, and against a
  // restarted server that is treated as warm because it reports `warm`.
  processTest(
    'keeps the cold limit when instances or a failure domain restart, even if they report `warm`',
    () =>
      withDeployment(createTestShape(4, 20, ['a', 'b']), async (deployment) => {
        await warmUp(deployment);
        const restart = async (target: { instanceId: string } | { failureDomainId: string }) =>
          deployment.changeBackendBehavior({ kind: 'restart', target, downMs: 200 });
        const result = await loadDeployment(
          deployment,
          { ...HALF_CAPACITY_LOAD, durationMs: 12_000 },
          [
            faultAt(1_000, 'restart one', () => restart({ instanceId: 'coats-1' })),
            faultAt(2_500, 'restart another', () => restart({ instanceId: 'coats-2' })),
            faultAt(3_500, 'misreport', () =>
              deployment.changeBackendBehavior({
                kind: 'misreport',
                loadState: 'warm',
                inFlight: 0,
              }),
            ),
            faultAt(4_000, 'restart a third', () => restart({ instanceId: 'coats-3' })),
            faultAt(6_000, 'restart a domain', () => restart({ failureDomainId: 'b' })),
            faultAt(9_000, 'restart the domain again', () =>
              deployment.changeBackendBehavior({
                kind: 'restart',
                target: { failureDomainId: 'b' },
              }),
            ),
          ],
        );
        await expectNoColdOverload(deployment);
        expect(result.total.lookups.served, 'served lookups').to.be.greaterThan(0);
      }),
  );

  // Guards against two entry daemons that use the same slots, and against a resumed entry daemon
  // that uses the allowance from before its pause.
  processTest('keeps the cold limit while entry daemons are frozen, killed and restarted', () =>
    withDeployment(createTestShape(4, 20, ['a', 'b']), async (deployment) => {
      await warmUp(deployment);
      const restartAll = () => deployment.changeBackendBehavior({ kind: 'restart', downMs: 100 });
      await loadDeployment(deployment, { ...HALF_CAPACITY_LOAD, durationMs: 16_000 }, [
        faultAt(500, 'freeze', () => freezeEntry(deployment, 'entry-2', 8_000)),
        faultAt(5_000, 'restart all', restartAll),
        faultAt(8_300, 'restart a domain before the resume', () =>
          deployment.changeBackendBehavior({ kind: 'restart', target: { failureDomainId: 'b' } }),
        ),
        faultAt(8_350, 'send to the frozen entry daemon', () =>
          sendLookups(deployment, 'entry-2', 30, 3_000),
        ),
        faultAt(11_000, 'kill', () => killAndRestartEntry(deployment, 'entry-1', 500)),
        faultAt(11_500, 'restart all', restartAll),
        faultAt(14_000, 'restart all', restartAll),
      ]);
      await sleep(500);
      await expectNoColdOverload(deployment);
    }),
  );
});
