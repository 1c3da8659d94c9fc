import { loadavg } from 'node:os';

import { formatEndpoint } from '@bronzelift/common';
import { runLoad } from '@bronzelift/load-tool';
import type { RateStep, ServiceLoad } from '@bronzelift/load-tool';
import type { DeploymentShape } from '@bronzelift/local-deployment';

import {
  FAULT_DELAY_MS,
  MEASUREMENT_START_MS,
  ORDER_SHARE,
  WARMUP_LOAD_DURATION_MS,
  WARMUP_SHARE,
} from './constants.js';
import { ReportSystem } from './reportSystem.js';
import type { ReportRow, RunOptions, Scenario } from './types.js';

const MS_PER_S = 1_000;

/** Calculates the rates that use a given share of the capacity of all slots. */
export const createLoad = (shape: DeploymentShape, share: number): ServiceLoad[] =>
  shape.services.map(({ service, instances, slots, meanServiceMs }, index) => {
    const perSecond = (share * instances * slots * MS_PER_S) / meanServiceMs;
    const orderShare = index === 0 ? ORDER_SHARE : 0;
    const ordersPerSecond = perSecond * orderShare;
    return { service, lookupsPerSecond: perSecond - ordersPerSecond, ordersPerSecond };
  });

const createProfile = (scenario: Scenario, faultAtMs: number): RateStep[] => [
  { atMs: 0, factor: WARMUP_SHARE / scenario.share },
  { atMs: WARMUP_LOAD_DURATION_MS, factor: 1 },
  ...(scenario.profile?.(faultAtMs) ?? []),
];

const measureProbeMsPerS = async ({ deployment }: ReportSystem): Promise<number> => {
  const { atMs, listeningSinceMs, instances } = await deployment.fetchBackendReport();
  const probeMs = instances.reduce((sum, instance) => sum + instance.probeMs, 0);
  return (probeMs * MS_PER_S) / (atMs - listeningSinceMs) / instances.length;
};

/** Runs one scenario with one system, which is started for the run and stopped after it. */
export const runScenario = async (scenario: Scenario, options: RunOptions): Promise<ReportRow> => {
  const { shape, policy, seed, measuredMs } = options;
  const system = await ReportSystem.start(options);
  try {
    const { deployment } = system;
    const faultAtMs = MEASUREMENT_START_MS + FAULT_DELAY_MS;
    const result = await runLoad({
      name: `${scenario.name}, ${policy}`,
      seed,
      entryEndpoints: deployment.entries.map(({ caller }) => caller),
      services: createLoad(shape, scenario.share),
      durationMs: MEASUREMENT_START_MS + measuredMs,
      warmupMs: MEASUREMENT_START_MS,
      profile: createProfile(scenario, faultAtMs),
      faults: scenario.faults?.(system, faultAtMs) ?? [],
      backendStandinUrls: [`http://${formatEndpoint(deployment.standins.backend)}`],
    });
    return {
      scenario: scenario.name,
      policy,
      deployment: shape.name,
      seed,
      hostLoad: loadavg()[0]!,
      probeMsPerS: await measureProbeMsPerS(system),
      violations: await system.countViolations(),
      result,
    };
  } finally {
    await system.stop();
  }
};
