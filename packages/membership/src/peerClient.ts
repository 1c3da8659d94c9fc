import { Agent } from 'node:http';
import { connect } from 'node:net';

import { formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';
import { PeerService } from '@bronzelift/protocol';
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

const REFUSED_ERROR_CODE = 'ECONNREFUSED';

/** RPC client of one peer, with a separate connection. */
export interface PeerClient {
  readonly client: Client<typeof PeerService>;
  /** Closes the connection and fails the calls in progress. */
  readonly close: () => void;
}

/** Creates a client that opens its connection with the first call. */
export const createPeerClient = (endpoint: Endpoint): PeerClient => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const transport = createConnectTransport({
    baseUrl: `http://${formatEndpoint(endpoint)}`,
    // The same port serves plain HTTP/1.1 requests of peers.
    httpVersion: '1.1',
    nodeOptions: { agent },
    // Heartbeats are too small to gain from compression.
    acceptCompression: [],
  });
  return { client: createClient(PeerService, transport), close: () => agent.destroy() };
};

/** Whether an error or one of its causes is a refused connection. */
export const isRefusedConnectionError = (error: unknown): boolean => {
  let cause = error;
  // Errors are nested a few levels deep; the limit protects against cyclic causes.
  for (let depth = 0; depth < 8 && cause instanceof Error; depth++) {
    if ('code' in cause && cause.code === REFUSED_ERROR_CODE) return true;
    cause = cause.cause;
  }
  return false;
};

/** Opens and closes a TCP connection; true if it is refused, false on success or other errors. */
export const isConnectionRefused = async (
  endpoint: Endpoint,
  timeoutMs: number,
): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect({ host: endpoint.host, port: endpoint.port, timeout: timeoutMs });
    const finish = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error) => finish(isRefusedConnectionError(error)));
  });
