import type { Clock, Endpoint, FailureDomainId, InstanceId, ServiceName } from '@bronzelift/common';

/** Simulated external service that can run inside a test process or as its own process. */
export interface Standin {
  /** Opens the port (0 selects a free one); rejects when it is in use. */
  listen(port: number, host?: string): Promise<Endpoint>;
  /** Resets all connections and closes the ports. */
  close(): Promise<void>;
}

/** How an unavailable service treats requests: 503 at once, or no response at all. */
export type OutageMode = 'refuse' | 'hang';

/** Limits and first offset of the log stand-in; without retention options nothing expires. */
export interface LogStandinOptions {
  readonly clock?: Clock;
  readonly appendsPerSecond?: number;
  readonly retentionMs?: number;
  readonly retentionRecords?: number;
  /** Offset of the first record; defaults to 0. */
  readonly firstOffset?: number;
}

/** Record as the log stand-in stores and returns it. */
export interface LogRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly payload: unknown;
}

/** Response to a read, with the range of offsets that the log holds. */
export interface LogReadResponse {
  readonly logId: string;
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly endOffset: number;
  readonly records: readonly LogRecord[];
}

/** Range of the log and counts of requests and injected faults since the start. */
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

/** Whether a VM is in service or about to be removed. */
export type VmState = 'live' | 'leaving';

/** VM with its address, failure domain and state, as the VM list returns it. */
export interface VmEntry {
  readonly vmId: string;
  readonly address: string;
  readonly failureDomainId: FailureDomainId;
  readonly state: VmState;
}

/** Response to a read of the VM list; `asOfMs` is the time whose state it shows. */
export interface VmListResponse {
  readonly asOfMs: number;
  readonly vms: readonly VmEntry[];
}

/** Initial entries and lag of the VM list stand-in. */
export interface VmListStandinOptions {
  readonly clock?: Clock;
  readonly lagMs?: number;
  /** Entries that are visible immediately, without the lag. */
  readonly vms?: readonly VmEntry[];
}

/** Lagged and latest content of the VM list stand-in, and request counts. */
export interface VmListReport {
  readonly lagMs: number;
  readonly visible: readonly VmEntry[];
  readonly latest: readonly VmEntry[];
  readonly reads: number;
  readonly unavailableRequests: number;
}

/** Options of a simulated backend instance; omitted ones come from `INSTANCE_DEFAULTS`. */
export interface InstanceOptions {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  /** Port of the instance; 0 or undefined selects a free one. */
  readonly port?: number;
  readonly slots?: number;
  readonly maxConnections?: number;
  /** Requests that may wait when all slots are in use; further ones are refused as not run. */
  readonly maxQueue?: number;
  readonly meanServiceMs?: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly serviceSigma?: number;
  readonly coldSlots?: number;
  readonly coldFactor?: number;
  /** Served requests after which a cold instance can handle one more concurrent request. */
  readonly warmupRequestsPerSlot?: number;
  /** Duration for which an overload stalls a cold instance. */
  readonly stallMs?: number;
  /** Time after an instance turns cold unannounced in which overloads neither count nor stall. */
  readonly unannouncedColdGraceMs?: number;
  readonly probeCostMs?: number;
  readonly connectionCostMs?: number;
  /** Whether the instance starts cold; defaults to true. */
  readonly startsCold?: boolean;
}

/** Instances, random seed and clock of the backend stand-in. */
export interface BackendStandinOptions {
  readonly instances: readonly InstanceOptions[];
  /** Seed for service times and for faults that occur with a probability. */
  readonly seed?: number;
  readonly clock?: Clock;
}

/** Started run of a request that had an idempotency key. */
export interface RunRecord {
  readonly instanceId: InstanceId;
  readonly bootId: string;
  readonly startedAtMs: number;
  readonly requestId: string | undefined;
}

/** Why an instance is cold: it started, or it became cold without a change of its boot id. */
export type ColdCause = 'start' | 'unannounced';

/** Overload of a cold instance: `inFlight` exceeded `bearable`, its concurrency limit. */
export interface ColdOverload {
  readonly instanceId: InstanceId;
  readonly bootId: string;
  readonly atMs: number;
  readonly inFlight: number;
  readonly bearable: number;
  readonly cause: ColdCause;
  readonly sinceColdMs: number;
}

/** State of an instance and its counts since the start; times are Unix ms. */
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
  /** Time of the last arrival of a request, refused ones included. */
  readonly lastArrivalAtMs: number | undefined;
  /** Time of the last start of a run. */
  readonly lastStartAtMs: number | undefined;
  /** Overloads after a start, which violate `cold-start-limit`. */
  readonly coldOverloads: number;
  /** Overloads after an unannounced cold state, once `unannouncedColdGraceMs` has passed. */
  readonly unannouncedColdOverloads: number;
}

/** Actual load state of an instance, as opposed to a misreported one. */
export type LoadState = 'cold' | 'warm' | 'draining';

/** Unix ms of the last arrival and the last start of a run in a failure domain. */
export interface DomainReport {
  readonly lastArrivalAtMs: number | undefined;
  readonly lastStartAtMs: number | undefined;
}

/** State and counts of all instances, and their recorded runs and overloads. */
export interface BackendReport {
  readonly atMs: number;
  /** Unix ms at which the instances began to serve; readers derive rates per second from it. */
  readonly listeningSinceMs: number;
  readonly instances: readonly InstanceReport[];
  readonly failureDomains: Readonly<Record<FailureDomainId, DomainReport>>;
  /** Started runs by idempotency key. */
  readonly runs: Readonly<Record<string, readonly RunRecord[]>>;
  /** Sum over all instances; each overload violates `cold-start-limit`. */
  readonly coldOverloads: number;
  readonly unannouncedColdOverloads: number;
  readonly coldOverloadDetails: readonly ColdOverload[];
}
