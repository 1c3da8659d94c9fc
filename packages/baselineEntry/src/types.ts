import type { IncomingHttpHeaders } from 'node:http';

import type { Endpoint, FailureDomainId, ServiceName, VmId } from '@bronzelift/common';

import type { POLICIES } from './constants.js';

/** How a baseline process chooses an instance. */
export type Policy = (typeof POLICIES)[number];

/** An instance of the instances file. */
export interface BaselineInstance {
  readonly service: ServiceName;
  readonly address: Endpoint;
  readonly slots: number;
}

/** A baseline process as the address answer lists it. */
export interface BaselinePeer {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
  readonly caller: Endpoint;
}

/** An instance with the requests that this process has under way there. */
export interface TrackedInstance extends BaselineInstance {
  outstanding: number;
}

/** A caller's request. */
export interface BaselineRequest {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string;
  readonly contentType: string | undefined;
  /** Unix ms. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** What became of one attempt at an instance. */
export type BaselineAttempt =
  | {
      readonly kind: 'ran';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown'; readonly code: 'timeout' | 'backend-failed' };
