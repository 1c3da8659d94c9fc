import type { ServerResponse } from 'node:http';
import type { Writable } from 'node:stream';

import { ENDLESS_PIECES, TRUNCATED_ANSWER_RESET_DELAY_MS } from './constants.js';

/** Headers and body of the response to a request that ran. */
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

/** Sends a response unless the connection is already closed. */
export const sendAnswer = (response: ServerResponse, answer: Answer): void => {
  if (response.destroyed) return;
  writeHead(response, answer);
  response.end(answer.body);
};

/** Announces the full content length but sends half of the body, then resets the connection. */
export const sendTruncatedAnswer = (response: ServerResponse, answer: Answer): void => {
  if (response.destroyed) return;
  writeHead(response, answer);
  response.write(answer.body.slice(0, answer.body.length / 2));
  setTimeout(() => response.socket?.resetAndDestroy(), TRUNCATED_ANSWER_RESET_DELAY_MS);
};

const writeEndlessly = (writable: Writable, piece: string): void => {
  const data = Buffer.from(piece.repeat(ENDLESS_PIECES));
  const writeMore = (): void => {
    while (!writable.destroyed && writable.write(data));
  };
  writable.on('drain', writeMore);
  writeMore();
};

/** Writes blank lines in place of a response until the client closes the connection. */
export const sendEndlessHead = (response: ServerResponse): void => {
  if (response.socket) writeEndlessly(response.socket, '\r\n');
};

/** Sends a body in chunks until the client closes the connection. */
export const sendEndlessBody = (response: ServerResponse, answer: Answer): void => {
  if (response.destroyed) return;
  response.writeHead(200, answer.headers);
  writeEndlessly(response, answer.body);
};
