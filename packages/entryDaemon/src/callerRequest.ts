import type { IncomingMessage } from 'node:http';

import type { Clock, RandomSource } from '@bronzelift/common';
import { CallerHeader, IDEMPOTENT_METHODS, MAX_CALL_DEPTH, PeerHeader } from '@bronzelift/common';

import { MAX_TIMEOUT_MS, RETRY_AFTER_RANGE_MS } from './constants.js';

/** Values from the request line and headers that decide how a request is handled. */
export interface RequestHead {
  readonly service: string;
  readonly path: string;
  readonly isOrder: boolean;
  readonly idempotencyKey: string | undefined;
  readonly callDepth: number;
  readonly timeoutMs: number | undefined;
}

/** Result of reading a request head; the code is one of ANSWER_CODES. */
export type HeadResult =
  | { readonly kind: 'head'; readonly head: RequestHead }
  | { readonly kind: 'refused'; readonly code: string };

/** A request body, or why it could not be read. */
export type BodyResult =
  | { readonly kind: 'body'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'aborted' };

const SERVICE_PATTERN = /^\/([a-z0-9][a-z0-9-]{0,62})(\/[^\s]*|\?[^\s]*)?$/;
const WHOLE_NUMBER_PATTERN = /^\d{1,9}$/;

const readWholeNumber = (text: string | undefined): number | undefined =>
  text !== undefined && WHOLE_NUMBER_PATTERN.test(text) ? Number(text) : undefined;

const firstValue = (value: string | readonly string[] | undefined): string | undefined =>
  typeof value === 'object' ? value[0] : value;

/** Method and headers that `readRequestHead` reads, of an HTTP message or a stored order. */
export interface MessageHead {
  readonly method?: string | undefined;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** Reads service, path, timeout, call depth and key from a request to `/<service>/<path>`. */
export const readRequestHead = (message: MessageHead, url: string): HeadResult => {
  const match = SERVICE_PATTERN.exec(url);
  if (!match) return { kind: 'refused', code: 'bad-request' };
  const pathAndQuery = match[2] ?? '/';
  const timeoutText = firstValue(message.headers[CallerHeader.timeoutMs]);
  const depthText = firstValue(message.headers[CallerHeader.callDepth]);
  const timeoutMs = readWholeNumber(timeoutText);
  const callDepth = depthText === undefined ? 0 : readWholeNumber(depthText);
  if (timeoutText !== undefined && timeoutMs === undefined) {
    return { kind: 'refused', code: 'bad-request' };
  }
  if (callDepth === undefined) return { kind: 'refused', code: 'bad-request' };
  if (callDepth > MAX_CALL_DEPTH) return { kind: 'refused', code: 'too-deep' };
  const isOrder = !IDEMPOTENT_METHODS.has(message.method ?? 'GET');
  const idempotencyKey = firstValue(message.headers[CallerHeader.idempotencyKey]);
  if (isOrder && !idempotencyKey) return { kind: 'refused', code: 'key-required' };
  return {
    kind: 'head',
    head: {
      service: match[1]!,
      path: pathAndQuery.startsWith('/') ? pathAndQuery : `/${pathAndQuery}`,
      isOrder,
      idempotencyKey: isOrder ? idempotencyKey : undefined,
      callDepth,
      timeoutMs: timeoutMs === undefined ? undefined : Math.min(timeoutMs, MAX_TIMEOUT_MS),
    },
  };
};

/** Reads the absolute deadline that a forwarding entry VM has set, in Unix milliseconds. */
export const readForwardedDeadline = (message: IncomingMessage): number | undefined => {
  const text = firstValue(message.headers[PeerHeader.deadlineAtMs]);
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
};

/** Reads the whole body into memory, up to a limit in bytes. */
export const readBody = async (
  message: IncomingMessage,
  limitBytes: number,
): Promise<BodyResult> => {
  if (Number(message.headers['content-length'] ?? 0) > limitBytes) return { kind: 'too-large' };
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > limitBytes) return { kind: 'too-large' };
      chunks.push(chunk);
    }
  } catch {
    return { kind: 'aborted' };
  }
  if (!message.complete) return { kind: 'aborted' };
  return { kind: 'body', body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks) };
};

/** Random retry delay in milliseconds, so that refused callers do not retry all at once. */
export const spreadRetryAfterMs = (random: RandomSource): number =>
  RETRY_AFTER_RANGE_MS.min +
  Math.floor(random.next() * (RETRY_AFTER_RANGE_MS.max - RETRY_AFTER_RANGE_MS.min));

/** Converts a time in Unix milliseconds to the monotonic clock. */
export const toMonotonicMs = (clock: Clock, wallMs: number): number =>
  clock.monotonicMs() + (wallMs - clock.wallMs());
