import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatEndpoint } from '@bronzelift/common';
import { LocalDeployment } from '@bronzelift/local-deployment';
import { runLoad } from '@bronzelift/load-tool';
import type { LoadResult } from '@bronzelift/load-tool';

import type { DemoCase } from './demoLoads.js';

/** Options of the demonstration. */
export interface DemoOptions {
  readonly seed: number;
  readonly durationMs: number;
}

/** A deployment that has been started, and what the load showed. */
export interface DemoRun {
  readonly deployment: LocalDeployment;
  readonly result: LoadResult;
  /** Invariant violations that the entry daemons counted. */
  readonly violations: number;
}

/** Starts a deployment on loopback. */
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

/** Sends load to a running deployment. */
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
