import type { Endpoint, ServiceName } from '@bronzelift/common';
import type { BackendReport } from '@bronzelift/standins';

/** Lookups are idempotent, orders are not; orders count double in the score. */
export type RequestKind = 'lookup' | 'order';

/** Load on one service. Rates are those at factor 1 of the rate profile. */
export interface ServiceLoad {
  readonly service: ServiceName;
  readonly lookupsPerSecond: number;
  readonly ordersPerSecond: number;
  /** Time limit of one attempt, sent as `bronzelift-timeout-ms`. */
  readonly timeoutMs?: number;
  /** How long a caller keeps trying, from the intended send time. */
  readonly patienceMs?: number;
  /** Size of the response body, passed to the backend stand-in as `?bytes=`. */
  readonly responseBytes?: number;
}

/** From `atMs` on the rates are multiplied by `factor`, reached linearly within `rampMs`. */
export interface RateStep {
  readonly atMs: number;
  readonly factor: number;
  readonly rampMs?: number;
}

/** Something that happens at a given time of the run. */
export type ScheduledFault =
  | {
      readonly kind: 'behavior';
      readonly atMs: number;
      /** Control endpoint of the stand-in, for example `http://127.0.0.1:4200`. */
      readonly url: string;
      readonly behavior: Readonly<Record<string, unknown>>;
    }
  | {
      readonly kind: 'signal';
      readonly atMs: number;
      readonly pid: number;
      readonly signal: NodeJS.Signals;
    }
  | {
      readonly kind: 'callback';
      readonly atMs: number;
      readonly name: string;
      readonly run: () => Promise<void> | void;
    };

/** Options of a run. */
export interface LoadOptions {
  /** Title used in tables and plots. */
  readonly name?: string;
  readonly seed: number;
  /** Addresses at which callers first ask for the addresses of a service. */
  readonly entryEndpoints: readonly Endpoint[];
  readonly services: readonly ServiceLoad[];
  readonly durationMs: number;
  /** Rate profile; steady at factor 1 when absent. */
  readonly profile?: readonly RateStep[];
  /** Independent callers, each with its own address cache and connections; default 20. */
  readonly callers?: number;
  /** Repeats of an order with the same key after an unknown outcome or no answer; default 3. */
  readonly unknownRepeats?: number;
  readonly faults?: readonly ScheduledFault[];
  /** Control endpoints of backend stand-ins, whose reports are evaluated after the run. */
  readonly backendStandinUrls?: readonly string[];
  /** Wait between the last response and the reading of the reports; default 500. */
  readonly settleMs?: number;
  /** Requests arriving before this time are sent but not measured; default 0. */
  readonly warmupMs?: number;
}

/** Quantiles of a duration in milliseconds, with a resolution of 1 µs. */
export interface Quantiles {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Counts of requests whose intended send time lies in one second. */
export interface SecondResult {
  readonly second: number;
  readonly offered: number;
  readonly served: number;
  readonly refused: number;
  readonly unknown: number;
  readonly failed: number;
  readonly p99Ms: number;
}

/** Final results of the requests of one kind to one service. */
export interface KindResult {
  readonly offered: number;
  /** Answered 2xx with the complete and correct body. */
  readonly served: number;
  /** The last answer was not-run and the patience was over. */
  readonly refused: number;
  /** Refused requests by the `code` of the last answer; `unreachable` without any answer. */
  readonly refusedByCode: Readonly<Record<string, number>>;
  /** The last answer was unknown, or a sent request got no answer. */
  readonly unknown: number;
  readonly unknownByCode: Readonly<Record<string, number>>;
  /** Ran, but answered with a status other than 2xx. */
  readonly failed: number;
  /** Answers 2xx whose body was that of another request or otherwise wrong. */
  readonly wrongAnswers: number;
  /** Answers whose body was shorter than announced. */
  readonly incompleteAnswers: number;
  readonly attempts: number;
  /** From the intended send time to the complete answer, served requests only. */
  readonly latency: Quantiles;
  /** Of the final attempt of served requests, less the service time of the backend server. */
  readonly addedTime: Quantiles;
}

/** Results of one service. */
export interface ServiceResult {
  readonly service: ServiceName;
  readonly lookups: KindResult;
  readonly orders: KindResult;
  readonly seconds: readonly SecondResult[];
  /** Served share with orders counted double, 0 to 1. */
  readonly score: number;
}

/** An order that broke a promise, with its idempotency keys. */
export interface OrderFinding {
  readonly finding: 'doubled' | 'lost' | 'run-after-not-run';
  readonly keys: readonly string[];
  readonly detail: string;
}

/** Evaluation of the orders against the runs that the backend stand-ins counted. */
export interface OrderAudit {
  /** Whether reports were available; without them the counts mean nothing. */
  readonly audited: boolean;
  /** Orders run more than once, over all of their keys. */
  readonly doubled: number;
  /** Orders answered 2xx that never ran. */
  readonly lost: number;
  /** Keys whose last answer was not-run although they ran. */
  readonly runAfterNotRun: number;
  readonly findings: readonly OrderFinding[];
}

/** Backend time spent on measuring load, from the backend stand-ins. */
export interface MeasuringCost {
  readonly probeMs: number;
  readonly connectionMs: number;
  readonly coldOverloads: number;
  readonly unannouncedColdOverloads: number;
}

/** What became of a scheduled fault. */
export interface FaultResult {
  readonly atMs: number;
  readonly description: string;
  readonly appliedAtMs: number;
  readonly error: string | undefined;
}

/** Result of a run. */
export interface LoadResult {
  readonly name: string;
  readonly seed: number;
  /** Unix ms of the start, to compare with stand-in reports. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly services: readonly ServiceResult[];
  /** All services together. */
  readonly total: ServiceResult;
  readonly orderAudit: OrderAudit;
  readonly measuringCost: MeasuringCost | undefined;
  readonly faults: readonly FaultResult[];
  /** Largest delay of the load tool itself in sending a request. */
  readonly maxSendLagMs: number;
}

/** Reports of the backend stand-ins at the end of a run, kept out of the result for size. */
export type BackendReports = readonly BackendReport[];
