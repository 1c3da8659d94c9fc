import { sleep } from '@bronzelift/common';
import { expect } from 'chai';

import { freezeEntry, createTestShape, withDeployment } from './support/testDeployment.js';
import { processTest } from './support/processTest.js';
import { OrderKeyTracker, createKeys } from './support/orderKeyTracker.js';

const HOME_VM_ID = 'entry-1';
const OTHER_VM_IDS = ['entry-2', 'entry-3'];
const ALL_VM_IDS = [HOME_VM_ID, ...OTHER_VM_IDS];
const KEY_COUNT = 6;

// Longer than a member lease (3 s), the eviction of a silent member and its settlement together.
const FREEZE_MS = 8_000;

describe('order-at-most-once and not-run-is-true of single keys', () => {
  // Guards against an order that runs twice because duplicates start their own attempt instead of
  // waiting for the first attempt.
  processTest('runs an order once when its key arrives at all entry daemons at the same time', () =>
    withDeployment(createTestShape(3, 40), async (deployment) => {
      const tracker = OrderKeyTracker.create(deployment);
      const keys = await createKeys(deployment, HOME_VM_ID, 'at-once', KEY_COUNT);
      const replies = await tracker.sendAll(keys, ALL_VM_IDS, 4_000);
      expect(replies.filter(({ outcome }) => outcome !== 'ran')).to.deep.equal([]);
      await tracker.sendAll(keys, ALL_VM_IDS, 4_000);
      await tracker.expectConsistentRuns();
    }),
  );

  // Guards against an order that runs twice because its witness takes the order over after the home
  // had sent it and was killed.
  processTest('does not run an order again if its home was killed after sending it', () =>
    withDeployment(createTestShape(3, 40), async (deployment) => {
      const tracker = OrderKeyTracker.create(deployment);
      const keys = await createKeys(deployment, HOME_VM_ID, 'killed', KEY_COUNT);
      await deployment.changeBackendBehavior({ kind: 'freeze' });
      const first = tracker.sendAll(keys, [HOME_VM_ID], 3_000);
      await sleep(400);
      deployment.getProcess(HOME_VM_ID).signal('SIGKILL');
      await first;
      const whileFrozen = tracker.sendAll(keys, OTHER_VM_IDS, 2_000);
      await sleep(1_000);
      await deployment.changeBackendBehavior({ kind: 'unfreeze' });
      await whileFrozen;
      await tracker.sendAll(keys, OTHER_VM_IDS, 2_000);
      await tracker.expectConsistentRuns();
      const repeated = await tracker.sendAll(keys, OTHER_VM_IDS, 1_000);
      await tracker.expectConsistentRuns();
      expect(repeated).to.have.length(KEY_COUNT * OTHER_VM_IDS.length);
    }),
  );

  // Guards against a resumed entry daemon that handles requests left in its sockets as new ones,
  // although their callers have stopped waiting.
  processTest(
    'does not run an order whose caller stopped waiting while the entry daemon was frozen',
    () =>
      withDeployment(createTestShape(3, 40), async (deployment) => {
        const tracker = OrderKeyTracker.create(deployment);
        const all = await createKeys(deployment, HOME_VM_ID, 'given-up', KEY_COUNT);
        const readWitness = (key: string): string | undefined => key.split('.')[3];
        const witnessVmId = readWitness(all[0]!);
        const keys = all.filter((key) => readWitness(key) === witnessVmId);
        // With a frozen witness, the home could not confirm that the order was not run.
        const frozenVmId = OTHER_VM_IDS.find((vmId) => vmId !== witnessVmId)!;
        const frozen = freezeEntry(deployment, frozenVmId, 5_000);
        await tracker.sendAll(keys, [frozenVmId], 500);
        // Nothing can be sent while the ports of the backend servers are closed, so the home
        // refuses.
        await deployment.changeBackendBehavior({ kind: 'restart', downMs: 1_500 });
        const replies = await tracker.sendAll(keys, [HOME_VM_ID], 500);
        expect(replies.map(({ outcome }) => outcome)).to.include('not-run');
        await frozen;
        await tracker.expectConsistentRuns();
      }),
  );

  for (const isLogDown of [false, true]) {
    // Guards against a home that sends after its lease has expired, and against a resumed home that
    // handles requests left in its sockets as new requests.
    processTest(
      `does not run an order again while its home is frozen or after the home resumes, with the log ${isLogDown ? 'down' : 'up'}`,
      () =>
        withDeployment(createTestShape(3, 40), async (deployment) => {
          const tracker = OrderKeyTracker.create(deployment);
          const sent = await createKeys(deployment, HOME_VM_ID, 'sent', KEY_COUNT);
          const unsent = await createKeys(deployment, HOME_VM_ID, 'unsent', KEY_COUNT);
          const late = await createKeys(deployment, HOME_VM_ID, 'late', KEY_COUNT);
          if (isLogDown) await deployment.changeLogBehavior({ kind: 'outage' });
          await deployment.changeBackendBehavior({ kind: 'slow', factor: 10 });
          const first = tracker.sendAll(sent, [HOME_VM_ID], 2_000);
          await sleep(150);
          const frozen = freezeEntry(deployment, HOME_VM_ID, FREEZE_MS);
          const stuck = tracker.sendAll(unsent, ALL_VM_IDS, 12_000);
          const early = tracker.sendAll(sent, OTHER_VM_IDS, 2_000);
          await Promise.all([first, early]);
          await deployment.changeBackendBehavior({ kind: 'slow', factor: 1 });
          await tracker.sendAll([...sent, ...late], OTHER_VM_IDS, 1_500);
          await frozen;
          const resumed = tracker.sendAll(sent, ALL_VM_IDS, 2_000);
          await Promise.all([resumed, stuck]);
          await tracker.sendAll([...sent, ...unsent, ...late], ALL_VM_IDS, 2_000);
          await tracker.expectConsistentRuns();
          await deployment.changeLogBehavior({ kind: 'available' });
          await deployment.waitUntilReady();
          await tracker.sendAll([...sent, ...unsent], ALL_VM_IDS, 2_000);
          await tracker.expectConsistentRuns();
        }),
    );
  }
});
