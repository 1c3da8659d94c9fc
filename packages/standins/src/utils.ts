import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { StepError, formatEndpoint } from '@bronzelift/common';

import { MAX_BODY_BYTES } from './constants.js';

/** Returns the path of a request without its query. */
export const getPath = (request: IncomingMessage): string => (request.url ?? '/').split('?')[0]!;

/** Parses the query parameters of a request. */
export const getQuery = (request: IncomingMessage): URLSearchParams =>
  new URL(request.url ?? '/', 'http://standin').searchParams;

/** Returns the value of a header, or the first value when the header is repeated. */
export const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Reads a whole request body as text; rejects when it is too large or the connection closes. */
export const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw StepError.create('read request body', 'caller', `more than ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** Sends a JSON response unless the connection is already closed. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  if (response.destroyed || response.headersSent) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

/** Parses JSON; returns undefined when the text is not JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Opens a port (0 selects a free one) and returns the address in use. */
export const listenOn = (server: Server, port: number, host: string): Promise<Endpoint> =>
  new Promise((resolve, reject) => {
    const fail = (cause: Error): void => {
      reject(StepError.create('listen', formatEndpoint({ host, port }), cause.message, cause));
    };
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      const address = server.address();
      resolve({ host, port: typeof address === 'object' && address ? address.port : port });
    });
  });

/** Closes the port and all connections of a server; resolves when both are closed. */
export const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
