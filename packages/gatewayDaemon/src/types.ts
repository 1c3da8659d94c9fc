import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { Endpoint, FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';
import type { SplitPart } from '@bronzelift/routing';

/** Rule for the requests of one host below one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Idempotent requests may run more than once; others run once at most. */
  readonly isIdempotent: boolean;
  /** Longest time that a request is kept without an answer. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth to the caller. */
  readonly latencyObjectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** One part, or several that share the requests by weight. */
  readonly parts: readonly SplitPart[];
  /** Instances that one request may be sent to. */
  readonly maxAttempts: number;
  /** Regions whose instances may receive the requests; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** What all instances of a service have in common. */
export interface ServicePolicy {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that an instance accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Requests per second that a cold instance bears from all entry VMs together. */
  readonly coldRequestsPerS: number;
}

/** Bounds on what callers may send and how long they may stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' configuration, applied as a whole. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServicePolicy[];
  readonly limits: CallerLimits;
}

/** One instance as it registered itself. */
export interface InstanceRecord {
  readonly id: InstanceId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly failureDomainId: FailureDomainId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time from the receipt of the record until the instance is warm; 0 when it is warm. */
  readonly coldForMs: number;
  /** Start of the process in Unix milliseconds; tells restarts under the same id apart. */
  readonly startedAtWallMs: number;
  /** Grows with each registration of the same process. */
  readonly sequence: number;
}

/** One record of the operators' stream. */
export type OperatorChange =
  | { readonly kind: 'configuration'; readonly configuration: GatewayConfiguration }
  | { readonly kind: 'domain-out'; readonly failureDomainId: FailureDomainId }
  | { readonly kind: 'domain-in'; readonly failureDomainId: FailureDomainId }
  /** A record that could not be read, or one without a meaning here. */
  | { readonly kind: 'unreadable'; readonly key: string; readonly problem: string };

/** One record of the stream of registrations. */
export type InstanceChange =
  | { readonly kind: 'registered'; readonly record: InstanceRecord }
  | { readonly kind: 'removed'; readonly instanceId: InstanceId }
  /** Written by somebody else; names no instance to use. */
  | { readonly kind: 'unreadable'; readonly instanceId: InstanceId; readonly problem: string };

/** Changes read from a stream, in order. */
export interface StreamPage<Change> {
  readonly changes: readonly Change[];
  /** Offset to continue from. */
  readonly nextOffset: number;
}

/** Result of reading on in a stream. */
export type StreamRead<Change> =
  | ({ readonly kind: 'page' } & StreamPage<Change>)
  /** The records from the offset on are gone; read the newest of each key instead. */
  | { readonly kind: 'expired' };

/** Where an entry VM says that it can be found. */
export interface MemberRecord {
  readonly vmId: VmId;
  readonly host: string;
}

/** The platform's store as the gateway needs it; each call rejects with a StepError. */
export interface ControlStore {
  /** The newest configuration and the failure domains taken out. */
  readonly readNewestOperator: () => Promise<StreamPage<OperatorChange>>;
  /** Waits at most `waitMs` for operators' records from an offset on; rejects when aborted. */
  readonly watchOperator: (
    offset: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<StreamRead<OperatorChange>>;
  readonly readNewestInstances: () => Promise<StreamPage<InstanceChange>>;
  readonly readInstances: (offset: number) => Promise<StreamRead<InstanceChange>>;
  readonly announceMember: (member: MemberRecord) => Promise<void>;
  readonly readMembers: () => Promise<readonly MemberRecord[]>;
  readonly close: () => void;
}

/** A request as its caller sent it. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: number;
  /** Time that the caller waits, from its arrival. */
  readonly callerWaitMs: number;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

/** Why a request is refused; in each case it has not run and will not run. */
export type RefusalReason = 'no-state' | 'no-instance' | 'overloaded' | 'shed' | 'expired';

/** Why a request has no usable answer although it may have run. */
export type FailureReason = 'timeout' | 'instance-failed' | 'caller-gone' | 'too-large';

/** What a caller is told. */
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

/** Bounds that the operators set for the whole system. */
export interface SystemBounds {
  /** Repeats as a share of requests, summed over all entry VMs. */
  readonly retryRatio: number;
  /** Repeats allowed beyond the ratio within a budget window. */
  readonly retrySlack: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly stopGraceMs: number;
  /** Longest time that callers keep an address answer. */
  readonly maxAddressTtlMs: number;
  /** Probes that an instance may receive per second from all entry VMs together. */
  readonly probesPerS: number;
}

/** Settings of one gateway process, decoded. */
export interface GatewaySettings {
  readonly vmId: VmId;
  readonly host: string;
  readonly failureDomainId: FailureDomainId;
  readonly region: string;
  readonly regionOfDomain: ReadonlyMap<FailureDomainId, string>;
  readonly callerEndpoint: Endpoint;
  readonly readinessEndpoint: Endpoint;
  readonly directoryEndpoint: Endpoint;
  /** Port for traffic between entry VMs, TCP and UDP; the same on all VMs. */
  readonly peerPort: number;
  /** Addresses of some other entry VMs; may be outdated. */
  readonly seedHosts: readonly string[];
  readonly bounds: SystemBounds;
}

/** Where a caller is when it asks for addresses. */
export interface CallerLocation {
  readonly failureDomainId: FailureDomainId | undefined;
  readonly region: string | undefined;
}

/** Addresses for a caller. */
export interface AddressList {
  readonly endpoints: readonly Endpoint[];
  readonly ttlMs: number;
}

/** The HTTP interface that the platform prescribes; decoded and encoded by the adapter. */
export interface GatewayProtocol {
  /** Reads id and waiting time of a request; undefined where the caller states none. */
  readonly readCallerHeaders: (headers: IncomingHttpHeaders) => {
    readonly requestId: string | undefined;
    readonly waitMs: number | undefined;
  };
  /** Headers of a refusal. */
  readonly createRefusalHeaders: (retryAfterMs: number) => OutgoingHttpHeaders;
  readonly isReadinessPath: (path: string) => boolean;
  /** Location of a caller that asks for addresses; undefined for another path. */
  readonly readAddressQuery: (path: string) => CallerLocation | undefined;
  readonly formatAddresses: (list: AddressList) => string;
}
