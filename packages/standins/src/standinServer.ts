import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { describeError } from '@bronzelift/common';

import { closeServer, listenOn, sendJson } from './utils.js';

/** Handles one request of a stand-in; a thrown error becomes a response 500. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** HTTP server without idle or request timeouts, so that only requested faults close connections. */
export const createStandinHttpServer = (handle: RequestHandler): Server => {
  const server = createServer((request, response) => {
    handle(request, response).catch((error: unknown) => {
      sendJson(response, 500, { code: 'standin-error', message: describeError(error) });
    });
  });
  server.keepAliveTimeout = 0;
  server.requestTimeout = 0;
  server.headersTimeout = 0;
  return server;
};

/** One port of a stand-in. */
export class StandinServer {
  private constructor(private readonly server: Server) {}

  /** Creates a server that is not listening yet. */
  static create(handle: RequestHandler): StandinServer {
    return new StandinServer(createStandinHttpServer(handle));
  }

  /** Opens the port; 0 takes any free one. */
  listen(port: number, host = '127.0.0.1'): Promise<Endpoint> {
    return listenOn(this.server, port, host);
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    return closeServer(this.server);
  }
}
