import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { Clock, Endpoint, InstanceId } from '@bronzelift/common';

/** A connection to an instance, opened and known individually. Times are monotonic. */
export interface BackendConnection {
  readonly id: number;
  readonly instanceId: InstanceId;
  readonly openedAtMs: number;
  /** Time of the last complete response; undefined before the first one. */
  readonly lastResponseAtMs: number | undefined;
  readonly isBusy: boolean;
  readonly isOpen: boolean;
}

/** What a connection must fulfil; all given conditions apply together. */
export interface ConnectionNeed {
  /** Opened before this monotonic time; a new connection never is. */
  readonly openedBeforeMs?: number | undefined;
  /** Proven live by a response, or by having been opened, within this duration. */
  readonly provenWithinMs?: number | undefined;
  /** Only a connection opened for this call. */
  readonly isNew?: boolean | undefined;
}

/** Why no connection could be had; in each case nothing was sent. */
export type NoConnectionReason =
  'no-match' | 'limit' | 'connect-failed' | 'connect-timeout' | 'cancelled' | 'pool-closed';

/** Result of asking for a connection. */
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

/** A request to a backend server; the body is held whole, so that it can be sent again. */
export interface BackendRequest {
  readonly method: string;
  /** Path and query as the backend server sees them. */
  readonly path: string;
  /** Headers of the caller; hop-by-hop headers and the system's own are not sent. */
  readonly headers: IncomingHttpHeaders;
  readonly body?: Buffer | undefined;
  readonly requestId: string;
  /** Absolute deadline for the backend server, Unix milliseconds. */
  readonly deadlineAtWallMs: number;
  /** Time after which the attempt is given up. */
  readonly timeoutMs: number;
  readonly idempotencyKey?: string | undefined;
  /** Depth that the backend server hands on with calls of its own. */
  readonly callDepth?: number | undefined;
  /** The only instance that may run the request; others at its address refuse. */
  readonly expectedInstanceId?: InstanceId | undefined;
}

/** Load of an instance as its response states it; absent fields were not sent. */
export interface ReportedLoad {
  readonly instanceId: string | undefined;
  readonly bootId: string | undefined;
  readonly inFlight: number | undefined;
  readonly slots: number | undefined;
  readonly state: 'cold' | 'warm' | 'draining' | undefined;
  /** Requests that wait for a slot. */
  readonly waiting?: number | undefined;
  /** Time that work takes now, relative to the usual time on that VM; 1 is usual. */
  readonly slowdown?: number | undefined;
  /** Time until a cold instance is warm; 0 when it says that it is warm. */
  readonly coldForMs?: number | undefined;
}

/** A complete response. */
export interface BackendResponse {
  readonly status: number;
  /** Without hop-by-hop headers and the system's own. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
  readonly load: ReportedLoad;
}

/** Why a sent request has no usable response. */
export type SentFailureReason =
  'timeout' | 'reset' | 'cut-short' | 'mismatched' | 'malformed' | 'cancelled';

/** Result of sending a request. */
export type BackendAttempt =
  /** Nothing was written: proof that the request did not run. */
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
  /** The backend server stated `x-not-run: 1`: proof that the request did not run. */
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
  /** The request ran, its response exceeds the buffer limit. */
  | {
      readonly kind: 'too-large';
      readonly status: number;
      readonly receivedBytes: number;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'failed-after-send';
      readonly reason: SentFailureReason;
      readonly detail: string;
      readonly durationMs: number;
    };

/** Why a connection closed; only `reset` and `ended-by-backend` come from the backend server. */
export type CloseReason =
  'reset' | 'ended-by-backend' | 'in-doubt' | 'suspect' | 'cancelled' | 'idle' | 'pool-closed';

/** A connection has closed. */
export interface ConnectionClosed {
  readonly connection: BackendConnection;
  readonly reason: CloseReason;
  readonly detail: string;
}

/**
 * How a kind of backend server is spoken to: header names, what a refusal looks like and what a
 * response has to show before it is passed on. The rest of this package knows none of it.
 */
export interface BackendDialect {
  /** Headers of a request as it is sent. */
  readonly createRequestHeaders: (
    request: BackendRequest,
    endpoint: Endpoint,
  ) => OutgoingHttpHeaders;
  /** Headers passed on with a response; `bodyBytes` is undefined for one without a body. */
  readonly createResponseHeaders: (
    headers: IncomingHttpHeaders,
    bodyBytes: number | undefined,
  ) => OutgoingHttpHeaders;
  /** Id of the request that a response answers; undefined when it names none. */
  readonly readAnsweredId: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether a response states that its request was not run. */
  readonly isRefusal: (status: number, headers: IncomingHttpHeaders) => boolean;
  readonly readLoad: (headers: IncomingHttpHeaders) => ReportedLoad;
  /** Why a complete response must not be passed on all the same; undefined when it may be. */
  readonly findHeadProblem: (
    request: BackendRequest,
    status: number,
    headers: IncomingHttpHeaders,
  ) => string | undefined;
  /** Whether a body may end with its connection; an orderly end then counts as complete. */
  readonly allowsUnframedBody: boolean;
}

/** Parameters of a pool of connections to one instance. */
export interface BackendPoolOptions {
  readonly instanceId: InstanceId;
  readonly endpoint: Endpoint;
  readonly maxConnections: number;
  readonly clock: Clock;
  /** Default 1000. */
  readonly connectTimeoutMs?: number;
  /** Idle connections are closed by `sweep` after this time; default 60000. */
  readonly idleTimeoutMs?: number;
  /**
   * Idle connections that `sweep` keeps, default 0. A connection that has stayed open is needed to
   * use the slots of a warm instance, so that a burst after a quiet time finds some.
   */
  readonly minIdle?: number;
  /** Larger responses are reported as too large; default 1 MiB. */
  readonly maxBodyBytes?: number;
  /** Default: the project's own headers. */
  readonly dialect?: BackendDialect;
  readonly onConnectionClosed?: (event: ConnectionClosed) => void;
  /** Called under the name `whole-answer`. */
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
}

/** Connections of a pool by state. */
export interface PoolStats {
  readonly idle: number;
  readonly busy: number;
  readonly opening: number;
}
