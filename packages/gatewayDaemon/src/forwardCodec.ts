import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { ServiceName } from '@bronzelift/common';

import { NO_VERSION } from './constants.js';
import { isIntegerWithin, isNumberWithin } from './fieldBounds.js';
import type { FailureReason, GatewayAnswer, RefusalReason } from './types.js';

/** A caller's request that one entry VM forwards to another one. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
  readonly service: ServiceName;
  /** Time since the request arrived from its caller. */
  readonly elapsedMs: number;
  /** Time that the caller waits, counted from the arrival. */
  readonly callerWaitMs: number;
  /** Configuration with which the request was accepted; undefined from earlier builds. */
  readonly configurationVersion?: number | undefined;
}

/** Reply to a forwarded request; declined if the receiver cannot serve it and has not tried. */
export type ForwardReply =
  | { readonly kind: 'handled'; readonly answer: GatewayAnswer }
  | { readonly kind: 'declined'; readonly reason: string };

interface ReplyHead {
  readonly kind: GatewayAnswer['kind'] | 'declined';
  readonly status?: number;
  readonly headers?: OutgoingHttpHeaders;
  readonly reason?: string;
  readonly retryAfterMs?: number;
}

const LENGTH_BYTES = 4;

const encodeFrame = (head: object, body: Buffer | undefined): Buffer => {
  const text = Buffer.from(JSON.stringify(head));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(text.length);
  return Buffer.concat(body === undefined ? [length, text] : [length, text, body]);
};

const decodeFrame = (data: Buffer): { readonly head: unknown; readonly body: Buffer } => {
  const end = LENGTH_BYTES + data.readUInt32BE(0);
  if (end > data.length) throw new Error('the message ends in the middle of its head');
  const head: unknown = JSON.parse(data.subarray(LENGTH_BYTES, end).toString('utf8'));
  return { head, body: data.subarray(end) };
};

const isHeaderValue = (value: unknown): boolean =>
  typeof value === 'string' ||
  (Array.isArray(value) && value.every((item) => typeof item === 'string'));

const isHeaderFields = (headers: unknown): boolean =>
  typeof headers === 'object' &&
  headers !== null &&
  !Array.isArray(headers) &&
  Object.values(headers).every(isHeaderValue);

const isVersion = (value: unknown): boolean =>
  value === undefined || isIntegerWithin(value, NO_VERSION, Number.MAX_SAFE_INTEGER);

/** Encodes a request with its body. */
export const encodeForwardedRequest = (request: ForwardedRequest): Buffer => {
  const { body, callerWaitMs, ...head } = request;
  const waitMs = Number.isFinite(callerWaitMs) ? callerWaitMs : null;
  return encodeFrame({ ...head, callerWaitMs: waitMs, hasBody: body !== undefined }, body);
};

/** Decodes a request; throws if the message is malformed. */
export const decodeForwardedRequest = (data: Buffer): ForwardedRequest => {
  const { head, body } = decodeFrame(data);
  const { hasBody, callerWaitMs, ...fields } = (head ?? {}) as Omit<
    ForwardedRequest,
    'callerWaitMs'
  > & {
    readonly hasBody: boolean;
    readonly callerWaitMs: number | null;
  };
  const texts = [fields.requestId, fields.method, fields.path, fields.service];
  const isRequest =
    texts.every((text) => typeof text === 'string') &&
    isHeaderFields(fields.headers) &&
    isVersion(fields.configurationVersion) &&
    isNumberWithin(fields.elapsedMs, 0, Number.MAX_VALUE) &&
    (callerWaitMs === null || isNumberWithin(callerWaitMs, 0, Number.MAX_VALUE));
  if (!isRequest) throw new Error('the message is not a request');
  return { ...fields, callerWaitMs: callerWaitMs ?? Infinity, body: hasBody ? body : undefined };
};

/** Encodes a reply with the body of the answer. */
export const encodeForwardReply = (reply: ForwardReply): Buffer => {
  if (reply.kind === 'declined') return encodeFrame(reply, undefined);
  if (reply.answer.kind !== 'answered') return encodeFrame(reply.answer, undefined);
  const { body, ...head } = reply.answer;
  return encodeFrame(head, body);
};

/** Decodes a reply; throws if the message is malformed. */
export const decodeForwardReply = (data: Buffer): ForwardReply => {
  const { head, body } = decodeFrame(data);
  const { kind, status = 0, headers = {}, reason = '', retryAfterMs = 0 } = head as ReplyHead;
  switch (kind) {
    case 'declined':
      return { kind, reason };
    case 'answered':
      return { kind: 'handled', answer: { kind, status, headers, body } };
    case 'refused':
      return {
        kind: 'handled',
        answer: { kind, reason: reason as RefusalReason, retryAfterMs },
      };
    case 'failed':
      return { kind: 'handled', answer: { kind, reason: reason as FailureReason } };
    case 'not-found':
      return { kind: 'handled', answer: { kind } };
    default:
      throw new Error(`unknown reply ${String(kind)}`);
  }
};
