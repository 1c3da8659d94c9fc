import type { Clock } from '@bronzelift/common';
import { SeededRandom, SystemClock, sleep } from '@bronzelift/common';

import { generateArrivals } from './arrivals.js';
import { Caller } from './caller.js';
import { LOAD_DEFAULTS } from './constants.js';
import { applyFaults } from './faults.js';
import { auditOrders, sumBackendOverhead } from './orderAudit.js';
import type { OrderRecord } from './orderAudit.js';
import { ServiceRecorder } from './recorder.js';
import type { RequestTrace } from './requestTrace.js';
import { readBackendReport } from './standinClient.js';
import type { LoadOptions, LoadResult } from './types.js';
import { sleepUntil } from './utils.js';

const BASE_36 = 36;
const TOTAL_NAME = 'total';

/** Collects finished requests per service and the records for the order audit. */
class ResultCollector {
  readonly orders: OrderRecord[] = [];

  private readonly total: ServiceRecorder;

  private readonly services: ReadonlyMap<string, ServiceRecorder>;

  constructor(private readonly options: LoadOptions) {
    const { services, durationMs } = options;
    const create = (name: string) => ServiceRecorder.create(name, durationMs);
    this.total = create(TOTAL_NAME);
    this.services = new Map(services.map(({ service }) => [service, create(service)]));
  }

  add(trace: RequestTrace): void {
    const { callerPart, keys, verdict, arrival } = trace;
    if (trace.isOrder) this.orders.push({ callerPart, keys, verdict });
    if (arrival.atMs < (this.options.warmupMs ?? 0)) return;
    this.services.get(arrival.service.service)?.record(trace);
    this.total.record(trace);
  }

  results(): Pick<LoadResult, 'services' | 'total'> {
    const services = [...this.services.values()].map((recorder) => recorder.result());
    return { services, total: this.total.result() };
  }
}

const createCallers = (options: LoadOptions, clock: Clock, startedAtMs: number): Caller[] => {
  const runId = `${options.seed}-${Math.trunc(startedAtMs).toString(BASE_36)}`;
  return Array.from({ length: options.callers ?? LOAD_DEFAULTS.callers }, (_, index) =>
    Caller.create({
      entryEndpoints: options.entryEndpoints,
      runId,
      unknownRepeats: options.unknownRepeats ?? LOAD_DEFAULTS.unknownRepeats,
      clock,
      random: SeededRandom.create(options.seed + index + 1),
    }),
  );
};

/** Sends each request when it is due, without waiting for responses; returns the largest send lag. */
const sendAll = async (
  options: LoadOptions,
  callers: readonly Caller[],
  clock: Clock,
  startMs: number,
  collector: ResultCollector,
): Promise<number> => {
  const { services, profile = [], durationMs, seed } = options;
  const pending: Promise<void>[] = [];
  let maxLagMs = 0;
  for (const arrival of generateArrivals(
    services,
    profile,
    durationMs,
    SeededRandom.create(seed),
  )) {
    const dueMs = startMs + arrival.atMs;
    await sleepUntil(clock, dueMs);
    maxLagMs = Math.max(maxLagMs, clock.monotonicMs() - dueMs);
    const caller = callers[arrival.index % callers.length]!;
    pending.push(caller.perform(arrival, dueMs).then((trace) => collector.add(trace)));
  }
  await sleepUntil(clock, startMs + durationMs);
  await Promise.all(pending);
  return maxLagMs;
};

/**
 * Runs a load against the system and summarizes the results. Rejects when a report of a backend
 * stand-in cannot be read; failed requests never reject but are counted in the result.
 */
export const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const clock = SystemClock.create();
  const startMs = clock.monotonicMs();
  const startedAtMs = clock.wallMs();
  const callers = createCallers(options, clock, startedAtMs);
  const collector = new ResultCollector(options);
  const faults = applyFaults(options.faults ?? [], clock, startMs);
  const maxSendLagMs = await sendAll(options, callers, clock, startMs, collector);
  const faultResults = await faults;
  callers.forEach((caller) => caller.close());
  await sleep(options.settleMs ?? LOAD_DEFAULTS.settleMs);
  const reports = await Promise.all((options.backendStandinUrls ?? []).map(readBackendReport));
  return {
    name: options.name ?? 'load',
    seed: options.seed,
    startedAtMs,
    durationMs: options.durationMs,
    ...collector.results(),
    orderAudit: auditOrders(collector.orders, reports),
    measuringCost: sumBackendOverhead(reports),
    faults: faultResults,
    maxSendLagMs,
  };
};
