import type { IncomingHttpHeaders } from 'node:http';

import type { Clock } from '@bronzelift/common';
import { sleep } from '@bronzelift/common';
import { createExpectedBody } from '@bronzelift/standins';
import { z } from 'zod';

import type { RequestTrace } from './requestTrace.js';

const refusalSchema = z.object({ code: z.string() });

/** Waits until a monotonic time; never returns early, although timers may fire up to 1 ms early. */
export const sleepUntil = async (clock: Clock, dueMs: number): Promise<void> => {
  for (let waitMs = dueMs - clock.monotonicMs(); waitMs > 0; waitMs = dueMs - clock.monotonicMs()) {
    await sleep(Math.ceil(waitMs));
  }
};

/** Returns a header, or the first value of a repeated header. */
export const getTextHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Parses a numeric header; undefined when it is absent or not a number. */
export const getNumberHeader = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = getTextHeader(headers, name);
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
};

/** Returns the `code` of an error response from the system, or `status-…` if it has none. */
export const getErrorCode = (answer: {
  readonly status: number;
  readonly body: string;
}): string => {
  try {
    return refusalSchema.parse(JSON.parse(answer.body)).code;
  } catch {
    return `status-${answer.status}`;
  }
};

/** Whether a response body belongs to the request, with or without the service in the path. */
export const isExpectedBody = (trace: RequestTrace, body: string): boolean => {
  const { method, path, key: idempotencyKey, body: requestBody } = trace;
  // The protocol does not define whether the entry daemon strips the service from the path.
  const strippedPath = path.slice(trace.arrival.service.service.length + 1);
  return [strippedPath, path].some(
    (receivedPath) =>
      createExpectedBody({ method, path: receivedPath, body: requestBody, idempotencyKey }) ===
      body,
  );
};
