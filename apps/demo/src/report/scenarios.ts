import { formatEndpoint } from '@bronzelift/common';
import { FLOOD_RAMP_MS, createFloodProfile } from '@bronzelift/load-tool';
import type { ScheduledFault } from '@bronzelift/load-tool';
import type { BackendBehavior } from '@bronzelift/standins';

import { FAULT_DURATION_MS, FLOOD_DURATION_MS, RESTART_DOWN_MS } from './constants.js';
import type { ReportSystem } from './reportSystem.js';
import type { Scenario } from './types.js';

const SLOW_FACTOR = 10;
const RESTARTED_INSTANCE_STRIDE = 3;

const createBackendFault = (
  system: ReportSystem,
  atMs: number,
  behavior: BackendBehavior,
): ScheduledFault => ({
  kind: 'behavior',
  atMs,
  url: `http://${formatEndpoint(system.deployment.standins.backend)}`,
  behavior,
});

const createSlowFaults = (system: ReportSystem, atMs: number): ScheduledFault[] => {
  const target = { instanceId: system.deployment.instances[0]!.instanceId };
  return [
    createBackendFault(system, atMs, { kind: 'slow', target, factor: SLOW_FACTOR }),
    createBackendFault(system, atMs + FAULT_DURATION_MS, { kind: 'slow', target, factor: 1 }),
  ];
};

const createRestartFaults = (system: ReportSystem, atMs: number): ScheduledFault[] =>
  system.deployment.instances
    .filter((_, index) => index % RESTARTED_INSTANCE_STRIDE === 0)
    .map(({ instanceId }) =>
      createBackendFault(system, atMs, {
        kind: 'restart',
        target: { instanceId },
        downMs: RESTART_DOWN_MS,
      }),
    );

/**
 * Takes a failure domain out of service by an operator's record on the log. Baselines don't read
 * the log, so with them the instances of the domain drain instead.
 */
const createDomainFaults = (system: ReportSystem, atMs: number): ScheduledFault[] => {
  const failureDomainId = system.deployment.shape.failureDomainIds[0]!;
  const backAtMs = atMs + FAULT_DURATION_MS;
  if (system.policy !== 'bronzelift') {
    const target = { failureDomainId };
    return [
      createBackendFault(system, atMs, { kind: 'drain', target }),
      createBackendFault(system, backAtMs, { kind: 'undrain', target }),
    ];
  }
  const append = (kind: string): Promise<void> =>
    system.deployment.appendRecord({ kind, target: `domain:${failureDomainId}` });
  return [
    { kind: 'callback', atMs, name: 'take out', run: () => append('target-taken-out') },
    {
      kind: 'callback',
      atMs: backAtMs,
      name: 'bring back',
      run: () => append('target-brought-back'),
    },
  ];
};

const createKillFault = (system: ReportSystem, atMs: number): ScheduledFault[] => [
  {
    kind: 'signal',
    atMs,
    pid: system.entryPid(system.deployment.entries[0]!.vmId),
    signal: 'SIGKILL',
  },
];

const createLogFault = (system: ReportSystem, atMs: number): ScheduledFault[] => [
  {
    kind: 'callback',
    atMs,
    name: 'log outage',
    run: () => system.deployment.changeLogBehavior({ kind: 'outage', mode: 'hang' }),
  },
];

/** The scenarios of the report, in the order of the table. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'steady', description: '50% of capacity', share: 0.5 },
  {
    name: 'flood',
    description: '5% of capacity; rises to 100% within a second, stays for 4 s and falls back',
    share: 0.05,
    profile: (atMs) => createFloodProfile(atMs, FLOOD_RAMP_MS + FLOOD_DURATION_MS),
  },
  {
    name: 'slow',
    description: '50% of capacity; one instance ten times slower for 5 s',
    share: 0.5,
    faults: createSlowFaults,
  },
  {
    name: 'restart',
    description: '60% of capacity; a third of the instances restarts cold',
    share: 0.6,
    faults: createRestartFaults,
  },
  {
    name: 'domain',
    description: '50% of capacity; a failure domain is taken out for 5 s',
    share: 0.5,
    faults: createDomainFaults,
  },
  {
    name: 'kill',
    description: '50% of capacity; one entry VM is killed',
    share: 0.5,
    faults: createKillFault,
  },
  {
    name: 'log-down',
    description: '50% of capacity; the log stops responding',
    share: 0.5,
    policies: ['bronzelift'],
    faults: createLogFault,
  },
];
