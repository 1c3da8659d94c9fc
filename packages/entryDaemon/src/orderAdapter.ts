import type { OutgoingHttpHeaders } from 'node:http';

import type { Clock } from '@bronzelift/common';
import { assertNever } from '@bronzelift/common';
import type {
  HeaderMap,
  OrderAnswer,
  OrderRequest,
  OrderRunner,
  RunRequest,
  RunResult,
  StoredAnswer,
} from '@bronzelift/orders';

import { readRequestHead, toMonotonicMs } from './callerRequest.js';
import type { RequestRunner } from './requestRunner.js';
import type { WorkRequest, WorkResult } from './types.js';

/** Path and query of an order, with its service: `/<service>/<path>`. */
export const formatOrderPath = (work: WorkRequest): string => `/${work.service}${work.path}`;

/** Converts a request to an order for the order coordinator. */
export const toOrderRequest = (work: WorkRequest): OrderRequest => ({
  key: work.idempotencyKey ?? '',
  method: work.method,
  path: formatOrderPath(work),
  headers: work.headers as HeaderMap,
  body: work.body,
  deadlineAtMs: work.deadlineAtWallMs,
});

const toAnsweredResult = (answer: StoredAnswer): WorkResult => {
  if (!answer.body) return { kind: 'ran-without-answer', code: 'answer-not-kept' };
  return {
    kind: 'answered',
    status: answer.status,
    headers: answer.headers as OutgoingHttpHeaders,
    body: Buffer.from(answer.body.buffer, answer.body.byteOffset, answer.body.byteLength),
  };
};

/** Converts the coordinator's result of an order to a result for the caller. */
export const toWorkResult = (answer: OrderAnswer): WorkResult => {
  switch (answer.outcome) {
    case 'ran':
      return answer.code === 'answered'
        ? toAnsweredResult(answer.answer)
        : { kind: 'ran-without-answer', code: 'answer-not-kept' };
    case 'not-run':
      return {
        kind: 'not-run',
        code: answer.code,
        retryAfterMs: answer.retryAfterMs,
        newTicket: answer.newTicket,
      };
    case 'unknown':
      return { kind: 'unknown', code: answer.code, retryAfterMs: answer.retryAfterMs };
    default:
      return assertNever(answer);
  }
};

const toRunResult = (result: WorkResult): RunResult => {
  switch (result.kind) {
    case 'answered':
      return {
        kind: 'answered',
        answer: {
          status: result.status,
          headers: result.headers as HeaderMap,
          body: result.body,
        },
      };
    case 'not-run':
      return { kind: 'not-run', code: result.code, retryAfterMs: result.retryAfterMs };
    case 'unknown':
      return { kind: 'unknown', code: result.code };
    case 'ran-without-answer':
      return { kind: 'unknown', code: result.code };
    default:
      return assertNever(result);
  }
};

const toWorkRequest = (
  clock: Clock,
  request: RunRequest,
  signal: AbortSignal,
  requestId: string,
): WorkRequest | undefined => {
  const headResult = readRequestHead(
    { method: request.method, headers: request.headers },
    request.path,
  );
  if (headResult.kind === 'refused') return undefined;
  return {
    requestId,
    service: headResult.head.service,
    method: request.method,
    path: headResult.head.path,
    headers: request.headers as WorkRequest['headers'],
    body: Buffer.from(request.body),
    isOrder: true,
    idempotencyKey: request.key,
    callDepth: headResult.head.callDepth,
    deadlineAtMs: toMonotonicMs(clock, request.deadlineAtMs),
    deadlineAtWallMs: request.deadlineAtMs,
    signal,
    mayForward: true,
    mayWait: true,
  };
};

/** Creates the adapter through which the order coordinator runs orders on a request runner. */
export const createOrderRunner = (
  clock: Clock,
  runner: RequestRunner,
  nextRequestId: () => string,
): OrderRunner => ({
  run: async (request, signal) => {
    const work = toWorkRequest(clock, request, signal, nextRequestId());
    if (!work) return { kind: 'not-run', code: 'bad-request', retryAfterMs: 0 };
    return toRunResult(await runner.run(work, request.guard));
  },
});
