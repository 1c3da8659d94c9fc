import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  at,
  freezeEntry,
  loadDeployment,
  replaceEntry,
  sendLookups,
  smallShape,
  warmUp,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

// Six instances with four slots and 20 ms serve 1200 requests a second; this is half of it.
const HALF_OF_CAPACITY = { lookupsPerSecond: 540, ordersPerSecond: 60 };

const expectNoColdOverload = async (deployment: LocalDeployment): Promise<void> => {
  const report = await deployment.backendReport();
  expect(report.coldOverloadDetails, 'cold overloads').to.deep.equal([]);
  expect(report.coldOverloads).to.equal(0);
};

describe('cold-start-limit', () => {
  // Guards against an allowance that survives a restart, and against trust in a false `warm`.
  proofTest('holds while instances that claim to be warm restart one by one and by domain', () =>
    withDeployment(smallShape(4, 20, ['a', 'b']), async (deployment) => {
      await warmUp(deployment);
      const restart = async (target: { instanceId: string } | { failureDomainId: string }) =>
        deployment.changeBackend({ kind: 'restart', target, downMs: 200 });
      const result = await loadDeployment(deployment, { ...HALF_OF_CAPACITY, durationMs: 12_000 }, [
        at(1_000, 'restart one', () => restart({ instanceId: 'coats-1' })),
        at(2_500, 'restart another', () => restart({ instanceId: 'coats-2' })),
        at(3_500, 'misreport', () =>
          deployment.changeBackend({ kind: 'misreport', loadState: 'warm', inFlight: 0 }),
        ),
        at(4_000, 'restart a third', () => restart({ instanceId: 'coats-3' })),
        at(6_000, 'restart a domain', () => restart({ failureDomainId: 'b' })),
        at(9_000, 'restart it at once again', () =>
          deployment.changeBackend({ kind: 'restart', target: { failureDomainId: 'b' } }),
        ),
      ]);
      await expectNoColdOverload(deployment);
      expect(result.total.lookups.served, 'served lookups').to.be.greaterThan(0);
    }),
  );

  // Guards against slots used by two holders, or with an allowance from before a pause.
  proofTest('holds while entry daemons are frozen with old slots, killed and started', () =>
    withDeployment(smallShape(4, 20, ['a', 'b']), async (deployment) => {
      await warmUp(deployment);
      const restartAll = () => deployment.changeBackend({ kind: 'restart', downMs: 100 });
      await loadDeployment(deployment, { ...HALF_OF_CAPACITY, durationMs: 16_000 }, [
        at(500, 'freeze', () => freezeEntry(deployment, 'entry-2', 8_000)),
        at(5_000, 'restart all', restartAll),
        at(8_300, 'restart a domain before the resumption', () =>
          deployment.changeBackend({ kind: 'restart', target: { failureDomainId: 'b' } }),
        ),
        at(8_350, 'send to the frozen one', () => sendLookups(deployment, 'entry-2', 30, 3_000)),
        at(11_000, 'kill', () => replaceEntry(deployment, 'entry-1', 500)),
        at(11_500, 'restart all', restartAll),
        at(14_000, 'restart all', restartAll),
      ]);
      await sleep(500);
      await expectNoColdOverload(deployment);
    }),
  );
});
