import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { formatEndpoint } from '@bronzelift/common';
import {
  LocalDeployment,
  LocalProcess,
  START_TIMEOUT_MS,
  fetchJson,
  waitUntil,
} from '@bronzelift/local-deployment';

import type { PolicyName, RunOptions } from './types.js';

const MAX_START_ATTEMPTS = 3;

/** Runs bronzelift or a baseline in front of a set of stand-ins. */
export class ReportSystem {
  private readonly baselines = new Map<string, LocalProcess>();

  private constructor(
    readonly policy: PolicyName,
    readonly deployment: LocalDeployment,
    private readonly directory: string,
  ) {}

  /** Starts all processes of a system and makes all backend instances warm. */
  static async start(options: RunOptions): Promise<ReportSystem> {
    // Another process may have occupied a port after it was found free; a retry uses other ports.
    for (let attempts = 1; ; attempts++) {
      try {
        return await ReportSystem.tryStart(options);
      } catch (error) {
        if (attempts >= MAX_START_ATTEMPTS) throw error;
      }
    }
  }

  private static async tryStart({ shape, policy, seed }: RunOptions): Promise<ReportSystem> {
    const directory = await mkdtemp(join(tmpdir(), `bronzelift-report-${policy}-`));
    const deployment = await LocalDeployment.create(shape, { directory, seed });
    const system = new ReportSystem(policy, deployment, directory);
    try {
      if (policy === 'bronzelift') await deployment.start();
      else await system.startBaselines(policy, seed);
      await deployment.changeBackendBehavior({ kind: 'warm' });
    } catch (error) {
      await system.stop();
      throw error;
    }
    return system;
  }

  /** Process id of the entry daemon or baseline process of an entry VM. */
  entryPid(vmId: string): number {
    return (this.baselines.get(vmId) ?? this.deployment.getProcess(vmId)).pid;
  }

  /** Sums the invariant violations over the entry daemons that still respond. */
  async countViolations(): Promise<number> {
    if (this.policy !== 'bronzelift') return 0;
    const counts = await Promise.all(
      this.deployment.entries.map(async ({ vmId }) => {
        const status = await this.deployment.status(vmId).catch(() => undefined);
        return Object.values(status?.violations ?? {}).reduce((sum, count) => sum + count, 0);
      }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Stops all processes and deletes their directory. */
  async stop(): Promise<void> {
    await Promise.all([...this.baselines.values()].map((baseline) => baseline.stop()));
    await this.deployment.stop();
    await rm(this.directory, { recursive: true, force: true });
  }

  private async startBaselines(policy: PolicyName, seed: number): Promise<void> {
    const { deployment, directory } = this;
    await deployment.startStandins();
    const path = join(directory, 'baseline-instances.json');
    const instances = deployment.instances.map(({ service, endpoint, shape }) => ({
      service,
      address: formatEndpoint(endpoint),
      slots: shape.slots,
    }));
    await writeFile(path, JSON.stringify(instances));
    const peers = deployment.entries.flatMap(({ vmId, failureDomainId, caller }) => [
      '--peer',
      `${vmId},${failureDomainId},${formatEndpoint(caller)}`,
    ]);
    deployment.entries.forEach(({ vmId, caller }, index) => {
      const processArgs = ['--port', String(caller.port), '--seed', String(seed * 1_000 + index)];
      const args = [...processArgs, '--policy', policy, '--instances', path, ...peers];
      const output = join(directory, `${vmId}.log`);
      this.baselines.set(
        vmId,
        LocalProcess.create('baseline-entry', 'bronzelift-baseline-entry', args, output),
      );
    });
    const [firstInstance] = deployment.instances;
    await Promise.all(
      deployment.entries.map(({ vmId, caller }) =>
        waitUntil(`wait for ${vmId}`, START_TIMEOUT_MS, async () => {
          const query = `addresses?service=${firstInstance!.service}`;
          await fetchJson(`http://${formatEndpoint(caller)}/bronzelift/v1/${query}`);
          return true;
        }),
      ),
    );
  }
}
