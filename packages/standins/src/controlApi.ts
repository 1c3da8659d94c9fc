import type { IncomingMessage, ServerResponse } from 'node:http';

import type { z } from 'zod';

import { BEHAVIOR_PATH, REPORT_PATH } from './constants.js';
import { parseJson, getPath, readBody, sendJson } from './utils.js';

/** Handlers behind the control paths of a stand-in. */
export interface ControlApi<Schema extends z.ZodType> {
  readonly schema: Schema;
  readonly apply: (behavior: z.output<Schema>) => Promise<void> | void;
  readonly report: () => unknown;
}

const changeBehavior = async <Schema extends z.ZodType>(
  control: ControlApi<Schema>,
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

/** Handles a request to a control path; returns false for any other path. */
export const handleControl = async <Schema extends z.ZodType>(
  control: ControlApi<Schema>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<boolean> => {
  const route = `${request.method} ${getPath(request)}`;
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
