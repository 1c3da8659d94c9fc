import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

import type { Endpoint } from '@bronzelift/common';

/** Received response; `complete` is false when its body was truncated. */
export interface Received {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly complete: boolean;
}

/** Optional parts of a test request; defaults to GET on a new connection. */
export interface SendOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** Sends a request; rejects when the connection ends before the response headers. */
export const send = (
  endpoint: Endpoint,
  path: string,
  options: SendOptions = {},
): Promise<Received> =>
  new Promise((resolve, reject) => {
    const { body, agent = new Agent(), ...rest } = options;
    let responded = false;
    const outgoing = request({ ...endpoint, path, agent, ...rest }, (incoming) => {
      responded = true;
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      incoming.on('error', () => undefined);
      incoming.on('close', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          complete: incoming.complete,
        }),
      );
    });
    // Once the response headers have arrived, its 'close' event resolves the promise.
    outgoing.on('error', (error) => {
      if (!responded) reject(error);
    });
    outgoing.end(body);
  });

/** Sends a value as JSON in a POST request. */
export const post = (
  endpoint: Endpoint,
  path: string,
  value: unknown,
  headers: Record<string, string> = {},
): Promise<Received> =>
  send(endpoint, path, { method: 'POST', headers, body: JSON.stringify(value) });

/** Whether a promise is still pending after `waitMs`. */
export const isPendingAfter = async (promise: Promise<unknown>, waitMs: number): Promise<boolean> =>
  Promise.race([
    promise.then(
      () => false,
      () => false,
    ),
    new Promise<boolean>((resolve) => {
      setTimeout(() => resolve(true), waitMs);
    }),
  ]);

/** Returns the code of the error that a promise rejects with; undefined when it resolves. */
export const catchErrorCode = (promise: Promise<unknown>): Promise<string | undefined> =>
  promise.then(
    () => undefined,
    (error: NodeJS.ErrnoException) => error.code,
  );
