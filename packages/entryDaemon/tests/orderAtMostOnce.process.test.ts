import { sleep } from '@bronzelift/common';

import {
  faultAt,
  expectCorrectResult,
  freezeEntry,
  loadDeployment,
  killAndRestartEntry,
  createTestShape,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

// Longer than a member lease (3 s), the eviction of a silent member and its settlement together.
const FREEZE_MS = 8_000;

const ORDER_LOAD = { lookupsPerSecond: 40, ordersPerSecond: 80 };

describe('order-at-most-once and not-run-is-true under load', () => {
  // Guards against a second run at the witness and a false not-run response when the home of an
  // order is killed or frozen.
  processTest(
    'runs orders at most once while homes are killed or frozen, and append responses lost',
    () =>
      withDeployment(createTestShape(4, 40), async (deployment) => {
        const result = await loadDeployment(deployment, { ...ORDER_LOAD, durationMs: 16_000 }, [
          faultAt(2_000, 'lose append responses', () =>
            deployment.changeLogBehavior({ kind: 'lose-append-responses', count: 4 }),
          ),
          faultAt(2_500, 'kill', () => killAndRestartEntry(deployment, 'entry-1', 1_500)),
          faultAt(6_000, 'freeze', () => freezeEntry(deployment, 'entry-2', FREEZE_MS)),
          faultAt(6_500, 'freeze instances', () =>
            deployment.changeBackendBehavior({
              kind: 'freeze',
              target: { failureDomainId: 'b' },
              durationMs: 3_000,
            }),
          ),
          faultAt(11_000, 'kill', () => killAndRestartEntry(deployment, 'entry-3', 500)),
        ]);
        expectCorrectResult(result);
      }),
  );

  // Guards against order handling that depends on the log: during a log outage the roster cannot
  // change, and orders must still run at most once.
  processTest(
    'runs orders at most once during a log outage in which homes are frozen and killed',
    () =>
      withDeployment(createTestShape(4, 40), async (deployment) => {
        await deployment.changeLogBehavior({ kind: 'outage' });
        const result = await loadDeployment(deployment, { ...ORDER_LOAD, durationMs: 16_000 }, [
          faultAt(2_000, 'freeze', () => freezeEntry(deployment, 'entry-2', FREEZE_MS)),
          faultAt(4_000, 'freeze instances', () =>
            deployment.changeBackendBehavior({
              kind: 'freeze',
              target: { failureDomainId: 'a' },
              durationMs: 3_000,
            }),
          ),
          faultAt(12_500, 'kill', () => killAndRestartEntry(deployment, 'entry-1', 1_500)),
        ]);
        expectCorrectResult(result);
        await deployment.changeLogBehavior({ kind: 'available' });
        await sleep(1_000);
      }),
  );
});
