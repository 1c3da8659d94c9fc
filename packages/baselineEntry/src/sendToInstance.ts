import type { Agent, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request as httpRequest } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { BackendHeader } from '@bronzelift/common';

import type { BaselineAttempt, BaselineRequest } from './types.js';

const headersOf = (work: BaselineRequest): OutgoingHttpHeaders => ({
  [BackendHeader.deadlineMs]: String(Math.floor(work.deadlineAtMs)),
  [BackendHeader.requestId]: work.requestId,
  'content-length': work.body.length,
  ...(work.idempotencyKey === undefined
    ? {}
    : { [BackendHeader.idempotencyKey]: work.idempotencyKey }),
  ...(work.contentType === undefined ? {} : { 'content-type': work.contentType }),
});

const collect = async (message: IncomingMessage): Promise<BaselineAttempt> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  if (!message.complete) return { kind: 'unknown', code: 'backend-failed' };
  if (message.headers[BackendHeader.notRun] === '1') return { kind: 'not-run' };
  const { statusCode = 502, headers } = message;
  return { kind: 'ran', status: statusCode, headers, body: Buffer.concat(chunks) };
};

/** Sends a request to an instance once; never rejects. */
export const sendToInstance = (
  agent: Agent,
  address: Endpoint,
  work: BaselineRequest,
): Promise<BaselineAttempt> =>
  new Promise((resolve) => {
    let connected = false;
    let timedOut = false;
    const request = httpRequest({
      agent,
      host: address.host,
      port: address.port,
      method: work.method,
      path: work.path,
      headers: headersOf(work),
    });
    const abort = (): void => {
      request.destroy(new Error('the caller went away'));
    };
    const timer = setTimeout(
      () => {
        timedOut = true;
        request.destroy(new Error('no response in time'));
      },
      Math.max(1, work.deadlineAtMs - Date.now()),
    );
    const finish = (attempt: BaselineAttempt): void => {
      clearTimeout(timer);
      work.signal.removeEventListener('abort', abort);
      resolve(attempt);
    };
    const fail = (): void => {
      if (connected) finish({ kind: 'unknown', code: timedOut ? 'timeout' : 'backend-failed' });
      else finish({ kind: 'not-run' });
    };
    work.signal.addEventListener('abort', abort, { once: true });
    request.on('socket', (socket) => {
      if (!socket.connecting) connected = true;
      else
        socket.once('connect', () => {
          connected = true;
        });
    });
    request.on('error', fail);
    request.on('response', (message) => {
      collect(message).then(finish, fail);
    });
    request.end(work.body);
  });
