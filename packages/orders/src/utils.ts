import { createHash } from 'node:crypto';

import {
  MAX_STORED_BODY_BYTES,
  REFUSAL_RETRY_AFTER_MS,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';

import type { NotRunAnswer, OrderAnswer, OrderEntry, OrderRequest, StoredAnswer } from './types.js';

const HASH_LENGTH_CHARACTERS = 22;

/** Hash of method, path and body, cut to 132 bits, which is enough to tell two orders apart. */
export const hashRequest = (request: Pick<OrderRequest, 'method' | 'path' | 'body'>): string =>
  createHash('sha256')
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest('base64url')
    .slice(0, HASH_LENGTH_CHARACTERS);

/** Answer to a caller that its order did not run and may be sent again after `retryAfterMs`. */
export const notRun = (
  code: string,
  retryAfterMs: number = REFUSAL_RETRY_AFTER_MS,
  newTicket?: string,
): NotRunAnswer => ({ outcome: 'not-run', code, retryAfterMs, newTicket });

/** Answer that it is not known whether an order ran; a retry with the same key may find out. */
export const unknown = (code: string): OrderAnswer => ({
  outcome: 'unknown',
  code,
  retryAfterMs: UNKNOWN_RETRY_AFTER_MS,
});

/** Answer that it is not known whether an order ran, when a retry cannot find out either. */
export const unknownFinal = (code: string): OrderAnswer => ({ outcome: 'unknown', code });

/** Answer with the stored response of an order, or `answer-not-kept` if its body was not stored. */
export const ran = (answer: StoredAnswer): OrderAnswer =>
  answer.body === undefined
    ? { outcome: 'ran', code: 'answer-not-kept' }
    : { outcome: 'ran', code: 'answered', answer };

/** Prepares a response for storage: drops its body if that is too large or there is no room. */
export const toStorableAnswer = (answer: StoredAnswer, hasRoom: boolean): StoredAnswer => {
  const { body } = answer;
  if (body === undefined) return answer;
  if (!hasRoom || body.byteLength > MAX_STORED_BODY_BYTES) return { ...answer, body: undefined };
  // Copied because a received body can be a view that keeps a larger buffer in memory.
  return { ...answer, body: new Uint8Array(body) };
};

/** Whether a key was used before for an order with another method, path or body. */
export const isReused = (entry: OrderEntry, requestHash: string): boolean =>
  'requestHash' in entry && entry.requestHash !== undefined && entry.requestHash !== requestHash;
