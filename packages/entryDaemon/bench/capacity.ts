// Measures time and memory of configuration and slots by instance count, for docs/CAPACITY.md.
//   node --expose-gc --import tsx packages/entryDaemon/bench/capacity.ts
import { SystemClock, systemRandom } from '@bronzelift/common';
import { parseConfiguration } from '@bronzelift/configuration';
import type { Configuration } from '@bronzelift/configuration';
import { MemberLease } from '@bronzelift/membership';
import { DecisionLog, Invariants, Metrics } from '@bronzelift/observability';

import { createSendGate } from '../src/sendGate.js';
import { SlotDirectory } from '../src/slotDirectory.js';

const INSTANCE_COUNTS = [1_000, 6_000, 18_000] as const;
const DOMAIN_COUNT = 6;
const MEMBER_COUNT = 16;
const INSTANCES_PER_SERVICE = 19;
const SLOTS_PER_INSTANCE = 4;
const BYTES_PER_MB = 1e6;

const formatConfigurationFile = (instances: number): string => {
  const services = Math.ceil(instances / INSTANCES_PER_SERVICE);
  const lines: string[] = [];
  for (let index = 0; index < services; index++) lines.push(`[service s${index}]`);
  for (let index = 0; index < DOMAIN_COUNT; index++) lines.push(`[domain d${index}]`);
  for (let index = 0; index < instances; index++) {
    lines.push(
      `[instance i${index}]`,
      `service = s${index % services}`,
      `failure_domain = d${index % DOMAIN_COUNT}`,
      `vm = vm${index}`,
      `address = 10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:80`,
      `slots = ${SLOTS_PER_INSTANCE}`,
      'connections = 200',
    );
  }
  return lines.join('\n');
};

const member = (index: number) => ({
  vmId: `entry-${index}`,
  incarnation: `a${index}`,
  failureDomainId: `d${index % DOMAIN_COUNT}`,
  callerEndpoint: { host: '127.0.0.1', port: 1_000 + index },
  peerEndpoint: { host: '127.0.0.1', port: 2_000 + index },
});

const measureHeapMb = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_MB;
};

const measureDirectory = (configuration: Configuration): string => {
  const clock = SystemClock.create();
  const log = DecisionLog.create({ clock });
  const metrics = Metrics.create();
  const members = Array.from({ length: MEMBER_COUNT }, (_, index) => member(index));
  const lease = MemberLease.create(clock, members[0]!);
  const beforeMb = measureHeapMb();
  const startedAtMs = performance.now();
  const directory = SlotDirectory.create({
    clock,
    random: systemRandom,
    log,
    invariants: Invariants.create({ clock, log, metrics }),
    ownVmId: members[0]!.vmId,
    ownDomainId: members[0]!.failureDomainId,
    gate: createSendGate(
      () => lease,
      () => true,
    ),
    currentLease: () => lease,
    onCold: () => {},
  });
  directory.applyConfiguration(configuration, () => false);
  const appliedAtMs = performance.now();
  directory.enqueueEpochs([{ epoch: 1, members, configuration }]);
  const assignedAtMs = performance.now();
  directory.adoptPending();
  directory.maintain();
  const tickedAtMs = performance.now();
  const usedMb = measureHeapMb() - beforeMb;
  return [
    `apply ${(appliedAtMs - startedAtMs).toFixed(0)} ms`,
    `assign ${(assignedAtMs - appliedAtMs).toFixed(0)} ms`,
    `tick ${(tickedAtMs - assignedAtMs).toFixed(1)} ms`,
    `heap ${usedMb.toFixed(1)} MB`,
  ].join(', ');
};

for (const size of INSTANCE_COUNTS) {
  const text = formatConfigurationFile(size);
  const startedAtMs = performance.now();
  const parsed = parseConfiguration(text, 'bench');
  const parsedAtMs = performance.now();
  if (parsed.err) throw new Error(JSON.stringify(parsed.val[0]));
  process.stdout.write(
    `${size} instances: file ${(text.length / BYTES_PER_MB).toFixed(2)} MB, parse ${(parsedAtMs - startedAtMs).toFixed(0)} ms, ${measureDirectory(parsed.val)}\n`,
  );
}
