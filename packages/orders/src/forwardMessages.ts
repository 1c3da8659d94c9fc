import { CallerHeader, PeerHeader } from '@bronzelift/common';

import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { MemberId } from '@bronzelift/common';
import { ForwardHeader, PeerPath } from './constants.js';

import type { PeerCallResult } from './peerCall.js';
import type { ForwardKind, HeaderMap, OrderAnswer, OrderRequest, StoredAnswer } from './types.js';

/** Headers that apply to a single connection and are not forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const FORWARD_HEADERS: ReadonlySet<string> = new Set(Object.values(ForwardHeader));

const FORWARD_PATTERN = /^\/peer\/v1\/forward\/(home|witness)(\/.*)$/;

const HTTP_OK = 200;

/** Selects the headers that may be forwarded on another connection. */
export const selectForwardableHeaders = (headers: HeaderMap | IncomingHttpHeaders): HeaderMap => {
  const forwardable: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !CONNECTION_HEADERS.has(name)) forwardable[name] = value;
  }
  return forwardable;
};

/** URL path of a forwarded order: the role of the receiver followed by the original path. */
export const toForwardPath = (kind: ForwardKind, path: string): string =>
  `${PeerPath.forward}/${kind}${path}`;

/** Extracts role and original path from the URL of a forwarded order; undefined for other URLs. */
export const parseForwardPath = (url: string): { kind: ForwardKind; path: string } | undefined => {
  const match = FORWARD_PATTERN.exec(url);
  const path = match?.[2];
  if (path === undefined) return undefined;
  return { kind: match?.[1] === 'home' ? 'home' : 'witness', path };
};

/** Adds key, deadline and expected incarnation of the receiver to the headers of an order. */
export const toForwardHeaders = (member: MemberId, request: OrderRequest): HeaderMap => ({
  ...selectForwardableHeaders(request.headers),
  [CallerHeader.idempotencyKey]: request.key,
  [PeerHeader.targetIncarnation]: member.incarnation,
  [PeerHeader.deadlineAtMs]: String(request.deadlineAtMs),
});

/** Reads a forwarded order; undefined when the key or the deadline header is missing. */
export const toForwardedOrder = (
  method: string,
  path: string,
  headers: IncomingHttpHeaders,
  body: Uint8Array,
): OrderRequest | undefined => {
  const key = headers[CallerHeader.idempotencyKey];
  const deadlineAtMs = Number(headers[PeerHeader.deadlineAtMs]);
  if (typeof key !== 'string' || !Number.isFinite(deadlineAtMs)) return undefined;
  return { key, method, path, headers: selectForwardableHeaders(headers), body, deadlineAtMs };
};

const writeStoredAnswer = (response: ServerResponse, answer: StoredAnswer): void => {
  const body = answer.body ?? new Uint8Array();
  for (const [name, value] of Object.entries(selectForwardableHeaders(answer.headers))) {
    response.setHeader(name, value);
  }
  response.setHeader(ForwardHeader.kind, 'stored');
  response.setHeader(ForwardHeader.status, answer.status);
  response.writeHead(HTTP_OK, { 'content-length': body.byteLength }).end(body);
};

/** Writes the answer to a forwarded order: a stored response as it is, anything else as JSON. */
export const writeForwardAnswer = (response: ServerResponse, answer: OrderAnswer): void => {
  if (answer.outcome === 'ran' && answer.code === 'answered') {
    writeStoredAnswer(response, answer.answer);
    return;
  }
  const body = Buffer.from(JSON.stringify(answer));
  response.setHeader(ForwardHeader.kind, 'decided');
  response.setHeader('content-type', 'application/json');
  response.writeHead(HTTP_OK, { 'content-length': body.byteLength }).end(body);
};

const toOptionalNumber = (value: unknown): number | undefined =>
  typeof value === 'number' ? value : undefined;

const parseDecidedAnswer = (body: Uint8Array): OrderAnswer | undefined => {
  const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Record<string, unknown>;
  const code = String(fields.code);
  const retryAfterMs = toOptionalNumber(fields.retryAfterMs);
  const newTicket = typeof fields.newTicket === 'string' ? fields.newTicket : undefined;
  switch (fields.outcome) {
    case 'ran':
      return { outcome: 'ran', code: 'answer-not-kept' };
    case 'not-run':
      return { outcome: 'not-run', code, retryAfterMs: retryAfterMs ?? 0, newTicket };
    case 'unknown':
      return { outcome: 'unknown', code, retryAfterMs };
    default:
      return undefined;
  }
};

/** Reads the answer to a forwarded order; undefined when the response is not a valid answer. */
export const readForwardAnswer = (
  response: PeerCallResult & { kind: 'response' },
): OrderAnswer | undefined => {
  const { body } = response;
  const kind = response.headers[ForwardHeader.kind];
  if (kind === 'decided') return parseDecidedAnswer(body);
  const status = Number(response.headers[ForwardHeader.status]);
  if (kind !== 'stored' || !Number.isInteger(status)) return undefined;
  const headers = Object.fromEntries(
    Object.entries(selectForwardableHeaders(response.headers)).filter(
      ([name]) => !FORWARD_HEADERS.has(name),
    ),
  );
  return { outcome: 'ran', code: 'answered', answer: { status, headers, body } };
};
