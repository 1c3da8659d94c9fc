import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

import { CallerHeader, Outcome, assertNever } from '@bronzelift/common';

import { ANSWER_CODES, DEFAULT_REFUSAL_STATUS } from './constants.js';
import type { WorkResult } from './types.js';

const MS_PER_S = 1_000;

interface RefusalParts {
  readonly code: string;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;
  readonly newTicket: string | undefined;
}

const describeCode = (code: string): { status: number; message: string } => {
  if (code in ANSWER_CODES) return ANSWER_CODES[code as keyof typeof ANSWER_CODES];
  return { status: DEFAULT_REFUSAL_STATUS, message: code.replaceAll('-', ' ') };
};

const writeRefusal = (
  response: ServerResponse,
  parts: RefusalParts,
  extraHeaders: OutgoingHttpHeaders,
): void => {
  const { status, message } = describeCode(parts.code);
  const retryAfterMs =
    parts.retryAfterMs === undefined ? undefined : Math.max(0, Math.ceil(parts.retryAfterMs));
  const body = Buffer.from(
    JSON.stringify({ code: parts.code, message, outcome: parts.outcome, retryAfterMs }),
  );
  const headers: OutgoingHttpHeaders = {
    ...extraHeaders,
    'content-type': 'application/json',
    'content-length': body.length,
    [CallerHeader.outcome]: parts.outcome,
  };
  if (retryAfterMs !== undefined) {
    headers[CallerHeader.retryAfterMs] = retryAfterMs;
    headers[CallerHeader.retryAfter] = String(Math.ceil(retryAfterMs / MS_PER_S));
  }
  if (parts.newTicket !== undefined) headers[CallerHeader.newTicket] = parts.newTicket;
  response.writeHead(status, headers).end(body);
};

/** Writes the response to a request; its outcome header says whether the request ran. */
export const writeAnswer = (
  response: ServerResponse,
  result: WorkResult,
  extraHeaders: OutgoingHttpHeaders = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  switch (result.kind) {
    case 'answered':
      response
        .writeHead(result.status, {
          ...result.headers,
          ...extraHeaders,
          'content-length': result.body.length,
          [CallerHeader.outcome]: Outcome.ran,
        })
        .end(result.body);
      return;
    case 'not-run':
      writeRefusal(
        response,
        {
          code: result.code,
          outcome: Outcome.notRun,
          retryAfterMs: result.retryAfterMs,
          newTicket: result.newTicket,
        },
        extraHeaders,
      );
      return;
    case 'unknown':
      writeRefusal(
        response,
        {
          code: result.code,
          outcome: Outcome.unknown,
          retryAfterMs: result.retryAfterMs,
          newTicket: undefined,
        },
        extraHeaders,
      );
      return;
    case 'ran-without-answer':
      writeRefusal(
        response,
        { code: result.code, outcome: Outcome.ran, retryAfterMs: undefined, newTicket: undefined },
        extraHeaders,
      );
      return;
    default:
      assertNever(result);
  }
};

/** Writes a response with a JSON body. */
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  response
    .writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
    .end(body);
};
