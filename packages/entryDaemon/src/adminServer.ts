import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { describeError } from '@bronzelift/common';

import { writeJson } from './answers.js';

/** Functions that produce the documents served on the admin port. */
export interface AdminSources {
  readonly status: () => unknown;
  readonly metricsText: () => string;
  readonly metricsJson: () => unknown;
}

/** Creates the admin HTTP server: `/status`, `/metrics` (Prometheus text) and `/metrics.json`. */
export const createAdminServer = (sources: AdminSources): Server =>
  createServer((message, response) => {
    try {
      switch (message.url ?? '') {
        case '/status':
          writeJson(response, 200, sources.status());
          return;
        case '/metrics.json':
          writeJson(response, 200, sources.metricsJson());
          return;
        case '/metrics':
          response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          response.end(sources.metricsText());
          return;
        default:
          writeJson(response, 404, { message: 'use /status, /metrics or /metrics.json' });
      }
    } catch (error) {
      writeJson(response, 500, { message: describeError(error) });
    }
  });
