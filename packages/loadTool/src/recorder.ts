import { ORDER_WEIGHT } from './constants.js';
import { KindRecorder } from './kindRecorder.js';
import type { RequestTrace } from './requestTrace.js';
import type { KindResult, SecondResult, ServiceResult } from './types.js';

const MS_PER_SECOND = 1000;
const P99 = 0.99;

interface SecondCounts {
  offered: number;
  served: number;
  refused: number;
  unknown: number;
  failed: number;
  readonly latenciesMs: number[];
}

const summarizeSecond = (second: number, counts: SecondCounts): SecondResult => {
  const { offered, served, refused, unknown, failed } = counts;
  const sorted = [...counts.latenciesMs].sort((left, right) => left - right);
  const p99Ms = sorted[Math.max(0, Math.ceil(sorted.length * P99) - 1)] ?? 0;
  return { second, offered, served, refused, unknown, failed, p99Ms };
};

/** Calculates the share of requests served, with orders counted double; 1 if none were offered. */
export const calculateScore = (lookups: KindResult, orders: KindResult): number => {
  const offered = lookups.offered + ORDER_WEIGHT * orders.offered;
  return offered === 0 ? 1 : (lookups.served + ORDER_WEIGHT * orders.served) / offered;
};

/** Accumulates the results of one service, or the total of all services. */
export class ServiceRecorder {
  private readonly lookups = KindRecorder.create();

  private readonly orders = KindRecorder.create();

  private readonly seconds: SecondCounts[];

  private constructor(
    private readonly service: string,
    durationMs: number,
  ) {
    this.seconds = Array.from({ length: Math.ceil(durationMs / MS_PER_SECOND) }, () => ({
      offered: 0,
      served: 0,
      refused: 0,
      unknown: 0,
      failed: 0,
      latenciesMs: [],
    }));
  }

  /** Creates an empty recorder with one set of counts for each second of `durationMs`. */
  static create(service: string, durationMs: number): ServiceRecorder {
    return new ServiceRecorder(service, durationMs);
  }

  /** Records a finished request under the second of its intended send time. */
  record(trace: RequestTrace): void {
    (trace.isOrder ? this.orders : this.lookups).record(trace);
    const second = this.seconds[Math.floor(trace.arrival.atMs / MS_PER_SECOND)];
    if (!second) return;
    second.offered += 1;
    second[trace.verdict] += 1;
    if (trace.verdict === 'served') second.latenciesMs.push(trace.latencyMs);
  }

  /** Summarizes the requests recorded so far. */
  result(): ServiceResult {
    const lookups = this.lookups.result();
    const orders = this.orders.result();
    return {
      service: this.service,
      lookups,
      orders,
      seconds: this.seconds.map((counts, second) => summarizeSecond(second, counts)),
      score: calculateScore(lookups, orders),
    };
  }
}
