import { sleep } from '@bronzelift/common';

import {
  at,
  expectCorrect,
  freezeEntry,
  loadDeployment,
  replaceEntry,
  smallShape,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

// Longer than a member lease (3 s), the eviction of a silent member and its settlement together.
const FREEZE_MS = 8_000;

const ORDER_LOAD = { lookupsPerSecond: 40, ordersPerSecond: 80 };

describe('order-at-most-once and not-run-is-true under load', () => {
  // Guards against a second run at the witness, or a false not-run, when a home is lost or late.
  proofTest('holds while homes are killed and frozen and append responses are lost', () =>
    withDeployment(smallShape(4, 40), async (deployment) => {
      const result = await loadDeployment(deployment, { ...ORDER_LOAD, durationMs: 16_000 }, [
        at(2_000, 'lose append responses', () =>
          deployment.changeLog({ kind: 'lose-append-responses', count: 4 }),
        ),
        at(2_500, 'kill', () => replaceEntry(deployment, 'entry-1', 1_500)),
        at(6_000, 'freeze', () => freezeEntry(deployment, 'entry-2', FREEZE_MS)),
        at(6_500, 'freeze instances', () =>
          deployment.changeBackend({
            kind: 'freeze',
            target: { failureDomainId: 'b' },
            durationMs: 3_000,
          }),
        ),
        at(11_000, 'kill', () => replaceEntry(deployment, 'entry-3', 500)),
      ]);
      expectCorrect(result);
    }),
  );

  // Guards against orders that depend on the log, whose roster cannot change during an outage.
  proofTest('holds without the log while a home is frozen and another one is killed', () =>
    withDeployment(smallShape(4, 40), async (deployment) => {
      await deployment.changeLog({ kind: 'outage' });
      const result = await loadDeployment(deployment, { ...ORDER_LOAD, durationMs: 16_000 }, [
        at(2_000, 'freeze', () => freezeEntry(deployment, 'entry-2', FREEZE_MS)),
        at(4_000, 'freeze instances', () =>
          deployment.changeBackend({
            kind: 'freeze',
            target: { failureDomainId: 'a' },
            durationMs: 3_000,
          }),
        ),
        at(12_500, 'kill', () => replaceEntry(deployment, 'entry-1', 1_500)),
      ]);
      expectCorrect(result);
      await deployment.changeLog({ kind: 'available' });
      await sleep(1_000);
    }),
  );
});
