import { sleep } from '@bronzelift/common';
import { expect } from 'chai';

import { freezeEntry, smallShape, withDeployment } from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';
import { KeyLedger, createKeys } from './support/singleOrders.js';

const HOME = 'entry-1';
const OTHERS = ['entry-2', 'entry-3'];
const ALL = [HOME, ...OTHERS];
const KEYS = 6;

// Longer than a member lease (3 s), the eviction of a silent member and its settlement together.
const FREEZE_MS = 8_000;

describe('order-at-most-once and not-run-is-true of single keys', () => {
  // Guards against duplicates that start an attempt of their own instead of joining the first.
  proofTest('runs a key once that arrives at all entry daemons at once', () =>
    withDeployment(smallShape(3, 40), async (deployment) => {
      const ledger = KeyLedger.create(deployment);
      const keys = await createKeys(deployment, HOME, 'at-once', KEYS);
      const replies = await ledger.sendAll(keys, ALL, 4_000);
      expect(replies.filter(({ outcome }) => outcome !== 'ran')).to.deep.equal([]);
      await ledger.sendAll(keys, ALL, 4_000);
      await ledger.expectTrue();
    }),
  );

  // Guards against a takeover that runs a key whose home was killed after it had sent it.
  proofTest('does not run a key again whose home was killed after sending', () =>
    withDeployment(smallShape(3, 40), async (deployment) => {
      const ledger = KeyLedger.create(deployment);
      const keys = await createKeys(deployment, HOME, 'killed', KEYS);
      await deployment.changeBackend({ kind: 'freeze' });
      const first = ledger.sendAll(keys, [HOME], 3_000);
      await sleep(400);
      deployment.process(HOME).signal('SIGKILL');
      await first;
      const whileFrozen = ledger.sendAll(keys, OTHERS, 2_000);
      await sleep(1_000);
      await deployment.changeBackend({ kind: 'unfreeze' });
      await whileFrozen;
      await ledger.sendAll(keys, OTHERS, 2_000);
      await ledger.expectTrue();
      const repeated = await ledger.sendAll(keys, OTHERS, 1_000);
      await ledger.expectTrue();
      expect(repeated).to.have.length(KEYS * OTHERS.length);
    }),
  );

  // Guards against old requests in the sockets of a resumed process that count as new ones.
  proofTest('does not run an order that its caller gave up while the entry daemon was frozen', () =>
    withDeployment(smallShape(3, 40), async (deployment) => {
      const ledger = KeyLedger.create(deployment);
      const all = await createKeys(deployment, HOME, 'given-up', KEYS);
      const witnessOf = (key: string): string | undefined => key.split('.')[3];
      const witnessVmId = witnessOf(all[0]!);
      const keys = all.filter((key) => witnessOf(key) === witnessVmId);
      // A frozen witness would keep the home from telling that the order was not run.
      const frozenVmId = OTHERS.find((vmId) => vmId !== witnessVmId)!;
      const frozen = freezeEntry(deployment, frozenVmId, 5_000);
      await ledger.sendAll(keys, [frozenVmId], 500);
      // Nothing can be sent while the ports are closed, so that the home refuses.
      await deployment.changeBackend({ kind: 'restart', downMs: 1_500 });
      const replies = await ledger.sendAll(keys, [HOME], 500);
      expect(replies.map(({ outcome }) => outcome)).to.include('not-run');
      await frozen;
      await ledger.expectTrue();
    }),
  );

  for (const isLogDown of [false, true]) {
    // Guards against a home that sends after its lease, and against requests left in its sockets.
    proofTest(
      `does not run a key again while its home is frozen and after it resumed, log ${isLogDown ? 'down' : 'up'}`,
      () =>
        withDeployment(smallShape(3, 40), async (deployment) => {
          const ledger = KeyLedger.create(deployment);
          const sent = await createKeys(deployment, HOME, 'sent', KEYS);
          const unsent = await createKeys(deployment, HOME, 'unsent', KEYS);
          const late = await createKeys(deployment, HOME, 'late', KEYS);
          if (isLogDown) await deployment.changeLog({ kind: 'outage' });
          await deployment.changeBackend({ kind: 'slow', factor: 10 });
          const first = ledger.sendAll(sent, [HOME], 2_000);
          await sleep(150);
          const frozen = freezeEntry(deployment, HOME, FREEZE_MS);
          const stuck = ledger.sendAll(unsent, ALL, 12_000);
          const early = ledger.sendAll(sent, OTHERS, 2_000);
          await Promise.all([first, early]);
          await deployment.changeBackend({ kind: 'slow', factor: 1 });
          await ledger.sendAll([...sent, ...late], OTHERS, 1_500);
          await frozen;
          const resumed = ledger.sendAll(sent, ALL, 2_000);
          await Promise.all([resumed, stuck]);
          await ledger.sendAll([...sent, ...unsent, ...late], ALL, 2_000);
          await ledger.expectTrue();
          await deployment.changeLog({ kind: 'available' });
          await deployment.waitUntilReady();
          await ledger.sendAll([...sent, ...unsent], ALL, 2_000);
          await ledger.expectTrue();
        }),
    );
  }
});
