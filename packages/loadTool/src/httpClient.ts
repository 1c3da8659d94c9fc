import { request } from 'node:http';
import type { Agent, IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { Endpoint } from '@bronzelift/common';

import { CONNECT_TIMEOUT_MS } from './constants.js';

/** Parameters of one HTTP request; `timeoutMs` covers the time until the response is complete. */
export interface OutgoingRequest {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeoutMs: number;
  readonly agent: Agent;
}

/** Result of one attempt. Only `connect-failed` proves that nothing was sent. */
export type Attempt =
  | { readonly kind: 'connect-failed'; readonly code: string }
  | { readonly kind: 'no-answer'; readonly code: string; readonly reusedConnection: boolean }
  | { readonly kind: 'incomplete' }
  | {
      readonly kind: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: string;
    };

/** `code` of an attempt that timed out. */
export const TIMEOUT_CODE = 'timeout';

const readResponse = (incoming: IncomingMessage, settle: (attempt: Attempt) => void): void => {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  // The 'close' event that follows an error settles the attempt.
  incoming.on('error', () => undefined);
  incoming.on('close', () => {
    if (!incoming.complete) {
      settle({ kind: 'incomplete' });
      return;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    settle({ kind: 'answer', status: incoming.statusCode ?? 0, headers: incoming.headers, body });
  });
};

/** Sends a request and reads the whole response; never rejects. */
export const sendRequest = (outgoing: OutgoingRequest): Promise<Attempt> =>
  new Promise((resolve) => {
    const { endpoint, method, path, headers, body, timeoutMs, agent } = outgoing;
    const clientRequest = request({ ...endpoint, method, path, headers, agent });
    let isConnected = false;
    let hasResponseStarted = false;
    const timers: NodeJS.Timeout[] = [];
    const settle = (attempt: Attempt): void => {
      timers.forEach((timer) => clearTimeout(timer));
      resolve(attempt);
    };
    const handleFailure = (code: string): void => {
      if (!isConnected) settle({ kind: 'connect-failed', code });
      else settle({ kind: 'no-answer', code, reusedConnection: clientRequest.reusedSocket });
    };
    const handleTimeout = (): void => {
      if (hasResponseStarted) settle({ kind: 'incomplete' });
      else handleFailure(TIMEOUT_CODE);
      clientRequest.destroy();
    };
    timers.push(setTimeout(handleTimeout, timeoutMs));
    timers.push(
      setTimeout(() => {
        if (!isConnected) handleTimeout();
      }, CONNECT_TIMEOUT_MS),
    );
    clientRequest.on('socket', (socket) => {
      isConnected = !socket.connecting;
      if (isConnected) return;
      socket.once('connect', () => {
        isConnected = true;
      });
    });
    clientRequest.on('response', (incoming) => {
      hasResponseStarted = true;
      readResponse(incoming, settle);
    });
    clientRequest.on('error', (error: NodeJS.ErrnoException) => {
      if (!hasResponseStarted) handleFailure(error.code ?? error.message);
    });
    clientRequest.end(body);
  });
