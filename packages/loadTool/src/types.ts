import type { Endpoint, ServiceName } from '@bronzelift/common';
import type { BackendReport } from '@bronzelift/standins';

/** Lookups are idempotent, orders are not. Orders count double in the score. */
export type RequestKind = 'lookup' | 'order';

/** Load on one service. The rates apply at factor 1 of the rate profile. */
export interface ServiceLoad {
  readonly service: ServiceName;
  readonly lookupsPerSecond: number;
  readonly ordersPerSecond: number;
  /** Timeout of one attempt, sent as `bronzelift-timeout-ms`. */
  readonly timeoutMs?: number;
  /** Time, from the intended send time, during which a caller retries the request. */
  readonly patienceMs?: number;
  /** Size of the response body, passed to the backend stand-in as `?bytes=`. */
  readonly responseBytes?: number;
}

/** Multiplies the rates by `factor` from `atMs` on; the factor changes linearly over `rampMs`. */
export interface RateStep {
  readonly atMs: number;
  readonly factor: number;
  readonly rampMs?: number;
}

/** A fault, or another action, that is applied at a given time of the run. */
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

/** Options of a run; also the parsed form of a plan file. */
export interface LoadOptions {
  /** Title in tables and plots. */
  readonly name?: string;
  readonly seed: number;
  /** Endpoints from which callers request the entry VM addresses of a service. */
  readonly entryEndpoints: readonly Endpoint[];
  readonly services: readonly ServiceLoad[];
  readonly durationMs: number;
  /** Rate profile; steady at factor 1 when absent. */
  readonly profile?: readonly RateStep[];
  /** Independent callers, each with its own address cache and connections; default 20. */
  readonly callers?: number;
  /** Retries of an order with the same key after an unknown outcome or no response; default 3. */
  readonly unknownRepeats?: number;
  readonly faults?: readonly ScheduledFault[];
  /** Control endpoints of backend stand-ins; their reports are fetched and audited after the run. */
  readonly backendStandinUrls?: readonly string[];
  /** Pause between the last response and the requests for the reports; default 500. */
  readonly settleMs?: number;
  /** Initial part of the run whose requests are sent but not measured; default 0. */
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

/** Counts of the requests whose intended send time is in this second of the run. */
export interface SecondResult {
  readonly second: number;
  readonly offered: number;
  readonly served: number;
  readonly refused: number;
  readonly unknown: number;
  readonly failed: number;
  readonly p99Ms: number;
}

/** Results of the requests of one kind to one service, counted by their final outcome. */
export interface KindResult {
  readonly offered: number;
  /** 2xx responses with the complete and correct body. */
  readonly served: number;
  /** Requests whose last outcome was not-run when `patienceMs` was over. */
  readonly refused: number;
  /** Refused requests by the `code` of the last response; `unreachable` if there was none. */
  readonly refusedByCode: Readonly<Record<string, number>>;
  /** Requests whose last outcome was unknown, or which were sent and got no response. */
  readonly unknown: number;
  readonly unknownByCode: Readonly<Record<string, number>>;
  /** Requests that ran and got a status other than 2xx. */
  readonly failed: number;
  /** 2xx responses whose body belonged to another request or was damaged. */
  readonly wrongAnswers: number;
  /** Responses whose body was shorter than announced. */
  readonly incompleteAnswers: number;
  readonly attempts: number;
  /** Time from the intended send time to the complete response; served requests only. */
  readonly latency: Quantiles;
  /** Duration of the last attempt minus the service time of the backend server; served requests
   * only. */
  readonly addedTime: Quantiles;
}

/** Results of one service, or of all services together. */
export interface ServiceResult {
  readonly service: ServiceName;
  readonly lookups: KindResult;
  readonly orders: KindResult;
  readonly seconds: readonly SecondResult[];
  /** Share of requests served, with orders counted double, from 0 to 1. */
  readonly score: number;
}

/** A violation that the order audit found, with the idempotency keys of the order. */
export interface OrderFinding {
  readonly finding: 'doubled' | 'lost' | 'run-after-not-run';
  readonly keys: readonly string[];
  readonly detail: string;
}

/** Result of comparing the orders with the runs that the backend stand-ins recorded. */
export interface OrderAudit {
  /** Whether reports were available; without reports all counts are 0. */
  readonly audited: boolean;
  /** Orders that ran more than once, counted over all of their keys. */
  readonly doubled: number;
  /** Orders that got a 2xx response but never ran. */
  readonly lost: number;
  /** Keys under which an order ran although the last outcome was not-run. */
  readonly runAfterNotRun: number;
  readonly findings: readonly OrderFinding[];
}

/** Backend time spent on probes and connections, and cold overloads, as the stand-ins report them. */
export interface BackendOverhead {
  readonly probeMs: number;
  readonly connectionMs: number;
  readonly coldOverloads: number;
  readonly unannouncedColdOverloads: number;
}

/** Time at which a scheduled fault was applied, and the error if it failed. */
export interface FaultResult {
  readonly atMs: number;
  readonly description: string;
  readonly appliedAtMs: number;
  readonly error: string | undefined;
}

/** Result of a run, as written to the result file. */
export interface LoadResult {
  readonly name: string;
  readonly seed: number;
  /** Start of the run in Unix ms, to correlate it with the reports of the stand-ins. */
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly services: readonly ServiceResult[];
  /** Sum over all services. */
  readonly total: ServiceResult;
  readonly orderAudit: OrderAudit;
  readonly measuringCost: BackendOverhead | undefined;
  readonly faults: readonly FaultResult[];
  /** Largest delay between the due time of a request and its send, caused by the load tool itself. */
  readonly maxSendLagMs: number;
}

/** Reports of the backend stand-ins at the end of a run; too large to include in the result. */
export type BackendReports = readonly BackendReport[];
