import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import {
  EFFECT_LIMIT_MS,
  faultAt,
  freezeEntry,
  loadDeployment,
  sendLookups,
  createTestShape,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const LOAD = { lookupsPerSecond: 200, ordersPerSecond: 20 };

const readLastStartMs = async (deployment: LocalDeployment, domain: string): Promise<number> =>
  (await deployment.fetchBackendReport()).failureDomains[domain]?.lastStartAtMs ?? 0;

/** Fails if the domain received requests after the limit, or domain `b` received none after it. */
const expectOutOfService = async (
  deployment: LocalDeployment,
  domain: string,
  changedAtMs: number,
): Promise<void> => {
  const lastStartAfterMs = (await readLastStartMs(deployment, domain)) - changedAtMs;
  expect(lastStartAfterMs, `last start in ${domain} after the change`).to.be.at.most(
    EFFECT_LIMIT_MS,
  );
  const otherStartAfterMs = (await readLastStartMs(deployment, 'b')) - changedAtMs;
  expect(otherStartAfterMs, 'last start in another domain').to.be.greaterThan(EFFECT_LIMIT_MS);
};

describe('domain-out', () => {
  // Guards against an entry daemon that keeps sending to the domain because it is cut off from the
  // log or has a full queue, and so misses the record.
  processTest(
    'stops and resumes requests to a domain even if one entry daemon cannot read the log',
    () =>
      withDeployment(createTestShape(), async (deployment) => {
        await deployment.changeLogBehavior({ kind: 'block', clientIds: ['entry-2'] });
        let outAtMs = 0;
        let backAtMs = 0;
        await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
          faultAt(2_000, 'take out', async () => {
            outAtMs = Date.now();
            await deployment.appendRecord({ kind: 'target-taken-out', target: 'domain:a' });
          }),
          faultAt(9_000, 'look', () => expectOutOfService(deployment, 'a', outAtMs)),
          faultAt(9_500, 'bring back', async () => {
            backAtMs = Date.now();
            await deployment.appendRecord({ kind: 'target-brought-back', target: 'domain:a' });
          }),
        ]);
        expect(
          await readLastStartMs(deployment, 'a'),
          'last start after bringing back',
        ).to.be.greaterThan(backAtMs);
        await deployment.changeLogBehavior({ kind: 'unblock' });
      }),
  );

  // Guards against a resumed entry daemon that sends to the domain because it still has the state
  // from before its pause.
  processTest(
    'sends nothing to a domain out of service when a frozen entry daemon resumes without the log',
    () =>
      withDeployment(createTestShape(), async (deployment) => {
        let outAtMs = 0;
        await loadDeployment(deployment, { ...LOAD, durationMs: 13_000 }, [
          faultAt(1_500, 'freeze', () => freezeEntry(deployment, 'entry-3', 7_000)),
          faultAt(2_000, 'take out', async () => {
            outAtMs = Date.now();
            await deployment.appendRecord({ kind: 'target-taken-out', target: 'domain:c' });
            await sleep(100);
            await deployment.changeLogBehavior({ kind: 'outage' });
          }),
          // The frozen entry daemon holds the slots of domain `c`, and reads these lookups when it
          // resumes.
          faultAt(8_000, 'send to the frozen entry daemon', () =>
            sendLookups(deployment, 'entry-3', 30, 3_000),
          ),
        ]);
        await expectOutOfService(deployment, 'c', outAtMs);
        const statuses = await Promise.all(
          deployment.entries.map(({ vmId }) => deployment.status(vmId)),
        );
        expect(
          statuses.map(({ drainRevision }) => drainRevision),
          'drain revision of every entry daemon while the log is down',
        ).to.deep.equal([1, 1, 1]);
      }),
  );
});
