import { Agent } from 'node:http';

import type { Result } from 'ts-results';
import { z } from 'zod';

import { formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';
import { exchange } from '@bronzelift/control-log';
import { Err, Ok } from '@bronzelift/settings';

import { STATUS_LIMITS } from './constants.js';

const OK_STATUS = 200;
const MS_PER_S = 1000;

const statusSchema = z.object({
  vmId: z.string(),
  failureDomainId: z.string(),
  phase: z.string(),
  configurationVersion: z.number(),
  /** Time since the version took effect at this entry daemon. */
  configurationAgeMs: z.number(),
  drainRevision: z.number(),
  epoch: z.number(),
  leaseHeld: z.boolean(),
  /** Time since the start of the last read that reached the end of the log; null before it. */
  logAgeMs: z.number().nullable(),
  slotsHeld: z.number(),
  slotsInUse: z.number(),
  /** Backend time spent on probes and new connections, in milliseconds per second. */
  probeSpendingMsPerS: z.number(),
});

/** Response to `GET /status` on the admin port of an entry daemon. */
export type StatusReport = z.output<typeof statusSchema>;

/** Admin endpoint of an entry daemon and its report, or the reason why there is none. */
export interface StatusRow {
  readonly endpoint: Endpoint;
  readonly report: Result<StatusReport, string>;
}

const decodeReport = (body: string): Result<StatusReport, string> => {
  try {
    const parsed = statusSchema.safeParse(JSON.parse(body));
    if (parsed.success) return Ok(parsed.data);
    return Err(
      `unexpected status report, invalid field: ${parsed.error.issues[0]!.path.join('.')}`,
    );
  } catch {
    return Err('unexpected status report: not JSON');
  }
};

const fetchStatus = async (endpoint: Endpoint): Promise<Result<StatusReport, string>> => {
  const agent = new Agent({ keepAlive: false });
  const request = { endpoint, agent, method: 'GET', path: '/status', headers: {} } as const;
  const result = await exchange({ ...request, ...STATUS_LIMITS });
  agent.destroy();
  if (result.kind === 'failed') return Err(result.detail);
  return result.status === OK_STATUS ? decodeReport(result.body) : Err(`status ${result.status}`);
};

/** Requests the status of all entry daemons concurrently. */
export const fetchStatuses = (endpoints: readonly Endpoint[]): Promise<StatusRow[]> =>
  Promise.all(
    endpoints.map(async (endpoint) => ({ endpoint, report: await fetchStatus(endpoint) })),
  );

const formatSeconds = (durationMs: number | null): string =>
  durationMs === null ? '-' : `${(durationMs / MS_PER_S).toFixed(1)}s`;

const HEADING = [
  'ADMIN',
  'VM',
  'DOMAIN',
  'PHASE',
  'VERSION',
  'AGE',
  'DRAIN',
  'EPOCH',
  'LEASE',
  'LOG READ',
  'SLOTS',
  'PROBE MS/S',
];

const createRow = ({ endpoint, report }: StatusRow): string[] => {
  const address = formatEndpoint(endpoint);
  if (report.err) return [address, '-', '-', 'unreachable'];
  const status = report.val;
  return [
    address,
    status.vmId,
    status.failureDomainId,
    status.phase,
    String(status.configurationVersion),
    formatSeconds(status.configurationAgeMs),
    String(status.drainRevision),
    String(status.epoch),
    status.leaseHeld ? 'held' : 'none',
    formatSeconds(status.logAgeMs),
    `${status.slotsInUse}/${status.slotsHeld}`,
    status.probeSpendingMsPerS.toFixed(1),
  ];
};

/** Describes each entry daemon without a report in one line, with the reason. */
export const describeUnreachable = (rows: readonly StatusRow[]): string[] =>
  rows.flatMap(({ endpoint, report }) =>
    report.err ? [`${formatEndpoint(endpoint)} is unreachable: ${report.val}`] : [],
  );

/** Creates a table with one row per entry daemon, headings included. */
export const createStatusTable = (rows: readonly StatusRow[]): string[][] => [
  HEADING,
  ...rows.map(createRow),
];
