import type { BackendReport, RunRecord } from '@bronzelift/standins';

import { MAX_FINDINGS, TICKET_SEPARATOR } from './constants.js';
import type { KeyOutcome, Verdict } from './requestTrace.js';
import type {
  BackendReports,
  LoadResult,
  BackendOverhead,
  OrderAudit,
  OrderFinding,
} from './types.js';

/** Idempotency keys that a caller used for one order, and the outcomes that it observed. */
export interface OrderRecord {
  /** Part of the keys that the caller generated; the same under every ticket. */
  readonly callerPart: string;
  readonly keys: ReadonlyMap<string, KeyOutcome>;
  readonly verdict: Verdict;
}

const describeRuns = (runs: readonly RunRecord[]): string =>
  runs.map(({ instanceId, startedAtMs }) => `${instanceId} at ${startedAtMs}`).join(', ');

const parseCallerPart = (key: string): string => key.slice(key.lastIndexOf(TICKET_SEPARATOR) + 1);

const collectRuns = (reports: BackendReports): Map<string, RunRecord[]> => {
  const runs = new Map<string, RunRecord[]>();
  reports.forEach((report) =>
    Object.entries(report.runs).forEach(([key, started]) => {
      runs.set(key, [...(runs.get(key) ?? []), ...started]);
    }),
  );
  return runs;
};

const groupByOrder = (runs: ReadonlyMap<string, RunRecord[]>): Map<string, RunRecord[]> => {
  const groups = new Map<string, RunRecord[]>();
  runs.forEach((started, key) => {
    const callerPart = parseCallerPart(key);
    groups.set(callerPart, [...(groups.get(callerPart) ?? []), ...started]);
  });
  return groups;
};

/**
 * Finds orders that were doubled, lost or run despite outcome not-run, by comparing the orders with
 * the runs that the backend stand-ins recorded.
 */
export const auditOrders = (
  orders: readonly OrderRecord[],
  reports: BackendReports,
): OrderAudit => {
  const runsByKey = collectRuns(reports);
  const runsByOrder = groupByOrder(runsByKey);
  const findings = orders.flatMap(({ callerPart, keys, verdict }): OrderFinding[] => {
    const runs = runsByOrder.get(callerPart) ?? [];
    const all = [...keys.keys()];
    const found: OrderFinding[] = [];
    if (runs.length > 1) {
      found.push({ finding: 'doubled', keys: all, detail: describeRuns(runs) });
    }
    if (verdict === 'served' && runs.length === 0) {
      found.push({ finding: 'lost', keys: all, detail: 'got a 2xx response but never ran' });
    }
    keys.forEach((outcome, key) => {
      const keyRuns = runsByKey.get(key) ?? [];
      if (outcome !== 'not-run' || keyRuns.length === 0) return;
      found.push({ finding: 'run-after-not-run', keys: [key], detail: describeRuns(keyRuns) });
    });
    return found;
  });
  const count = (name: OrderFinding['finding']): number =>
    findings.filter(({ finding }) => finding === name).length;
  return {
    audited: reports.length > 0,
    doubled: reports.length > 0 ? count('doubled') : 0,
    lost: reports.length > 0 ? count('lost') : 0,
    runAfterNotRun: reports.length > 0 ? count('run-after-not-run') : 0,
    findings: reports.length > 0 ? findings.slice(0, MAX_FINDINGS) : [],
  };
};

/**
 * Whether the result counts 0 doubled orders, 0 lost orders, 0 orders that ran despite outcome
 * not-run, and 0 wrong responses.
 */
export const isCorrect = ({ orderAudit, total }: LoadResult): boolean =>
  orderAudit.doubled + orderAudit.lost + orderAudit.runAfterNotRun === 0 &&
  total.lookups.wrongAnswers + total.orders.wrongAnswers === 0;

/**
 * Sums the backend time for probes and connections, and the cold overloads, over the instances of
 * all reports.
 */
export const sumBackendOverhead = (reports: BackendReports): BackendOverhead | undefined => {
  if (reports.length === 0) return undefined;
  const instances = reports.flatMap((report: BackendReport) => report.instances);
  const sum = (value: (instance: (typeof instances)[number]) => number): number =>
    instances.reduce((total, instance) => total + value(instance), 0);
  return {
    probeMs: sum(({ probeMs }) => probeMs),
    connectionMs: sum(({ connectionMs }) => connectionMs),
    coldOverloads: sum(({ coldOverloads }) => coldOverloads),
    unannouncedColdOverloads: sum(({ unannouncedColdOverloads }) => unannouncedColdOverloads),
  };
};
