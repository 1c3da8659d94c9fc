import { sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import type { BackendReport } from '@bronzelift/standins';
import { expect } from 'chai';

import {
  at,
  loadDeployment,
  replaceEntry,
  smallShape,
  withDeployment,
} from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

const MS_PER_S = 1_000;

/** Agreed budget per instance, from the design page. */
const BUDGET_MS_PER_S = 20;

// A bucket holds what one second earns.
const BUCKET_MS = 20;

// With a probe a second for each slot, the budget is what limits the probes.
const SLOTS = 12;

const SAMPLE_INTERVAL_MS = 1_000;

/** Costs of an instance within a window of time that exceed what was allowed. */
const findExcess = (
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

/** Reads the report every second, beside what else happens. */
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
    reports.push(await deployment.backendReport());
    await Promise.race([ended, sleep(SAMPLE_INTERVAL_MS)]);
  } while (!isDone);
  await ended;
  reports.push(await deployment.backendReport());
  return reports;
};

const expectWithinBudget = (reports: readonly BackendReport[]): void => {
  const excess = reports.flatMap((report, index) => [
    ...findExcess(undefined, report, 0),
    ...(index > 0 ? findExcess(reports[index - 1], report, BUCKET_MS) : []),
  ]);
  expect(excess, 'backend time spent on measuring beyond the budget').to.deep.equal([]);
};

describe('probe-budget', () => {
  // Guards against shares of the budget that add up to more while holders of slots change.
  proofTest('holds while entry daemons come and go, without and with requests', () =>
    withDeployment(smallShape(3, 20, ['a'], SLOTS), async (deployment) => {
      const idle = replaceEntry(deployment, 'entry-1', 1_000).then(async () => {
        await deployment.waitUntilReady(['entry-1']);
        await sleep(3_000);
      });
      expectWithinBudget(await sampleDuring(deployment, idle));

      const load = loadDeployment(
        deployment,
        { lookupsPerSecond: 10, ordersPerSecond: 2, durationMs: 8_000 },
        [
          at(500, 'kill', () => replaceEntry(deployment, 'entry-2', 500)),
          at(1_000, 'freeze', () => deployment.process('entry-3').signal('SIGSTOP')),
          at(6_000, 'resume', () => deployment.process('entry-3').signal('SIGCONT')),
        ],
      );
      const reports = await sampleDuring(deployment, load);
      expectWithinBudget(reports);
      const probes = reports.at(-1)!.instances.reduce((sum, one) => sum + one.probes, 0);
      expect(probes, 'probes sent at all').to.be.greaterThan(0);
    }),
  );
});
