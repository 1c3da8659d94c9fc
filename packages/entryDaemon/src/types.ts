import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { ServiceName } from '@bronzelift/common';

/** A validated request with its whole body. Times are monotonic unless their name has `Wall`. */
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
  /** Aborted when nobody waits for the response any more. */
  readonly signal: AbortSignal;
  /** False for a request that another entry VM has forwarded. */
  readonly mayForward: boolean;
  /** Whether a forwarded request may wait here, because its sender holds no slot. */
  readonly mayWait: boolean;
}

/** Checks before each send that an order may be sent, and records sends that did not run. */
export interface OrderSendGuard {
  beforeSend(): boolean;
  recordNotRun(): void;
}

/** A response of a backend server that is passed on to the caller. */
export interface AnsweredResult {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** Outcome of a request, from which the response to its sender is written. */
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
  /** The order ran, but its response was too large to store for a retry. */
  | { readonly kind: 'ran-without-answer'; readonly code: 'answer-not-kept' };
