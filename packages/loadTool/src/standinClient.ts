import { Agent } from 'node:http';

import { StepError } from '@bronzelift/common';
import type { BackendReport } from '@bronzelift/standins';
import { BEHAVIOR_PATH, REPORT_PATH } from '@bronzelift/standins';

import { sendRequest } from './httpClient.js';

const TIMEOUT_MS = 10_000;

const callStandin = async (
  url: string,
  method: string,
  path: string,
  body: string,
): Promise<string> => {
  const { hostname, port } = new URL(url);
  const agent = new Agent();
  const attempt = await sendRequest({
    endpoint: { host: hostname, port: Number(port) },
    method,
    path,
    headers: { 'content-type': 'application/json' },
    body,
    timeoutMs: TIMEOUT_MS,
    agent,
  });
  agent.destroy();
  const step = `${method} ${path}`;
  if (attempt.kind !== 'answer') throw StepError.create(step, url, attempt.kind);
  if (attempt.status !== 200) throw StepError.create(step, url, attempt.body);
  return attempt.body;
};

/** Changes the behavior of a stand-in; rejects when the stand-in refuses the change. */
export const postBehavior = async (url: string, behavior: unknown): Promise<void> => {
  await callStandin(url, 'POST', BEHAVIOR_PATH, JSON.stringify(behavior));
};

/** Fetches the report of a backend stand-in; rejects when it does not respond with 200. */
export const readBackendReport = async (url: string): Promise<BackendReport> =>
  JSON.parse(await callStandin(url, 'GET', REPORT_PATH, '')) as BackendReport;
