import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import { BackendHeader, CallerHeader, formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import {
  OWN_HEADER_PREFIX,
  STRIPPED_REQUEST_HEADERS,
  STRIPPED_RESPONSE_HEADERS,
} from './constants.js';
import type { BackendRequest, ReportedLoad } from './types.js';

const LOAD_STATES = ['cold', 'warm', 'draining'] as const;

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

const parseNamedHeaders = (connection: string | undefined): readonly string[] =>
  connection === undefined ? [] : connection.split(',').map((name) => name.trim().toLowerCase());

/** Copies headers, all but the hop-by-hop ones and those that the predicate names. */
export const copyHeaders = (
  headers: IncomingHttpHeaders,
  isStripped: (name: string) => boolean,
): OutgoingHttpHeaders => {
  const copied: OutgoingHttpHeaders = {};
  // Headers that `connection` names are hop-by-hop too.
  const named = parseNamedHeaders(headers.connection);
  for (const [name, value] of Object.entries(headers)) {
    if (!isStripped(name) && !named.includes(name)) copied[name] = value;
  }
  return copied;
};

const isOwnRequestHeader = (name: string): boolean =>
  STRIPPED_REQUEST_HEADERS.has(name) || name.startsWith(OWN_HEADER_PREFIX);

const isOwnResponseHeader = (name: string): boolean =>
  STRIPPED_RESPONSE_HEADERS.has(name) || name.startsWith(OWN_HEADER_PREFIX);

/** Headers sent to a backend server. */
export const createRequestHeaders = (
  request: BackendRequest,
  endpoint: Endpoint,
): OutgoingHttpHeaders => {
  const headers = copyHeaders(request.headers, isOwnRequestHeader);
  headers.host = formatEndpoint(endpoint);
  // Without this, Node closes the connection of a request that has no agent.
  headers.connection = 'keep-alive';
  headers[BackendHeader.requestId] = request.requestId;
  headers[BackendHeader.deadlineMs] = String(request.deadlineAtWallMs);
  if (request.idempotencyKey !== undefined) {
    headers[BackendHeader.idempotencyKey] = request.idempotencyKey;
  }
  if (request.callDepth !== undefined) headers[CallerHeader.callDepth] = String(request.callDepth);
  if (request.body !== undefined) headers['content-length'] = String(request.body.length);
  return headers;
};

/** Headers passed on to the caller; the length is that of the buffered body. */
export const createResponseHeaders = (
  headers: IncomingHttpHeaders,
  bodyBytes: number | undefined,
): OutgoingHttpHeaders => {
  const copied = copyHeaders(headers, isOwnResponseHeader);
  if (bodyBytes !== undefined) copied['content-length'] = String(bodyBytes);
  return copied;
};

/** Whether a response has no body whatever its headers say (RFC 9112, 6.3). */
export const isBodyless = (method: string, status: number): boolean =>
  method === 'HEAD' || NO_BODY_STATUSES.has(status);

const readText = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const readCount = (value: string | string[] | undefined): number | undefined => {
  const text = readText(value);
  const count = text === undefined || text === '' ? NaN : Number(text);
  return Number.isInteger(count) && count >= 0 ? count : undefined;
};

/** Load that a backend server states in a response. */
export const readReportedLoad = (headers: IncomingHttpHeaders): ReportedLoad => {
  const state = readText(headers[BackendHeader.loadState]);
  return {
    instanceId: readText(headers[BackendHeader.instanceId]),
    bootId: readText(headers[BackendHeader.bootId]),
    inFlight: readCount(headers[BackendHeader.loadInFlight]),
    slots: readCount(headers[BackendHeader.loadSlots]),
    state: LOAD_STATES.find((known) => known === state),
  };
};

const KEEP_ALIVE_TIMEOUT = /(?:^|,)\s*timeout\s*=\s*"?(\d+)/i;

/** Idle time after which a backend server closes the connection; undefined when it states none. */
export const readIdleTimeoutMs = (headers: IncomingHttpHeaders): number | undefined => {
  const seconds = KEEP_ALIVE_TIMEOUT.exec(readText(headers['keep-alive']) ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1_000;
};

/** Length that a response states; undefined without one. */
export const readContentLength = (headers: IncomingHttpHeaders): number | undefined =>
  readCount(headers['content-length']);
