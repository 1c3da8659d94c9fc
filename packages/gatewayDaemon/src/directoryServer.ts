import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { ADDRESS_TTL_MS } from './constants.js';
import type { MemberTable } from './memberTable.js';
import type { GatewayProtocol } from './types.js';

/** Dependencies of the readiness server and the directory server. */
export interface DirectoryOptions {
  readonly protocol: GatewayProtocol;
  readonly members: MemberTable;
  readonly isReady: () => boolean;
  readonly maxTtlMs: number;
}

/** Creates the HTTP server that reports whether this entry VM accepts callers' requests. */
export const createReadinessServer = ({ protocol, isReady }: DirectoryOptions): Server =>
  createServer((message: IncomingMessage, response: ServerResponse) => {
    if (!protocol.isReadinessPath(message.url ?? '/')) response.writeHead(404);
    else response.writeHead(isReady() ? 200 : 503);
    response.end();
  });

/** Creates the HTTP server that returns the addresses at which a caller can connect. */
export const createDirectoryServer = (options: DirectoryOptions): Server =>
  createServer((message: IncomingMessage, response: ServerResponse) => {
    const location = options.protocol.readAddressQuery(message.url ?? '/');
    if (location === undefined) {
      response.writeHead(404).end();
      return;
    }
    const endpoints = options.members.selectAddresses(location);
    if (endpoints.length === 0) {
      response.writeHead(503).end();
      return;
    }
    const ttlMs = Math.min(ADDRESS_TTL_MS, options.maxTtlMs);
    const body = options.protocol.formatAddresses({ endpoints, ttlMs });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  });
