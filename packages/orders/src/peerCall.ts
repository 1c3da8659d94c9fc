import { Agent, request as createRequest } from 'node:http';

import type {
  ClientRequest,
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
} from 'node:http';
import type { Endpoint } from '@bronzelift/common';
import { CONNECT_TIMEOUT_MS } from './constants.js';

import type { HeaderMap } from './types.js';

/** One HTTP request to another member; the timeout starts when the connection is established. */
export interface PeerCall {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

/** Result of a request to another member; an incomplete response counts as `no-response`. */
export type PeerCallResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Uint8Array;
    }
  /** No connection was established, so the other member has not seen the request. */
  | { readonly kind: 'not-reached' }
  | { readonly kind: 'no-response' };

/** Creates an HTTP agent that reuses the most recently used keep-alive connection first. */
export const createPeerAgent = (maxSockets: number): Agent =>
  new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });

/** Closes the idle connections to a peer, as they may be as unresponsive as the one just used. */
export const closeIdleConnections = (agent: Agent, endpoint: Endpoint): void => {
  const prefix = `${endpoint.host}:${endpoint.port}:`;
  for (const [name, sockets] of Object.entries(agent.freeSockets)) {
    if (name.startsWith(prefix)) sockets?.forEach((socket) => socket.destroy());
  }
};

const isCompleteResponse = (response: IncomingMessage, body: Uint8Array): boolean => {
  const expected = response.headers['content-length'];
  return response.complete && (expected === undefined || Number(expected) === body.byteLength);
};

const readResponse = (
  response: IncomingMessage,
  resolve: (result: PeerCallResult) => void,
): void => {
  const chunks: Uint8Array[] = [];
  response.on('data', (chunk: Uint8Array) => chunks.push(chunk));
  response.on('error', () => resolve({ kind: 'no-response' }));
  response.on('close', () => resolve({ kind: 'no-response' }));
  response.on('end', () => {
    const body = Buffer.concat(chunks);
    if (!isCompleteResponse(response, body)) {
      resolve({ kind: 'no-response' });
      return;
    }
    const { headers, statusCode: status = 0 } = response;
    resolve({ kind: 'response', status, headers, body });
  });
};

/** Calls `onConnect` once the request has an established connection. */
const watchConnection = (request: ClientRequest, onConnect: () => void): void => {
  request.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', onConnect);
    else onConnect();
  });
};

/** Sends one request, on a new connection if there is no agent. Never rejects. */
export const callPeer = (call: PeerCall, agent: Agent | undefined): Promise<PeerCallResult> =>
  new Promise((resolve) => {
    let isConnected = false;
    const { host, port } = call.endpoint;
    const headers = {
      ...call.headers,
      'content-length': call.body.byteLength,
    } as OutgoingHttpHeaders;
    const { method, path } = call;
    const request = createRequest({ host, port, method, path, headers, agent: agent ?? false });
    const settle = (): void => resolve({ kind: isConnected ? 'no-response' : 'not-reached' });
    const fail = (): void => {
      request.destroy();
      settle();
    };
    let timer = setTimeout(fail, Math.min(CONNECT_TIMEOUT_MS, call.timeoutMs));
    watchConnection(request, () => {
      isConnected = true;
      clearTimeout(timer);
      timer = setTimeout(fail, call.timeoutMs);
    });
    request.on('response', (response) => readResponse(response, resolve));
    request.on('error', fail);
    request.on('close', () => {
      clearTimeout(timer);
      settle();
    });
    request.end(call.body);
  });
