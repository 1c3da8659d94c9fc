import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatEndpoint, sleep } from '@bronzelift/common';
import { runLoad } from '@bronzelift/load-tool';
import type { LoadOptions, LoadResult, ScheduledFault } from '@bronzelift/load-tool';
import { LocalDeployment } from '@bronzelift/local-deployment';
import type { DeploymentOptions, DeploymentShape } from '@bronzelift/local-deployment';
import { expect } from 'chai';

/** Service of the small deployments. */
export const SERVICE = 'coats';

/** Time limit of a test with real processes; includes the start on a busy machine. */
export const PROOF_TIMEOUT_MS = 120_000;

/** Time within which a change must be in effect everywhere, from the design page. */
export const EFFECT_LIMIT_MS = 4_000;

/** Seed of a run; another one is given by the environment variable SEED. */
export const SEED = Number(process.env.SEED ?? 1);

/** Six instances; with fewer failure domains than entry daemons, several share the slots of one. */
export const smallShape = (
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

/** Fails when an entry daemon that answers has counted an invariant violation. */
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

/** Runs a test body on a started deployment; keeps the logs of a failed run and names them. */
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

/** Load of one service in requests per second. */
export interface ProofLoad {
  readonly lookupsPerSecond: number;
  readonly ordersPerSecond: number;
  readonly durationMs: number;
  readonly timeoutMs?: number;
  readonly patienceMs?: number;
}

/** Sends load through all entry daemons and applies faults on the way. */
export const loadDeployment = async (
  deployment: LocalDeployment,
  { durationMs, ...rates }: ProofLoad,
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

/** A fault of a load run. */
export const at = (
  atMs: number,
  name: string,
  run: () => Promise<void> | void,
): ScheduledFault => ({ kind: 'callback', atMs, name, run });

/** Fails when the run shows a doubled or lost order, a false not-run or a wrong answer. */
export const expectCorrect = ({ orderAudit, total }: LoadResult): void => {
  expect(orderAudit.audited, 'backend report read').to.equal(true);
  expect(orderAudit.findings, 'findings of the order audit').to.deep.equal([]);
  for (const kind of [total.lookups, total.orders]) {
    expect(kind.wrongAnswers, 'wrong answers').to.equal(0);
    expect(kind.incompleteAnswers, 'incomplete answers').to.equal(0);
  }
  expect(total.orders.served, 'served orders').to.be.greaterThan(0);
};

/** Makes instances warm and lets the entry daemons find that out under load. */
export const warmUp = async (deployment: LocalDeployment): Promise<void> => {
  await deployment.changeBackend({ kind: 'warm' });
  await loadDeployment(
    deployment,
    { lookupsPerSecond: 300, ordersPerSecond: 0, durationMs: 3_000 },
    [],
    { settleMs: 0 },
  );
};

/** Freezes an entry daemon for a duration in milliseconds. */
export const freezeEntry = async (
  deployment: LocalDeployment,
  vmId: string,
  durationMs: number,
): Promise<void> => {
  deployment.process(vmId).signal('SIGSTOP');
  await sleep(durationMs);
  deployment.process(vmId).signal('SIGCONT');
};

/** Kills an entry daemon and starts it again after a pause in milliseconds. */
export const replaceEntry = async (
  deployment: LocalDeployment,
  vmId: string,
  pauseMs: number,
): Promise<void> => {
  deployment.process(vmId).signal('SIGKILL');
  await deployment.process(vmId).ended;
  await sleep(pauseMs);
  await deployment.startEntry(vmId);
};

/** Sends lookups to one entry daemon, for example to a frozen one that reads them later. */
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
