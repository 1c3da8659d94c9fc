import { formatEndpoint, sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { formatConfiguration, waitUntil } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import { EFFECT_LIMIT_MS, createTestShape, withDeployment } from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const SAMPLE_INTERVAL_MS = 100;

// Daemons append a state snapshot at least every quarter of the retention time.
const LOG_RETENTION_MS = 10_000;

const RETAINED_RECORDS = 40;

const CONCURRENT_APPLIES = 5;

const RACE_ROUNDS = 3;

interface ServiceStatus {
  readonly services: readonly { readonly service: string }[];
}

/** Configuration text with a second service named `marker`, which identifies the text. */
const createMarkedText = (deployment: LocalDeployment, marker: string): string =>
  `${formatConfiguration(deployment.shape, deployment.instances)}\n[service ${marker}]\ncold_slots = 1\n`;

/** Polls the version in force at each entry daemon and records every decrease. */
class VersionMonitor {
  readonly decreases: string[] = [];

  sampleCount = 0;

  private readonly highestVersions = new Map<string, number>();

  private isStopped = false;

  private readonly ended: Promise<void>;

  private constructor(private readonly deployment: LocalDeployment) {
    this.ended = this.sampleUntilStopped();
  }

  static start(deployment: LocalDeployment): VersionMonitor {
    return new VersionMonitor(deployment);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.ended;
  }

  private async sampleUntilStopped(): Promise<void> {
    while (!this.isStopped) {
      const { entries } = this.deployment;
      await Promise.all(entries.map(({ vmId }) => this.sampleVersion(vmId).catch(() => undefined)));
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  private async sampleVersion(vmId: string): Promise<void> {
    const before = this.highestVersions.get(vmId) ?? 0;
    const { isReady, configurationVersion } = await this.deployment.status(vmId);
    // A daemon that has just started has no version in force until it is ready.
    if (!isReady) return;
    this.sampleCount += 1;
    if (configurationVersion < before)
      this.decreases.push(`${vmId} ${before} ${configurationVersion}`);
    this.highestVersions.set(vmId, Math.max(before, configurationVersion));
  }
}

const waitUntilInForce = async (
  deployment: LocalDeployment,
  version: number,
  isAccepted: (marker: string) => boolean,
): Promise<string> => {
  let marker = '';
  await waitUntil(`version ${version} everywhere`, EFFECT_LIMIT_MS, async () => {
    const seen = await Promise.all(
      deployment.entries.map(async ({ vmId }) => {
        const status = await deployment.status(vmId);
        const { services } = status as unknown as ServiceStatus;
        const markers = services.map(({ service }) => service).filter((name) => name !== 'coats');
        return `${status.configurationVersion} ${markers.join()}`;
      }),
    );
    marker = seen[0]!.split(' ')[1]!;
    return new Set(seen).size === 1 && seen[0] === `${version} ${marker}` && isAccepted(marker);
  });
  return marker;
};

/**
 * Reads the marker of the first configuration in the log that is based on the given version; this
 * configuration must take effect.
 */
const readWinner = async (deployment: LocalDeployment, basedOn: number): Promise<string> => {
  const response = await fetch(`http://${formatEndpoint(deployment.standins.log)}/v1/records`);
  const { records } = (await response.json()) as { records: readonly { payload: string }[] };
  const winner = records
    .map(({ payload }) => JSON.parse(payload) as Record<string, string | number>)
    .find(
      ({ kind, basedOnVersion }) => kind === 'configuration-applied' && basedOnVersion === basedOn,
    );
  return /\[service (m-[^\]]+)\]/.exec(String(winner?.text))?.[1] ?? '';
};

/** Concurrently applies several texts based on one version; the first in the log must win. */
const applyConcurrently = async (deployment: LocalDeployment, round: number): Promise<void> => {
  const version = 1 + round;
  const applies = Array.from({ length: CONCURRENT_APPLIES }, (_, index) =>
    deployment.apply(createMarkedText(deployment, `m-${round}-${index}`), version),
  );
  await Promise.all(applies);
  const winner = await readWinner(deployment, version);
  await waitUntilInForce(deployment, version + 1, (marker) => marker === winner);
};

describe('configuration-order', () => {
  // Guards against two configurations that both take effect for the same base version, and
  // against state that is lost when its log records expire.
  processTest(
    'never reverts a configuration during races, lost responses, restarts or log expiry',
    () =>
      withDeployment(
        createTestShape(),
        async (deployment) => {
          const monitor = VersionMonitor.start(deployment);
          for (let round = 0; round < RACE_ROUNDS; round++)
            await applyConcurrently(deployment, round);
          let version = 1 + RACE_ROUNDS;

          await deployment.changeLogBehavior({ kind: 'lose-append-responses', count: 1 });
          const lost = await deployment
            .apply(createMarkedText(deployment, 'm-lost'), version)
            .catch(() => 'lost');
          expect(lost, 'result of the apply whose response is lost').to.equal('lost');
          version += 1;
          await waitUntilInForce(deployment, version, (marker) => marker === 'm-lost');
          // These configurations have no effect, because they are based on an old version; they only
          // fill the log.
          await deployment.changeLogBehavior({ kind: 'retention', maxRecords: RETAINED_RECORDS });
          for (let index = 0; index < RETAINED_RECORDS + 5; index++) {
            await deployment.apply(createMarkedText(deployment, `m-stale-${index}`), 1);
            await sleep(100);
          }
          expect(
            (await deployment.fetchLogReport()).firstOffset,
            'first retained offset, after the original records',
          ).to.be.greaterThan((CONCURRENT_APPLIES + 1) * RACE_ROUNDS + 2);

          for (const { vmId } of deployment.entries) {
            deployment.getProcess(vmId).signal('SIGKILL');
            await deployment.getProcess(vmId).ended;
            await deployment.startEntry(vmId);
            await deployment.waitUntilReady([vmId]);
          }
          await waitUntilInForce(deployment, version, (marker) => marker === 'm-lost');

          await Promise.all(
            deployment.entries.map(async ({ vmId }) => {
              deployment.getProcess(vmId).signal('SIGKILL');
              await deployment.getProcess(vmId).ended;
            }),
          );
          await Promise.all(deployment.entries.map(({ vmId }) => deployment.startEntry(vmId)));
          await deployment.waitUntilReady();
          await waitUntilInForce(deployment, version, (marker) => marker === 'm-lost');

          await deployment.changeLogBehavior({ kind: 'restart', endOffset: 3 });
          await waitUntilInForce(deployment, version, (marker) => marker === 'm-lost');
          await sleep(LOG_RETENTION_MS / 4);
          await deployment.apply(createMarkedText(deployment, 'm-last'), version);
          version += 1;
          await waitUntilInForce(deployment, version, (marker) => marker === 'm-last');
          await monitor.stop();
          expect(monitor.decreases, 'decreases of the version in force').to.deep.equal([]);
          expect(monitor.sampleCount).to.be.greaterThan(100);
        },
        { logRetentionMs: LOG_RETENTION_MS },
      ),
  );
});
