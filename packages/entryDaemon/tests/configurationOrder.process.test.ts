import { formatEndpoint, sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { formatConfiguration, waitUntil } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import { EFFECT_LIMIT_MS, smallShape, withDeployment } from './support/proofDeployment.js';
import { proofTest } from './support/proofTest.js';

const LOOK_INTERVAL_MS = 100;

// Snapshots follow each other within a quarter of this.
const LOG_RETENTION_MS = 10_000;

const RETAINED_RECORDS = 40;

const RACERS = 5;

const ROUNDS = 3;

interface ServiceStatus {
  readonly services: readonly { readonly service: string }[];
}

/** A text that can be told apart from others by its second service. */
const markedText = (deployment: LocalDeployment, marker: string): string =>
  `${formatConfiguration(deployment.shape, deployment.instances)}\n[service ${marker}]\ncold_slots = 1\n`;

/** Looks at the versions in force all the time and notes every fall. */
class VersionWatch {
  readonly falls: string[] = [];

  looks = 0;

  private readonly highest = new Map<string, number>();

  private isStopped = false;

  private readonly ended: Promise<void>;

  private constructor(private readonly deployment: LocalDeployment) {
    this.ended = this.watch();
  }

  static start(deployment: LocalDeployment): VersionWatch {
    return new VersionWatch(deployment);
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.ended;
  }

  private async watch(): Promise<void> {
    while (!this.isStopped) {
      const { entries } = this.deployment;
      await Promise.all(entries.map(({ vmId }) => this.look(vmId).catch(() => undefined)));
      await sleep(LOOK_INTERVAL_MS);
    }
  }

  private async look(vmId: string): Promise<void> {
    const before = this.highest.get(vmId) ?? 0;
    const { isReady, configurationVersion } = await this.deployment.status(vmId);
    // A daemon that has just started has no version in force until it serves.
    if (!isReady) return;
    this.looks += 1;
    if (configurationVersion < before) this.falls.push(`${vmId} ${before} ${configurationVersion}`);
    this.highest.set(vmId, Math.max(before, configurationVersion));
  }
}

const expectInForce = async (
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

/** Marker of the first record that was based on a version: the one that must win. */
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

/** Applies several texts at once on the same version; the first on the log must win. */
const race = async (deployment: LocalDeployment, round: number): Promise<void> => {
  const version = 1 + round;
  const racers = Array.from({ length: RACERS }, (_, index) =>
    deployment.apply(markedText(deployment, `m-${round}-${index}`), version),
  );
  await Promise.all(racers);
  const winner = await readWinner(deployment, version);
  await expectInForce(deployment, version + 1, (marker) => marker === winner);
};

describe('configuration-order', () => {
  // Guards against two winners of a race, and against state that is lost with its log records.
  proofTest(
    'holds through races, lost answers, restarts, retention and a log that starts again',
    () =>
      withDeployment(
        smallShape(),
        async (deployment) => {
          const watch = VersionWatch.start(deployment);
          for (let round = 0; round < ROUNDS; round++) await race(deployment, round);
          let version = 1 + ROUNDS;

          await deployment.changeLog({ kind: 'lose-append-responses', count: 1 });
          const lost = await deployment
            .apply(markedText(deployment, 'm-lost'), version)
            .catch(() => 'lost');
          expect(lost, 'the answer of the append').to.equal('lost');
          version += 1;
          await expectInForce(deployment, version, (marker) => marker === 'm-lost');
          // Without an effect, because they are based on an old version.
          await deployment.changeLog({ kind: 'retention', maxRecords: RETAINED_RECORDS });
          for (let index = 0; index < RETAINED_RECORDS + 5; index++) {
            await deployment.apply(markedText(deployment, `m-stale-${index}`), 1);
            await sleep(100);
          }
          expect((await deployment.logReport()).firstOffset, 'originals expired').to.be.greaterThan(
            (RACERS + 1) * ROUNDS + 2,
          );

          for (const { vmId } of deployment.entries) {
            deployment.process(vmId).signal('SIGKILL');
            await deployment.process(vmId).ended;
            await deployment.startEntry(vmId);
            await deployment.waitUntilReady([vmId]);
          }
          await expectInForce(deployment, version, (marker) => marker === 'm-lost');

          await Promise.all(
            deployment.entries.map(async ({ vmId }) => {
              deployment.process(vmId).signal('SIGKILL');
              await deployment.process(vmId).ended;
            }),
          );
          await Promise.all(deployment.entries.map(({ vmId }) => deployment.startEntry(vmId)));
          await deployment.waitUntilReady();
          await expectInForce(deployment, version, (marker) => marker === 'm-lost');

          await deployment.changeLog({ kind: 'restart', endOffset: 3 });
          await expectInForce(deployment, version, (marker) => marker === 'm-lost');
          await sleep(LOG_RETENTION_MS / 4);
          await deployment.apply(markedText(deployment, 'm-last'), version);
          version += 1;
          await expectInForce(deployment, version, (marker) => marker === 'm-last');
          await watch.stop();
          expect(watch.falls, 'falls of the version in force').to.deep.equal([]);
          expect(watch.looks).to.be.greaterThan(100);
        },
        { logRetentionMs: LOG_RETENTION_MS },
      ),
  );
});
