import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import type { BackendReport } from '@bronzelift/standins';
import { expect } from 'chai';

import {
  faultAt,
  loadDeployment,
  killAndRestartEntry,
  createTestShape,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const MS_PER_S = 1_000;

/** Probe budget per instance, as the design page specifies it. */
const BUDGET_MS_PER_S = 20;

// The token bucket holds at most one second of the budget.
const BUCKET_MS = 20;

// With this many slots and one probe per second and slot, the budget limits the probes.
const SLOTS_PER_INSTANCE = 12;

const SAMPLE_INTERVAL_MS = 1_000;

/** Describes each instance whose probe costs between two reports exceeded the budget. */
const findBudgetExcesses = (
  earlier: BackendReport | undefined,
  later: BackendReport,
  burstMs: number,
): string[] => {
  const sinceMs = earlier?.atMs ?? later.listeningSinceMs;
  const allowedMs = ((later.atMs - sinceMs) / MS_PER_S) * BUDGET_MS_PER_S + burstMs;
  return later.instances.flatMap((instance, index) => {
    const before = earlier?.instances[index];
    const probeMs = instance.probeMs - (before?.probeMs ?? 0);
    const connectionMs = instance.connectionMs - (before?.connectionMs ?? 0);
    const requests = instance.started - (before?.started ?? 0);
    const neededMs = Math.min(connectionMs, requests);
    if (probeMs + connectionMs - neededMs <= allowedMs) return [];
    const { instanceId } = instance;
    return [`${instanceId}: ${probeMs} + ${connectionMs} - ${neededMs} of ${allowedMs} ms`];
  });
};

/** Reads the backend report every second until an action ends. */
const sampleDuring = async (
  deployment: LocalDeployment,
  action: Promise<unknown>,
): Promise<BackendReport[]> => {
  const reports: BackendReport[] = [];
  let isDone = false;
  const ended = action.finally(() => {
    isDone = true;
  });
  do {
    reports.push(await deployment.fetchBackendReport());
    await Promise.race([ended, sleep(SAMPLE_INTERVAL_MS)]);
  } while (!isDone);
  await ended;
  reports.push(await deployment.fetchBackendReport());
  return reports;
};

const expectWithinBudget = (reports: readonly BackendReport[]): void => {
  const excess = reports.flatMap((report, index) => [
    ...findBudgetExcesses(undefined, report, 0),
    ...(index > 0 ? findBudgetExcesses(reports[index - 1], report, BUCKET_MS) : []),
  ]);
  expect(excess, 'backend time spent on probes beyond the budget').to.deep.equal([]);
};

describe('probe-budget', () => {
  // Guards against entry daemons whose shares of the budget add up to more than the budget while
  // slots move between them.
  processTest(
    'keeps the probe budget while entry daemons stop and start, both idle and under load',
    () =>
      withDeployment(createTestShape(3, 20, ['a'], SLOTS_PER_INSTANCE), async (deployment) => {
        const idle = killAndRestartEntry(deployment, 'entry-1', 1_000).then(async () => {
          await deployment.waitUntilReady(['entry-1']);
          await sleep(3_000);
        });
        expectWithinBudget(await sampleDuring(deployment, idle));

        const load = loadDeployment(
          deployment,
          { lookupsPerSecond: 10, ordersPerSecond: 2, durationMs: 8_000 },
          [
            faultAt(500, 'kill', () => killAndRestartEntry(deployment, 'entry-2', 500)),
            faultAt(1_000, 'freeze', () => deployment.getProcess('entry-3').signal('SIGSTOP')),
            faultAt(6_000, 'resume', () => deployment.getProcess('entry-3').signal('SIGCONT')),
          ],
        );
        const reports = await sampleDuring(deployment, load);
        expectWithinBudget(reports);
        const probes = reports
          .at(-1)!
          .instances.reduce((sum, instance) => sum + instance.probes, 0);
        expect(probes, 'number of probes sent').to.be.greaterThan(0);
      }),
  );
});
