import type { IncomingHttpHeaders } from 'node:http';

import type { Clock } from '@bronzelift/common';
import { sleep } from '@bronzelift/common';
import { expectedBody } from '@bronzelift/standins';
import { z } from 'zod';

import type { RequestTrace } from './requestTrace.js';

const refusalSchema = z.object({ code: z.string() });

/** Waits until a monotonic time; never returns early, although timers may fire up to 1 ms early. */
export const sleepUntil = async (clock: Clock, dueMs: number): Promise<void> => {
  for (let waitMs = dueMs - clock.monotonicMs(); waitMs > 0; waitMs = dueMs - clock.monotonicMs()) {
    await sleep(Math.ceil(waitMs));
  }
};

/** A header with a single value. */
export const textHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** A numeric header; undefined when absent or not a number. */
export const numberHeader = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = textHeader(headers, name);
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
};

/** The `code` of a response that does not come from a backend server, or its status. */
export const codeOf = (answer: { readonly status: number; readonly body: string }): string => {
  try {
    return refusalSchema.parse(JSON.parse(answer.body)).code;
  } catch {
    return `status-${answer.status}`;
  }
};

/** Whether a body is the one of this request, with or without the service in the path. */
export const isExpectedBody = (trace: RequestTrace, body: string): boolean => {
  const { method, path, key: idempotencyKey, body: sent } = trace;
  // The protocol leaves open whether the entry daemon strips the service from the path.
  const stripped = path.slice(trace.arrival.service.service.length + 1);
  return [stripped, path].some(
    (seen) => expectedBody({ method, path: seen, body: sent, idempotencyKey }) === body,
  );
};
