import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatEndpoint } from '@bronzelift/common';
import { LocalDeployment } from '@bronzelift/local-deployment';
import { runLoad } from '@bronzelift/load-tool';
import type { LoadResult } from '@bronzelift/load-tool';

import type { DemoCase } from './demoLoads.js';

/** Seed and duration of the load in a demo. */
export interface DemoOptions {
  readonly seed: number;
  readonly durationMs: number;
}

/** A started deployment and the result of the load sent to it. */
export interface DemoRun {
  readonly deployment: LocalDeployment;
  readonly result: LoadResult;
  /** Number of invariant violations, summed over the entry daemons. */
  readonly violations: number;
}

/** Starts a deployment on loopback; stops its processes again if the start fails. */
export const startDeployment = async (
  demoCase: DemoCase,
  seed: number,
): Promise<LocalDeployment> => {
  const directory = await mkdtemp(join(tmpdir(), `bronzelift-${demoCase.shape.name}-`));
  const deployment = await LocalDeployment.create(demoCase.shape, { directory, seed });
  try {
    await deployment.start();
  } catch (error) {
    await deployment.stop();
    throw error;
  }
  return deployment;
};

const countViolations = async (deployment: LocalDeployment): Promise<number> => {
  const statuses = await Promise.all(deployment.entries.map(({ vmId }) => deployment.status(vmId)));
  return statuses
    .flatMap(({ violations }) => Object.values(violations))
    .reduce((sum, count) => sum + count, 0);
};

/** Sends the load of a demo case to its running deployment and audits the result. */
export const runDemoCase = async (
  demoCase: DemoCase,
  deployment: LocalDeployment,
  options: DemoOptions,
): Promise<DemoRun> => {
  const result = await runLoad({
    name: demoCase.shape.name,
    seed: options.seed,
    entryEndpoints: deployment.entries.map(({ caller }) => caller),
    services: demoCase.services,
    durationMs: options.durationMs,
    backendStandinUrls: [`http://${formatEndpoint(deployment.standins.backend)}`],
  });
  return { deployment, result, violations: await countViolations(deployment) };
};
