import type { Agent, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request as httpRequest } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { BackendHeader } from '@bronzelift/common';

import type { BaselineAttemptResult, BaselineRequest } from './types.js';

const createHeaders = (callerRequest: BaselineRequest): OutgoingHttpHeaders => ({
  [BackendHeader.deadlineMs]: String(Math.floor(callerRequest.deadlineAtMs)),
  [BackendHeader.requestId]: callerRequest.requestId,
  'content-length': callerRequest.body.length,
  ...(callerRequest.idempotencyKey === undefined
    ? {}
    : { [BackendHeader.idempotencyKey]: callerRequest.idempotencyKey }),
  ...(callerRequest.contentType === undefined ? {} : { 'content-type': callerRequest.contentType }),
});

const readResult = async (message: IncomingMessage): Promise<BaselineAttemptResult> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  if (!message.complete) return { kind: 'unknown', code: 'backend-failed' };
  if (message.headers[BackendHeader.notRun] === '1') return { kind: 'not-run' };
  const { statusCode = 502, headers } = message;
  return { kind: 'ran', status: statusCode, headers, body: Buffer.concat(chunks) };
};

/** Sends a request to an instance once, without retries; never rejects. */
export const sendToInstance = (
  agent: Agent,
  address: Endpoint,
  callerRequest: BaselineRequest,
): Promise<BaselineAttemptResult> =>
  new Promise((resolve) => {
    let isConnected = false;
    let hasTimedOut = false;
    const request = httpRequest({
      agent,
      host: address.host,
      port: address.port,
      method: callerRequest.method,
      path: callerRequest.path,
      headers: createHeaders(callerRequest),
    });
    const abort = (): void => {
      request.destroy(new Error('the caller closed the connection'));
    };
    const timer = setTimeout(
      () => {
        hasTimedOut = true;
        request.destroy(new Error('the instance did not respond before the deadline'));
      },
      Math.max(1, callerRequest.deadlineAtMs - Date.now()),
    );
    const finish = (attempt: BaselineAttemptResult): void => {
      clearTimeout(timer);
      callerRequest.signal.removeEventListener('abort', abort);
      resolve(attempt);
    };
    const handleFailure = (): void => {
      if (isConnected)
        finish({ kind: 'unknown', code: hasTimedOut ? 'timeout' : 'backend-failed' });
      else finish({ kind: 'not-run' });
    };
    callerRequest.signal.addEventListener('abort', abort, { once: true });
    request.on('socket', (socket) => {
      if (!socket.connecting) isConnected = true;
      else
        socket.once('connect', () => {
          isConnected = true;
        });
    });
    request.on('error', handleFailure);
    request.on('response', (message) => {
      readResult(message).then(finish, handleFailure);
    });
    request.end(callerRequest.body);
  });
