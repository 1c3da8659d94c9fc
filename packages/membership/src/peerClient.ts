import { connect } from 'node:net';

import { formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';
import { PeerService } from '@bronzelift/protocol';
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { Http2SessionManager, createConnectTransport } from '@connectrpc/connect-node';

const REFUSED = 'ECONNREFUSED';

/** Client of one peer, with a connection of its own. */
export interface PeerClient {
  readonly client: Client<typeof PeerService>;
  /** Closes the connection and ends the calls in progress. */
  readonly close: () => void;
}

/** Creates a client; the connection is opened with the first call. */
export const createPeerClient = (endpoint: Endpoint): PeerClient => {
  const baseUrl = `http://${formatEndpoint(endpoint)}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    // Heartbeats are too small to gain from compression.
    acceptCompression: [],
  });
  return { client: createClient(PeerService, transport), close: () => sessionManager.abort() };
};

/** Whether an error was caused by a refused connection. */
export const isRefusal = (error: unknown): boolean => {
  let cause = error;
  // Errors are nested a few levels deep; the bound ends a cycle.
  for (let depth = 0; depth < 8 && cause instanceof Error; depth++) {
    if ('code' in cause && cause.code === REFUSED) return true;
    cause = cause.cause;
  }
  return false;
};

/** Opens a TCP connection and closes it; true when it is refused. */
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
    socket.once('error', (error) => finish(isRefusal(error)));
  });
