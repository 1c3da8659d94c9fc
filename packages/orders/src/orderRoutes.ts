import { PeerHeader, describeError } from '@bronzelift/common';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemberId, VmId } from '@bronzelift/common';
import {
  MAX_MESSAGE_BYTES,
  MAX_ORDER_BODY_BYTES,
  PeerPath,
  STATUS_WRONG_INCARNATION,
} from './constants.js';
import { parseForwardPath, toForwardedOrder, writeForwardAnswer } from './forwardMessages.js';
import {
  decodeClaim,
  decodeCompletions,
  decodeHandover,
  decodeRelease,
  decodeTakeover,
  encodeClaimResult,
  encodeTakeoverResult,
} from './peerMessages.js';

import type { OrderCoordinator } from './orderCoordinator.js';
import type { ReportResult } from './types.js';

const HttpStatus = {
  ok: 200,
  badRequest: 400,
  methodNotAllowed: 405,
  tooLarge: 413,
  unavailable: 503,
} as const;

interface RouteResponse {
  readonly status: number;
  readonly body: Uint8Array;
}

type Route = (body: Uint8Array) => Promise<RouteResponse> | RouteResponse;

/** Coordinator that handles the decoded messages, and the id of this VM. */
export interface OrderRouteOptions {
  readonly coordinator: OrderCoordinator;
  readonly ownVmId: VmId;
}

/** Handles a request; resolves to false when it does not serve the path. Never rejects. */
export type OrderRequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<boolean>;

const EMPTY_BODY = new Uint8Array();

const REPORT_STATUS = {
  accepted: HttpStatus.ok,
  'wrong-incarnation': STATUS_WRONG_INCARNATION,
  unavailable: HttpStatus.unavailable,
} as const satisfies Record<ReportResult, number>;

const toReportResponse = (result: ReportResult): RouteResponse => ({
  status: REPORT_STATUS[result],
  body: EMPTY_BODY,
});

/** Reads a body; undefined when it is too large. Rejects when the connection closes too early. */
const readBody = (request: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> =>
  new Promise((resolve, reject) => {
    const chunks: Uint8Array[] = [];
    let size = 0;
    request.on('data', (chunk: Uint8Array) => {
      size += chunk.byteLength;
      if (size <= maxBytes) chunks.push(chunk);
      else resolve(undefined);
    });
    request.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    request.on('error', reject);
    request.on('close', () => reject(new Error('request was cut off')));
  });

const writeResponse = (response: ServerResponse, routeResponse: RouteResponse): void => {
  response
    .writeHead(routeResponse.status, { 'content-length': routeResponse.body.byteLength })
    .end(routeResponse.body);
};

/** Refuses a request and closes its connection, because the body may not have been read. */
const refuse = (response: ServerResponse, status: number, detail: string): void => {
  if (response.headersSent || response.destroyed) return;
  response.setHeader('connection', 'close');
  writeResponse(response, { status, body: Buffer.from(detail) });
};

const createRoutes = (options: OrderRouteOptions): ReadonlyMap<string, Route> => {
  const { witnessService } = options.coordinator;
  const witness = (incarnation: string): MemberId => ({ vmId: options.ownVmId, incarnation });
  const routes: Record<string, Route> = {
    [PeerPath.claims]: (body) => {
      const result = witnessService.claim(decodeClaim(body));
      return { status: HttpStatus.ok, body: encodeClaimResult(result) };
    },
    [PeerPath.takeovers]: async (body) => {
      const { key, requestHash } = decodeTakeover(body);
      const result = await witnessService.takeover(key, requestHash);
      return { status: HttpStatus.ok, body: encodeTakeoverResult(result) };
    },
    [PeerPath.releases]: (body) => {
      const { key, incarnation, attempt } = decodeRelease(body);
      return toReportResponse(witnessService.release(witness(incarnation), key, attempt));
    },
    [PeerPath.completions]: (body) => {
      const { incarnation, reports } = decodeCompletions(body);
      return toReportResponse(witnessService.completions(witness(incarnation), reports));
    },
    [PeerPath.handovers]: (body) => {
      const { incarnation, part } = decodeHandover(body);
      return toReportResponse(witnessService.handover(witness(incarnation), part));
    },
  };
  return new Map(Object.entries(routes));
};

/** Handles the protobuf messages about orders: claims, takeovers, releases and other reports. */
export const createOrderRoutes = (options: OrderRouteOptions): OrderRequestHandler => {
  const routes = createRoutes(options);
  return async (request, response) => {
    const route = routes.get(request.url ?? '');
    if (route === undefined) return false;
    try {
      if (request.method !== 'POST') {
        refuse(response, HttpStatus.methodNotAllowed, 'POST expected');
        return true;
      }
      const body = await readBody(request, MAX_MESSAGE_BYTES);
      if (body === undefined) refuse(response, HttpStatus.tooLarge, 'message too large');
      else writeResponse(response, await route(body));
    } catch (error) {
      refuse(response, HttpStatus.badRequest, describeError(error));
    }
    return true;
  };
};

/** Handles orders that other members forward to this one as their home or witness. */
export const createForwardHandler =
  (options: OrderRouteOptions): OrderRequestHandler =>
  async (request, response) => {
    const target = parseForwardPath(request.url ?? '');
    if (target === undefined) return false;
    try {
      const body = await readBody(request, MAX_ORDER_BODY_BYTES);
      if (body === undefined) {
        refuse(response, HttpStatus.tooLarge, 'order too large');
        return true;
      }
      const order = toForwardedOrder(request.method ?? '', target.path, request.headers, body);
      if (order === undefined) {
        refuse(response, HttpStatus.badRequest, `no key or no ${PeerHeader.deadlineAtMs}`);
        return true;
      }
      const result = await options.coordinator.handleForwarded(target.kind, order);
      if (result.kind === 'answered') writeForwardAnswer(response, result.answer);
      else writeResponse(response, { status: STATUS_WRONG_INCARNATION, body: EMPTY_BODY });
    } catch (error) {
      refuse(response, HttpStatus.badRequest, describeError(error));
    }
    return true;
  };
