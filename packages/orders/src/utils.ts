import { createHash } from 'node:crypto';

import {
  MAX_STORED_BODY_BYTES,
  REFUSAL_RETRY_AFTER_MS,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';

import type { NotRunAnswer, OrderAnswer, OrderEntry, OrderRequest, StoredAnswer } from './types.js';

const HASH_LENGTH = 22;

/** Hash of method, path and body; 132 bits, enough to tell two orders apart. */
export const hashRequest = (request: Pick<OrderRequest, 'method' | 'path' | 'body'>): string =>
  createHash('sha256')
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest('base64url')
    .slice(0, HASH_LENGTH);

/** Answer that an order was not run. */
export const notRun = (
  code: string,
  retryAfterMs: number = REFUSAL_RETRY_AFTER_MS,
  newTicket?: string,
): NotRunAnswer => ({ outcome: 'not-run', code, retryAfterMs, newTicket });

/** Answer that it is not known whether an order ran; a repeat may tell. */
export const unknown = (code: string): OrderAnswer => ({
  outcome: 'unknown',
  code,
  retryAfterMs: UNKNOWN_RETRY_AFTER_MS,
});

/** Answer that it is not known whether an order ran, and a repeat will not tell. */
export const unknownFinal = (code: string): OrderAnswer => ({ outcome: 'unknown', code });

/** Answer of an order that ran. */
export const ran = (answer: StoredAnswer): OrderAnswer =>
  answer.body === undefined
    ? { outcome: 'ran', code: 'answer-not-kept' }
    : { outcome: 'ran', code: 'answered', answer };

/** The form in which an answer is kept: without a body that is too large. */
export const toKeptAnswer = (answer: StoredAnswer, hasRoom: boolean): StoredAnswer => {
  const { body } = answer;
  if (body === undefined) return answer;
  if (!hasRoom || body.byteLength > MAX_STORED_BODY_BYTES) return { ...answer, body: undefined };
  // A copy, because a received body can be a view that keeps a larger buffer in memory.
  return { ...answer, body: new Uint8Array(body) };
};

/** Whether the entry of a key belongs to an order with another method, path or body. */
export const isReused = (entry: OrderEntry, requestHash: string): boolean =>
  'requestHash' in entry && entry.requestHash !== undefined && entry.requestHash !== requestHash;
