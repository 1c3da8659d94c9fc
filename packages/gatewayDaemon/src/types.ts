import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { Quarantine } from '@bronzelift/admission';
import type { Endpoint, FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';
import type { SplitPart } from '@bronzelift/routing';

/** Where and how requests for one host and path prefix are sent. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Whether requests may run more than once; non-idempotent ones run at most once. */
  readonly isIdempotent: boolean;
  /** Time after which a request without a response fails. */
  readonly timeoutMs: number;
  /** Time within which a request should be answered. */
  readonly latencyObjectiveMs: number;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
  /** Services that receive the requests, in proportion to their weights. */
  readonly parts: readonly SplitPart[];
  /** Maximum number of instances that one request is sent to. */
  readonly maxAttempts: number;
  /** Regions whose instances may receive the requests; empty if all may. */
  readonly allowedRegions: readonly string[];
}

/** Properties shared by all instances of a service. */
export interface ServicePolicy {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Maximum connections to an instance from all entry VMs together. */
  readonly maxConnections: number;
  /** Maximum requests per second to a cold instance from all entry VMs together. */
  readonly coldRequestsPerS: number;
}

/** Limits on the size of callers' requests and on the time to send them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' configuration; each version replaces the previous one as a whole. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServicePolicy[];
  readonly limits: CallerLimits;
}

/** An instance as it registered itself in the store. */
export interface InstanceRecord {
  readonly id: InstanceId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly failureDomainId: FailureDomainId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time from the receipt of the record until the instance is warm; 0 if it is warm. */
  readonly coldForMs: number;
  /** Start of the process in Unix milliseconds; distinguishes restarts under the same id. */
  readonly startedAtWallMs: number;
  /** Increases with each registration of the same process. */
  readonly sequence: number;
}

/** A decoded record of the operators' stream. */
export type OperatorChange =
  | { readonly kind: 'configuration'; readonly configuration: GatewayConfiguration }
  | { readonly kind: 'domain-out'; readonly failureDomainId: FailureDomainId }
  | { readonly kind: 'domain-in'; readonly failureDomainId: FailureDomainId }
  /** A record that could not be decoded. */
  | { readonly kind: 'unreadable'; readonly key: string; readonly problem: string };

/** A decoded record of the registration stream, with its offset in the store. */
export type InstanceChange = { readonly offset: number } & (
  | { readonly kind: 'registered'; readonly record: InstanceRecord }
  | { readonly kind: 'removed'; readonly instanceId: InstanceId }
  /** A record that could not be decoded, for example because another program wrote it. */
  | { readonly kind: 'unreadable'; readonly instanceId: InstanceId; readonly problem: string }
);

/** Changes read from a stream, in the order of their offsets. */
export interface StreamPage<Change> {
  /** Number of times that the store was restored from a copy. */
  readonly storeEra: number;
  readonly changes: readonly Change[];
  /** Offset at which to continue reading. */
  readonly nextOffset: number;
}

/** Result of reading a stream from an offset. */
export type StreamRead<Change> =
  | ({ readonly kind: 'page' } & StreamPage<Change>)
  /**
   * The records at this offset have expired; the newest record of each key must be read instead.
   */
  | { readonly kind: 'expired'; readonly storeEra: number };

/** Host under which an entry VM recorded itself in the store. */
export interface MemberRecord {
  readonly vmId: VmId;
  readonly host: string;
}

/** Operations of the platform's store that the gateway uses; each one rejects with a StepError. */
export interface ControlStore {
  /** Reads the newest configuration and the failure domains out of service. */
  readonly readNewestOperatorRecords: () => Promise<StreamPage<OperatorChange>>;
  /**
   * Long-polls for operators' records from an offset on, for at most `waitMs`; rejects when
   * aborted.
   */
  readonly watchOperatorRecords: (
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<StreamRead<OperatorChange>>;
  readonly readNewestInstances: () => Promise<StreamPage<InstanceChange>>;
  readonly readInstances: (offset: number) => Promise<StreamRead<InstanceChange>>;
  readonly recordMembers: (members: readonly MemberRecord[]) => Promise<void>;
  readonly readMembers: () => Promise<readonly MemberRecord[]>;
  /** Records quarantined requests, and removes those with the given fingerprints. */
  readonly recordQuarantines: (
    quarantines: readonly Quarantine[],
    ended: readonly string[],
  ) => Promise<void>;
  readonly readQuarantines: () => Promise<readonly Quarantine[]>;
  readonly close: () => void;
}

/** A caller's request with its arrival time and timeout. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: number;
  /** Time that the caller waits for the response, counted from the arrival. */
  readonly callerWaitMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Service for which another member forwarded the request; undefined from a caller itself. */
  readonly forwardedService?: ServiceName | undefined;
}

/** Why a request is refused. In each case no instance has run it or will run it. */
export type RefusalReason =
  | 'no-state'
  | 'no-instance'
  | 'overloaded'
  | 'shed'
  | 'expired'
  | 'quarantined'
  /** The entry VM may end before the deadline of the request. */
  | 'stopping';

/** Why a request failed although an instance may have run it. */
export type FailureReason = 'timeout' | 'instance-failed' | 'caller-gone' | 'too-large';

/** Result of a request that is returned to its caller. */
export type GatewayAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: OutgoingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-found' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number }
  | { readonly kind: 'failed'; readonly reason: FailureReason };

/** Limits that the operators set for the whole system. */
export interface SystemBounds {
  /** Maximum retries as a share of requests, summed over all entry VMs. */
  readonly retryRatio: number;
  /** Retries allowed beyond the ratio within a budget window. */
  readonly retrySlack: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly stopGraceMs: number;
  /** Maximum time for which callers cache an address list. */
  readonly maxAddressTtlMs: number;
  /** Maximum probes per second to an instance from all entry VMs together. */
  readonly probesPerS: number;
  /** Number of entry VMs that may be lost at the same time. */
  readonly toleratedVmLosses: number;
}

/** Decoded settings of a gateway process. */
export interface GatewaySettings {
  readonly vmId: VmId;
  readonly host: string;
  /** Local address of connections to instances; undefined to let the system choose it. */
  readonly backendLocalAddress: string | undefined;
  readonly failureDomainId: FailureDomainId;
  readonly region: string;
  readonly regionOfDomain: ReadonlyMap<FailureDomainId, string>;
  readonly callerEndpoint: Endpoint;
  readonly readinessEndpoint: Endpoint;
  readonly directoryEndpoint: Endpoint;
  /** Port for traffic between entry VMs, TCP and UDP; the same on all VMs. */
  readonly peerPort: number;
  /** Capacity of this VM's network link in Mbit/s. */
  readonly linkMbps: number;
  /** Hosts of some other entry VMs; they may be out of date. */
  readonly seedHosts: readonly string[];
  readonly bounds: SystemBounds;
}

/** Location that a caller sends when it requests addresses. */
export interface CallerLocation {
  readonly failureDomainId: FailureDomainId | undefined;
  readonly region: string | undefined;
}

/** Addresses for a caller and the time for which it may cache them. */
export interface AddressList {
  readonly endpoints: readonly Endpoint[];
  readonly ttlMs: number;
}

/** HTTP interface for callers, as the platform defines it; implemented by the platform adapter. */
export interface GatewayProtocol {
  /**
   * Reads the id and the timeout of a request; each is undefined if the caller does not send it.
   */
  readonly readCallerHeaders: (headers: IncomingHttpHeaders) => {
    readonly requestId: string | undefined;
    readonly waitMs: number | undefined;
  };
  /** Creates the headers of a refusal. */
  readonly createRefusalHeaders: (retryAfterMs: number) => OutgoingHttpHeaders;
  readonly isReadinessPath: (path: string) => boolean;
  /**
   * Reads the location of a caller that requests addresses; undefined if the path is not one for
   * addresses.
   */
  readonly readAddressQuery: (path: string) => CallerLocation | undefined;
  readonly formatAddresses: (list: AddressList) => string;
}
