import type { IncomingHttpHeaders } from 'node:http';

import type { Endpoint, FailureDomainId, ServiceName, VmId } from '@bronzelift/common';

import type { POLICIES } from './constants.js';

/** Name of a policy by which a baseline process selects an instance. */
export type Policy = (typeof POLICIES)[number];

/** Service, address and slots of a backend instance, as listed in the instances file. */
export interface BaselineInstance {
  readonly service: ServiceName;
  readonly address: Endpoint;
  readonly slots: number;
}

/** A baseline process as listed in responses to address requests. */
export interface BaselinePeer {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
  readonly caller: Endpoint;
}

/** An instance with the number of requests that this process has outstanding there. */
export interface TrackedInstance extends BaselineInstance {
  outstanding: number;
}

/** A caller's request as it is sent to an instance; `signal` aborts it. */
export interface BaselineRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string;
  readonly contentType: string | undefined;
  /** Deadline in Unix ms. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** Result of sending a request to one instance. Only `not-run` allows a retry. */
export type BaselineAttemptResult =
  | {
      readonly kind: 'ran';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown'; readonly code: 'timeout' | 'backend-failed' };
