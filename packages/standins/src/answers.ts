import type { ServerResponse } from 'node:http';

import { CUT_RESET_DELAY_MS } from './constants.js';

/** Complete response to a request that ran. */
export interface Answer {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const writeHead = (response: ServerResponse, answer: Answer): void => {
  response.writeHead(200, {
    ...answer.headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(answer.body),
  });
};

/** Sends an answer unless the connection is already closed. */
export const sendAnswer = (response: ServerResponse, answer: Answer): void => {
  if (response.destroyed) return;
  writeHead(response, answer);
  response.end(answer.body);
};

/** Announces the full length, sends half of the body and resets the connection. */
export const sendCutAnswer = (response: ServerResponse, answer: Answer): void => {
  if (response.destroyed) return;
  writeHead(response, answer);
  response.write(answer.body.slice(0, answer.body.length / 2));
  setTimeout(() => response.socket?.resetAndDestroy(), CUT_RESET_DELAY_MS);
};
