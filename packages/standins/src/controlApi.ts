import type { IncomingMessage, ServerResponse } from 'node:http';

import type { z } from 'zod';

import { BEHAVIOR_PATH, REPORT_PATH } from './constants.js';
import { parseJson, pathOf, readBody, sendJson } from './utils.js';

/** What a stand-in offers on its control paths. */
export interface Control<Schema extends z.ZodType> {
  readonly schema: Schema;
  readonly apply: (behavior: z.output<Schema>) => Promise<void> | void;
  readonly report: () => unknown;
}

const changeBehavior = async <Schema extends z.ZodType>(
  control: Control<Schema>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  const parsed = control.schema.safeParse(parseJson(await readBody(request)));
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    sendJson(response, 400, { code: 'invalid-behavior', problems });
    return;
  }
  await control.apply(parsed.data);
  sendJson(response, 200, { applied: true });
};

/** Answers a request to a control path; returns false when the path is another one. */
export const handleControl = async <Schema extends z.ZodType>(
  control: Control<Schema>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> => {
  const route = `${request.method} ${pathOf(request)}`;
  if (route === `POST ${BEHAVIOR_PATH}`) {
    await changeBehavior(control, request, response);
    return true;
  }
  if (route === `GET ${REPORT_PATH}`) {
    sendJson(response, 200, control.report());
    return true;
  }
  return false;
};
