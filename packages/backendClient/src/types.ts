import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { Clock, Endpoint, InstanceId } from '@bronzelift/common';

import type { BufferBudget } from './bufferBudget.js';

/** A connection to an instance, identified by its id within the pool. Times are monotonic. */
export interface BackendConnection {
  readonly id: number;
  readonly instanceId: InstanceId;
  readonly openedAtMs: number;
  /** Time of the last complete response; undefined before the first one. */
  readonly lastResponseAtMs: number | undefined;
  readonly isBusy: boolean;
  readonly isOpen: boolean;
}

/** Requirements for a connection; all that are given must be met. */
export interface ConnectionRequirements {
  /** Opened before this monotonic time, so that a new connection never qualifies. */
  readonly openedBeforeMs?: number | undefined;
  /** Opened, or had a response, within this duration before now. */
  readonly verifiedWithinMs?: number | undefined;
  /** Opened for this call of `acquire`; idle connections are not used. */
  readonly isNew?: boolean | undefined;
}

/** Why no connection is available; in each case nothing was sent. */
export type NoConnectionReason =
  'no-match' | 'limit' | 'connect-failed' | 'connect-timeout' | 'cancelled' | 'pool-closed';

/** A reserved connection, or why none is available. */
export type AcquireResult =
  | {
      readonly kind: 'acquired';
      readonly connection: BackendConnection;
      readonly isNew: boolean;
      /** Time spent opening the connection; 0 for an idle one. */
      readonly connectMs: number;
    }
  | {
      readonly kind: 'not-available';
      readonly reason: NoConnectionReason;
      readonly detail: string;
    };

/** A request to a backend server; the whole body is in memory, so that it can be sent again. */
export interface BackendRequest {
  readonly method: string;
  /** Path and query as the backend server sees them. */
  readonly path: string;
  /** Headers of the caller; hop-by-hop headers and Bronzelift's own are not sent. */
  readonly headers: IncomingHttpHeaders;
  readonly body?: Buffer | undefined;
  readonly requestId: string;
  /** Absolute deadline for the backend server, Unix milliseconds. */
  readonly deadlineAtWallMs: number;
  /** Time after which the attempt times out. */
  readonly timeoutMs: number;
  readonly idempotencyKey?: string | undefined;
  /** Call depth that the backend server sends with its own calls. */
  readonly callDepth?: number | undefined;
  /** The only instance that may run the request; another one at the same address refuses it. */
  readonly expectedInstanceId?: InstanceId | undefined;
}

/** Load that an instance reported in a response; undefined fields were not sent. */
export interface ReportedLoad {
  readonly instanceId: string | undefined;
  readonly bootId: string | undefined;
  readonly inFlight: number | undefined;
  readonly slots: number | undefined;
  readonly state: 'cold' | 'warm' | 'draining' | undefined;
  /** Requests that wait for a slot. */
  readonly waiting?: number | undefined;
  /** Current service time relative to the usual one on the instance's VM; 1 is usual. */
  readonly slowdown?: number | undefined;
  /** Time until a cold instance is warm; 0 if it reported that it is warm. */
  readonly coldForMs?: number | undefined;
  /** Time for which the instance wants no further requests from this VM. */
  readonly pauseMs?: number | undefined;
  /** Requests per second that the instance accepts from all entry VMs together, if it limits them. */
  readonly maxRequestsPerS?: number | undefined;
}

/** A complete response of a backend server, with the load that it reported. */
export interface BackendResponse {
  readonly status: number;
  /** Headers without hop-by-hop headers and Bronzelift's own. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  readonly load: ReportedLoad;
}

/** Why a sent request has no usable response. */
export type SentFailureReason =
  'timeout' | 'reset' | 'cut-short' | 'mismatched' | 'malformed' | 'cancelled';

/** Result of sending a request; the kind tells whether the request may have run. */
export type BackendAttempt =
  /** Nothing was written, so the request certainly did not run. */
  | {
      readonly kind: 'not-sent';
      readonly reason:
        | NoConnectionReason
        | 'connection-closed'
        | 'connection-busy'
        | 'expired'
        | 'invalid-request';
      readonly detail: string;
      readonly durationMs: number;
    }
  /** The backend server responded with `x-not-run: 1`, so the request certainly did not run. */
  | {
      readonly kind: 'refused';
      readonly response: BackendResponse;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'answered';
      readonly response: BackendResponse;
      readonly durationMs: number;
    }
  /** The request ran, but its response exceeds a buffer limit. */
  | {
      readonly kind: 'too-large';
      readonly status: number;
      /** Whether the response stated its length; otherwise its body may have no end. */
      readonly isLengthDeclared: boolean;
      readonly receivedBytes: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'failed-after-send';
      readonly reason: SentFailureReason;
      readonly detail: string;
      readonly durationMs: number;
    };

/** Why a connection closed; `reset` and `ended-by-backend` mean that the backend closed it. */
export type CloseReason =
  'reset' | 'ended-by-backend' | 'in-doubt' | 'suspect' | 'cancelled' | 'idle' | 'pool-closed';

/** Event that a connection of a pool has closed. */
export interface ConnectionClosedEvent {
  readonly connection: BackendConnection;
  readonly reason: CloseReason;
  readonly detail: string;
}

/**
 * Protocol variant of one kind of backend server: header names, how refusals are recognized and
 * which checks a response must pass. All code that depends on the kind is in its dialect.
 */
export interface BackendDialect {
  /** Creates the headers of a request to the backend server. */
  readonly createRequestHeaders: (
    request: BackendRequest,
    endpoint: Endpoint,
  ) => OutgoingHttpHeaders;
  /** Creates the headers passed on with a response; `bodyBytes` is undefined if it has no body. */
  readonly createResponseHeaders: (
    headers: IncomingHttpHeaders,
    bodyBytes: number | undefined,
  ) => OutgoingHttpHeaders;
  /** Reads the id of the request that a response belongs to; undefined if it has none. */
  readonly readAnsweredId: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether the backend server refused the request without running it. */
  readonly isRefusal: (status: number, headers: IncomingHttpHeaders) => boolean;
  readonly readLoad: (headers: IncomingHttpHeaders) => ReportedLoad;
  /** Returns, from status and headers, why not to pass a response on; undefined if it may be. */
  readonly findHeadProblem: (
    request: BackendRequest,
    status: number,
    headers: IncomingHttpHeaders,
  ) => string | undefined;
  /** Whether a body may be delimited by the end of its connection, if that end is orderly. */
  readonly allowsUnframedBody: boolean;
}

/** Endpoint, limits and callbacks of a pool of connections to one instance. */
export interface BackendPoolOptions {
  readonly instanceId: InstanceId;
  readonly endpoint: Endpoint;
  readonly maxConnections: number;
  readonly clock: Clock;
  /** Local address of the connections; the system chooses it by default. */
  readonly localAddress?: string | undefined;
  /** Time limit for opening a connection; default 1000. */
  readonly connectTimeoutMs?: number;
  /** Idle connections are closed by `sweep` after this time; default 60000. */
  readonly idleTimeoutMs?: number;
  /**
   * Number of idle connections that `sweep` keeps, default 0. The slots of a warm instance can only
   * be used with connections that have stayed open, so a burst after a quiet period needs some
   * connections from before it.
   */
  readonly minIdle?: number;
  /** Larger responses end their attempt as `too-large`; default 1 MiB. */
  readonly maxBodyBytes?: number;
  /** Limit that several pools share; by default only the size of each response is limited. */
  readonly bufferBudget?: BufferBudget;
  /** Default: the dialect with Bronzelift's own headers. */
  readonly dialect?: BackendDialect;
  readonly onConnectionClosed?: (event: ConnectionClosedEvent) => void;
  /** Called for a response that is incomplete or belongs to another request. */
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
}

/** Number of connections of a pool in each state. */
export interface PoolStats {
  readonly idle: number;
  readonly busy: number;
  readonly opening: number;
}
