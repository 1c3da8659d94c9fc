import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  EFFECT_LIMIT_MS,
  at,
  freezeEntry,
  loadDeployment,
  sendLookups,
  smallShape,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

const LOAD = { lookupsPerSecond: 200, ordersPerSecond: 20 };

const lastStartMs = async (deployment: LocalDeployment, domain: string): Promise<number> =>
  (await deployment.backendReport()).failureDomains[domain]?.lastStartAtMs ?? 0;

/** The domain got no work later than the limit, while another one still did. */
const expectOut = async (
  deployment: LocalDeployment,
  domain: string,
  changedAtMs: number,
): Promise<void> => {
  const lateMs = (await lastStartMs(deployment, domain)) - changedAtMs;
  expect(lateMs, `last start in ${domain} after the change`).to.be.at.most(EFFECT_LIMIT_MS);
  const otherMs = (await lastStartMs(deployment, 'b')) - changedAtMs;
  expect(otherMs, 'last start in another domain').to.be.greaterThan(EFFECT_LIMIT_MS);
};

describe('domain-out', () => {
  // Guards against entry daemons that miss the record: cut off from the log, or with a full queue.
  proofTest('holds while one entry daemon cannot read the log, and work returns', () =>
    withDeployment(smallShape(), async (deployment) => {
      await deployment.changeLog({ kind: 'block', clientIds: ['entry-2'] });
      let outAtMs = 0;
      let backAtMs = 0;
      await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
        at(2_000, 'take out', async () => {
          outAtMs = Date.now();
          await deployment.append({ kind: 'target-taken-out', target: 'domain:a' });
        }),
        at(9_000, 'look', () => expectOut(deployment, 'a', outAtMs)),
        at(9_500, 'bring back', async () => {
          backAtMs = Date.now();
          await deployment.append({ kind: 'target-brought-back', target: 'domain:a' });
        }),
      ]);
      expect(await lastStartMs(deployment, 'a'), 'work returned').to.be.greaterThan(backAtMs);
      await deployment.changeLog({ kind: 'unblock' });
    }),
  );

  // Guards against a resumed entry daemon that sends on what it knew before its pause.
  proofTest('holds when the log fails after the append and a frozen entry daemon resumes', () =>
    withDeployment(smallShape(), async (deployment) => {
      let outAtMs = 0;
      await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
        at(1_500, 'freeze', () => freezeEntry(deployment, 'entry-3', 7_000)),
        at(2_000, 'take out', async () => {
          outAtMs = Date.now();
          await deployment.append({ kind: 'target-taken-out', target: 'domain:c' });
          await sleep(100);
          await deployment.changeLog({ kind: 'outage' });
        }),
        // The frozen entry daemon, which holds the slots of this domain, finds them as it resumes.
        at(8_000, 'send to the frozen one', () => sendLookups(deployment, 'entry-3', 30, 3_000)),
      ]);
      await expectOut(deployment, 'c', outAtMs);
      const statuses = await Promise.all(
        deployment.entries.map(({ vmId }) => deployment.status(vmId)),
      );
      expect(
        statuses.map(({ drainRevision }) => drainRevision),
        'drain revision of all, with the log down',
      ).to.deep.equal([1, 1, 1]);
    }),
  );
});
