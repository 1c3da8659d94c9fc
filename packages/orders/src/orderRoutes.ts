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

interface Reply {
  readonly status: number;
  readonly body: Uint8Array;
}

type Route = (body: Uint8Array) => Promise<Reply> | Reply;

/** Creation parameters of the request handlers. */
export interface OrderRouteOptions {
  readonly coordinator: OrderCoordinator;
  readonly ownVmId: VmId;
}

/** Handles a request; false when its path belongs to another handler. Does not reject. */
export type OrderRequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<boolean>;

const EMPTY = new Uint8Array();

const REPORT_STATUS = {
  accepted: HttpStatus.ok,
  'wrong-incarnation': STATUS_WRONG_INCARNATION,
  unavailable: HttpStatus.unavailable,
} as const satisfies Record<ReportResult, number>;

const toReportReply = (result: ReportResult): Reply => ({
  status: REPORT_STATUS[result],
  body: EMPTY,
});

/** Reads a body; undefined when it is larger than allowed. Rejects when it is cut off. */
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

const writeReply = (response: ServerResponse, reply: Reply): void => {
  response.writeHead(reply.status, { 'content-length': reply.body.byteLength }).end(reply.body);
};

/** Refuses a request and closes its connection, on which unread input may follow. */
const refuse = (response: ServerResponse, status: number, detail: string): void => {
  if (response.headersSent || response.destroyed) return;
  response.setHeader('connection', 'close');
  writeReply(response, { status, body: Buffer.from(detail) });
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
      return toReportReply(witnessService.release(witness(incarnation), key, attempt));
    },
    [PeerPath.completions]: (body) => {
      const { incarnation, reports } = decodeCompletions(body);
      return toReportReply(witnessService.completions(witness(incarnation), reports));
    },
    [PeerPath.handovers]: (body) => {
      const { incarnation, part } = decodeHandover(body);
      return toReportReply(witnessService.handover(witness(incarnation), part));
    },
  };
  return new Map(Object.entries(routes));
};

/** Creates the handler of claims, releases, completions, takeovers and handovers. */
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
      else writeReply(response, await route(body));
    } catch (error) {
      refuse(response, HttpStatus.badRequest, describeError(error));
    }
    return true;
  };
};

/** Creates the handler of orders that other members forward to this one as home or witness. */
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
      else writeReply(response, { status: STATUS_WRONG_INCARNATION, body: EMPTY });
    } catch (error) {
      refuse(response, HttpStatus.badRequest, describeError(error));
    }
    return true;
  };
