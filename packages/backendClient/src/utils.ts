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

const parseConnectionHeader = (connection: string | undefined): readonly string[] =>
  connection === undefined ? [] : connection.split(',').map((name) => name.trim().toLowerCase());

/** Copies headers, except those that `connection` lists and those that `isStripped` selects. */
export const copyHeaders = (
  headers: IncomingHttpHeaders,
  isStripped: (name: string) => boolean,
): OutgoingHttpHeaders => {
  const copied: OutgoingHttpHeaders = {};
  // Headers listed in `connection` are hop-by-hop too.
  const hopByHopNames = parseConnectionHeader(headers.connection);
  for (const [name, value] of Object.entries(headers)) {
    if (!isStripped(name) && !hopByHopNames.includes(name)) copied[name] = value;
  }
  return copied;
};

const isStrippedRequestHeader = (name: string): boolean =>
  STRIPPED_REQUEST_HEADERS.has(name) || name.startsWith(OWN_HEADER_PREFIX);

const isStrippedResponseHeader = (name: string): boolean =>
  STRIPPED_RESPONSE_HEADERS.has(name) || name.startsWith(OWN_HEADER_PREFIX);

/** Creates the headers of a request to a backend server, from those of the caller. */
export const createRequestHeaders = (
  request: BackendRequest,
  endpoint: Endpoint,
): OutgoingHttpHeaders => {
  const headers = copyHeaders(request.headers, isStrippedRequestHeader);
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

/** Creates the headers passed on to the caller; the content length is that of the buffered body. */
export const createResponseHeaders = (
  headers: IncomingHttpHeaders,
  bodyBytes: number | undefined,
): OutgoingHttpHeaders => {
  const copied = copyHeaders(headers, isStrippedResponseHeader);
  if (bodyBytes !== undefined) copied['content-length'] = String(bodyBytes);
  return copied;
};

/** Whether a response has no body, regardless of its headers (RFC 9112, 6.3). */
export const isBodyless = (method: string, status: number): boolean =>
  method === 'HEAD' || NO_BODY_STATUSES.has(status);

const readFirstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const parseCount = (value: string | string[] | undefined): number | undefined => {
  const text = readFirstValue(value);
  const count = text === undefined || text === '' ? NaN : Number(text);
  return Number.isInteger(count) && count >= 0 ? count : undefined;
};

/** Reads the load that a backend server reported in the headers of a response. */
export const readReportedLoad = (headers: IncomingHttpHeaders): ReportedLoad => {
  const state = readFirstValue(headers[BackendHeader.loadState]);
  return {
    instanceId: readFirstValue(headers[BackendHeader.instanceId]),
    bootId: readFirstValue(headers[BackendHeader.bootId]),
    inFlight: parseCount(headers[BackendHeader.loadInFlight]),
    slots: parseCount(headers[BackendHeader.loadSlots]),
    state: LOAD_STATES.find((loadState) => loadState === state),
  };
};

const KEEP_ALIVE_TIMEOUT = /(?:^|,)\s*timeout\s*=\s*"?(\d+)/i;

/** Reads the idle timeout that a backend server sent for the connection; undefined if none. */
export const readIdleTimeoutMs = (headers: IncomingHttpHeaders): number | undefined => {
  const seconds = KEEP_ALIVE_TIMEOUT.exec(readFirstValue(headers['keep-alive']) ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1_000;
};

/** Reads the content length of a response; undefined if missing or invalid. */
export const readContentLength = (headers: IncomingHttpHeaders): number | undefined =>
  parseCount(headers['content-length']);
