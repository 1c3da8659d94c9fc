import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { ServiceName } from '@bronzelift/common';

/** A request of a caller, read whole and checked. Times are monotonic unless they say wall. */
export interface WorkRequest {
  readonly requestId: string;
  readonly service: ServiceName;
  readonly method: string;
  /** Path and query as the backend server sees them. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly isOrder: boolean;
  readonly idempotencyKey: string | undefined;
  readonly callDepth: number;
  readonly deadlineAtMs: number;
  readonly deadlineAtWallMs: number;
  /** Aborted when nobody waits for the answer any more. */
  readonly signal: AbortSignal;
  /** False for a request that another entry VM has forwarded. */
  readonly mayForward: boolean;
  /** Whether a forwarded request may wait here, because its sender holds no slot. */
  readonly mayWait: boolean;
}

/** Checks that an order may still be sent, and learns when a send is proven not to have run. */
export interface OrderSendGuard {
  beforeSend(): boolean;
  provenNotRun(): void;
}

/** A response of a backend server as it is passed on. */
export interface AnsweredResult {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** End of the work for a request. */
export type WorkResult =
  | AnsweredResult
  | {
      readonly kind: 'not-run';
      readonly code: string;
      readonly retryAfterMs: number;
      readonly newTicket?: string | undefined;
    }
  | {
      readonly kind: 'unknown';
      readonly code: string;
      readonly retryAfterMs?: number | undefined;
    }
  /** The order ran, but its answer was too large to keep for a repeat. */
  | { readonly kind: 'ran-without-answer'; readonly code: 'answer-not-kept' };
