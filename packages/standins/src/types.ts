import type { Clock, Endpoint, FailureDomainId, InstanceId, ServiceName } from '@bronzelift/common';

/** A stand-in that can be run inside a test. */
export interface Standin {
  /** Opens the port (0 takes any free one); rejects when it is in use. */
  listen(port: number, host?: string): Promise<Endpoint>;
  /** Resets all connections and closes the ports. */
  close(): Promise<void>;
}

/** How an unavailable service treats requests: 503 at once, or no response at all. */
export type OutageMode = 'refuse' | 'hang';

/** Options of the log stand-in. */
export interface LogStandinOptions {
  readonly clock?: Clock;
  readonly appendsPerSecond?: number;
  readonly retentionMs?: number;
  readonly retentionRecords?: number;
  /** Offset of the first record; defaults to 0. */
  readonly firstOffset?: number;
}

/** One record of the log. */
export interface LogRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly payload: unknown;
}

/** Response to a read of the log. */
export interface LogReadResponse {
  readonly logId: string;
  readonly firstOffset: number;
  /** Offset of the next append. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

/** Report of the log stand-in. */
export interface LogReport {
  readonly logId: string;
  readonly firstOffset: number;
  readonly endOffset: number;
  readonly appends: number;
  readonly refusedAppends: number;
  readonly lostResponses: number;
  readonly reads: number;
  readonly blockedRequests: number;
  readonly unavailableRequests: number;
  readonly appendsByClient: Readonly<Record<string, number>>;
}

/** State of a VM in the VM list. */
export type VmState = 'live' | 'leaving';

/** One entry of the VM list. */
export interface VmEntry {
  readonly vmId: string;
  readonly address: string;
  readonly failureDomainId: FailureDomainId;
  readonly state: VmState;
}

/** Response of the VM list. */
export interface VmListResponse {
  readonly asOfMs: number;
  readonly vms: readonly VmEntry[];
}

/** Options of the VM list stand-in. */
export interface VmListStandinOptions {
  readonly clock?: Clock;
  readonly lagMs?: number;
  /** Entries visible from the start. */
  readonly vms?: readonly VmEntry[];
}

/** Report of the VM list stand-in: what is visible and what will be. */
export interface VmListReport {
  readonly lagMs: number;
  readonly visible: readonly VmEntry[];
  readonly latest: readonly VmEntry[];
  readonly reads: number;
  readonly unavailableRequests: number;
}

/** One instance of a backend server; what is left out comes from `INSTANCE_DEFAULTS`. */
export interface InstanceOptions {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  /** Port of the instance; 0 or none takes any free one. */
  readonly port?: number;
  readonly slots?: number;
  readonly maxConnections?: number;
  /** Requests that may wait beyond the slots; more are refused as not run. */
  readonly maxQueue?: number;
  readonly meanServiceMs?: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly serviceSigma?: number;
  readonly coldSlots?: number;
  readonly coldFactor?: number;
  /** Served requests that add one bearable concurrent request. */
  readonly warmupRequestsPerSlot?: number;
  /** Stall after an overload in cold state. */
  readonly stallMs?: number;
  /** After cold state without notice, overloads within this time are neither counted nor stall. */
  readonly unannouncedColdGraceMs?: number;
  readonly probeCostMs?: number;
  readonly connectionCostMs?: number;
  /** Whether the instance starts cold; defaults to true. */
  readonly startsCold?: boolean;
}

/** Options of the backend stand-in. */
export interface BackendStandinOptions {
  readonly instances: readonly InstanceOptions[];
  /** Seed of the service times and of faults with a probability. */
  readonly seed?: number;
  readonly clock?: Clock;
}

/** One started run of a request that carried an idempotency key. */
export interface RunRecord {
  readonly instanceId: InstanceId;
  readonly bootId: string;
  readonly startedAtMs: number;
  readonly requestId: string | undefined;
}

/** Why an instance is cold: it started, or it became cold without notice. */
export type ColdCause = 'start' | 'unannounced';

/** More work than a cold instance can bear arrived at once. */
export interface ColdOverload {
  readonly instanceId: InstanceId;
  readonly bootId: string;
  readonly atMs: number;
  readonly inFlight: number;
  readonly bearable: number;
  readonly cause: ColdCause;
  readonly sinceColdMs: number;
}

/** Report on one instance. Times are Unix ms. */
export interface InstanceReport {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  readonly endpoint: Endpoint;
  readonly bootId: string;
  readonly state: LoadState;
  readonly openConnections: number;
  readonly started: number;
  readonly served: number;
  readonly cancelled: number;
  readonly shed: number;
  readonly refusedForDeadline: number;
  readonly refusedForDraining: number;
  readonly failedFast: number;
  readonly connectionsAccepted: number;
  readonly connectionsRefused: number;
  readonly probes: number;
  readonly probeMs: number;
  readonly connectionMs: number;
  readonly maxInFlight: number;
  /** Last arrival of a request for work, refused ones included. */
  readonly lastArrivalAtMs: number | undefined;
  /** Last start of work. */
  readonly lastStartAtMs: number | undefined;
  /** Overloads after a start: violations of `cold-start-limit`. */
  readonly coldOverloads: number;
  /** Overloads after cold state without notice, later than the grace time. */
  readonly unannouncedColdOverloads: number;
}

/** Truthful load state of an instance. */
export type LoadState = 'cold' | 'warm' | 'draining';

/** Report on one failure domain. */
export interface DomainReport {
  readonly lastArrivalAtMs: number | undefined;
  readonly lastStartAtMs: number | undefined;
}

/** Report of the backend stand-in. */
export interface BackendReport {
  readonly atMs: number;
  /** Time since which the instances serve, for rates per second. */
  readonly listeningSinceMs: number;
  readonly instances: readonly InstanceReport[];
  readonly failureDomains: Readonly<Record<FailureDomainId, DomainReport>>;
  /** Started runs per idempotency key. */
  readonly runs: Readonly<Record<string, readonly RunRecord[]>>;
  /** Sum over the instances, violations of `cold-start-limit`. */
  readonly coldOverloads: number;
  readonly unannouncedColdOverloads: number;
  readonly coldOverloadDetails: readonly ColdOverload[];
}
