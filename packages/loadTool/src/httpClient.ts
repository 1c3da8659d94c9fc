import { request } from 'node:http';
import type { Agent, IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { Endpoint } from '@bronzelift/common';

import { CONNECT_TIMEOUT_MS } from './constants.js';

/** One request to one endpoint. */
export interface Outgoing {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeoutMs: number;
  readonly agent: Agent;
}

/** What became of one attempt. Only `connect-failed` proves that nothing was sent. */
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

/** Code of an attempt that ended by its time limit. */
export const TIMEOUT_CODE = 'timeout';

const readAnswer = (incoming: IncomingMessage, settle: (attempt: Attempt) => void): void => {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  // The close that follows an error settles the attempt.
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

/** Sends a request and waits for the whole response; never rejects. */
export const sendRequest = (outgoing: Outgoing): Promise<Attempt> =>
  new Promise((resolve) => {
    const { endpoint, method, path, headers, body, timeoutMs, agent } = outgoing;
    const sent = request({ ...endpoint, method, path, headers, agent });
    let connected = false;
    let answering = false;
    const timers: NodeJS.Timeout[] = [];
    const settle = (attempt: Attempt): void => {
      timers.forEach((timer) => clearTimeout(timer));
      resolve(attempt);
    };
    const fail = (code: string): void => {
      if (!connected) settle({ kind: 'connect-failed', code });
      else settle({ kind: 'no-answer', code, reusedConnection: sent.reusedSocket });
    };
    const expire = (): void => {
      if (answering) settle({ kind: 'incomplete' });
      else fail(TIMEOUT_CODE);
      sent.destroy();
    };
    timers.push(setTimeout(expire, timeoutMs));
    timers.push(
      setTimeout(() => {
        if (!connected) expire();
      }, CONNECT_TIMEOUT_MS),
    );
    sent.on('socket', (socket) => {
      connected = !socket.connecting;
      if (connected) return;
      socket.once('connect', () => {
        connected = true;
      });
    });
    sent.on('response', (incoming) => {
      answering = true;
      readAnswer(incoming, settle);
    });
    sent.on('error', (error: NodeJS.ErrnoException) => {
      if (!answering) fail(error.code ?? error.message);
    });
    sent.end(body);
  });
