import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatEndpoint, sleep } from '@bronzelift/common';
import { runLoad } from '@bronzelift/load-tool';
import type { LoadOptions, LoadResult, ScheduledFault } from '@bronzelift/load-tool';
import { LocalDeployment } from '@bronzelift/local-deployment';
import type { DeploymentOptions, DeploymentShape } from '@bronzelift/local-deployment';
import { expect } from 'chai';

/** Name of the only service in the test deployments. */
export const SERVICE = 'coats';

/** Time limit of a test with real processes, including their start on a busy machine. */
export const PROCESS_TIMEOUT_MS = 120_000;

/** Time limit for a change to take effect everywhere, as the design page specifies it. */
export const EFFECT_LIMIT_MS = 4_000;

/** Seed of the test run; the environment variable SEED overrides the default. */
export const SEED = Number(process.env.SEED ?? 1);

/**
 * Creates a shape with six instances. If it has fewer failure domains than entry daemons, several
 * daemons share slots.
 */
export const createTestShape = (
  entries = 3,
  meanServiceMs = 20,
  failureDomainIds: readonly string[] = ['a', 'b', 'c'],
  slots = 4,
): DeploymentShape => ({
  name: 'proof',
  failureDomainIds,
  services: [{ service: SERVICE, instances: 6, slots, connections: 200, meanServiceMs }],
  entries,
});

/** Fails if a reachable entry daemon has counted an invariant violation. */
export const expectNoViolations = async (deployment: LocalDeployment): Promise<void> => {
  const statuses = await Promise.allSettled(
    deployment.entries.map(({ vmId }) => deployment.status(vmId)),
  );
  const violations = statuses.flatMap((settled) =>
    settled.status === 'fulfilled'
      ? Object.entries(settled.value.violations).filter(([, count]) => count > 0)
      : [],
  );
  expect(violations, 'invariant violations counted by entry daemons').to.deep.equal([]);
};

/** Runs a test body on a started deployment; if it fails, keeps the logs and prints their path. */
export const withDeployment = async (
  shape: DeploymentShape,
  body: (deployment: LocalDeployment) => Promise<void>,
  options: Partial<DeploymentOptions> = {},
): Promise<void> => {
  const directory = await mkdtemp(join(tmpdir(), 'bronzelift-proof-'));
  const deployment = await LocalDeployment.create(shape, { directory, seed: SEED, ...options });
  try {
    await deployment.start();
    await body(deployment);
    await expectNoViolations(deployment);
  } catch (error) {
    process.stderr.write(`    failed with SEED=${SEED}; logs in ${directory}\n`);
    throw error;
  } finally {
    await deployment.stop();
  }
  await rm(directory, { recursive: true });
};

/** Request rates and duration of the load that a test sends to the service. */
export interface TestLoad {
  readonly lookupsPerSecond: number;
  readonly ordersPerSecond: number;
  readonly durationMs: number;
  readonly timeoutMs?: number;
  readonly patienceMs?: number;
}

/** Sends load through all entry daemons and injects faults at their scheduled times. */
export const loadDeployment = async (
  deployment: LocalDeployment,
  { durationMs, ...rates }: TestLoad,
  faults: readonly ScheduledFault[] = [],
  options: Partial<LoadOptions> = {},
): Promise<LoadResult> => {
  const result = await runLoad({
    seed: SEED,
    entryEndpoints: deployment.entries.map(({ caller }) => caller),
    services: [{ service: SERVICE, ...rates }],
    durationMs,
    backendStandinUrls: [`http://${formatEndpoint(deployment.standins.backend)}`],
    settleMs: 2_000,
    faults,
    ...options,
  });
  expect(
    result.faults.filter(({ error }) => error !== undefined),
    'faults that were not applied',
  ).to.deep.equal([]);
  return result;
};

/** Creates a fault that calls `run` at a time after the start of the load. */
export const faultAt = (
  atMs: number,
  name: string,
  run: () => Promise<void> | void,
): ScheduledFault => ({ kind: 'callback', atMs, name, run });

/**
 * Fails if an order ran twice, was lost or ran despite a `not-run` response, if a response was wrong
 * or incomplete, if no order was served, or if the orders could not be audited.
 */
export const expectCorrectResult = ({ orderAudit, total }: LoadResult): void => {
  expect(orderAudit.audited, 'backend report read').to.equal(true);
  expect(orderAudit.findings, 'findings of the order audit').to.deep.equal([]);
  for (const kind of [total.lookups, total.orders]) {
    expect(kind.wrongAnswers, 'wrong responses').to.equal(0);
    expect(kind.incompleteAnswers, 'incomplete responses').to.equal(0);
  }
  expect(total.orders.served, 'served orders').to.be.greaterThan(0);
};

/** Makes instances warm and sends load, so that the entry daemons raise their allowances. */
export const warmUp = async (deployment: LocalDeployment): Promise<void> => {
  await deployment.changeBackendBehavior({ kind: 'warm' });
  await loadDeployment(
    deployment,
    { lookupsPerSecond: 300, ordersPerSecond: 0, durationMs: 3_000 },
    [],
    { settleMs: 0 },
  );
};

/** Suspends an entry daemon with SIGSTOP for a duration in milliseconds. */
export const freezeEntry = async (
  deployment: LocalDeployment,
  vmId: string,
  durationMs: number,
): Promise<void> => {
  deployment.getProcess(vmId).signal('SIGSTOP');
  await sleep(durationMs);
  deployment.getProcess(vmId).signal('SIGCONT');
};

/** Kills an entry daemon and starts it again after a pause in milliseconds. */
export const killAndRestartEntry = async (
  deployment: LocalDeployment,
  vmId: string,
  pauseMs: number,
): Promise<void> => {
  deployment.getProcess(vmId).signal('SIGKILL');
  await deployment.getProcess(vmId).ended;
  await sleep(pauseMs);
  await deployment.startEntry(vmId);
};

/** Sends lookups to one entry daemon; a frozen daemon reads them when it resumes. */
export const sendLookups = async (
  deployment: LocalDeployment,
  vmId: string,
  count: number,
  timeoutMs: number,
): Promise<void> => {
  const url = `http://${formatEndpoint(deployment.entry(vmId).caller)}/${SERVICE}/lookups`;
  const headers = { 'bronzelift-timeout-ms': String(timeoutMs) };
  await Promise.allSettled(
    Array.from({ length: count }, async (_, index) => {
      const signal = AbortSignal.timeout(2 * timeoutMs);
      const response = await fetch(`${url}/${vmId}-${index}`, { headers, signal });
      await response.arrayBuffer();
    }),
  );
};
