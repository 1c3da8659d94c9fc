import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { describeError } from '@bronzelift/common';

import { closeServer, listenOn, sendJson } from './utils.js';

/** Handles a request to a stand-in; a rejected promise becomes a 500 response. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Creates an HTTP server without timeouts, so that only requested faults close connections. */
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

/** HTTP server on one port of a stand-in. */
export class StandinServer {
  private constructor(private readonly server: Server) {}

  /** Creates a server that accepts no connections before `listen`. */
  static create(handle: RequestHandler): StandinServer {
    return new StandinServer(createStandinHttpServer(handle));
  }

  /** Opens the port (0 selects a free one) and returns the address in use. */
  listen(port: number, host = '127.0.0.1'): Promise<Endpoint> {
    return listenOn(this.server, port, host);
  }

  /** Closes the port and all connections, open requests included. */
  close(): Promise<void> {
    return closeServer(this.server);
  }
}
