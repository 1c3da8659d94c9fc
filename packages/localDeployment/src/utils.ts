import { createServer } from 'node:net';

import { StepError, describeError, randomInteger, sleep, systemRandom } from '@bronzelift/common';

import { LOOPBACK, POLL_INTERVAL_MS, PORT_RANGE } from './constants.js';

/** Ports that this process has already tried or assigned; no port is assigned twice. */
const assignedPorts = new Set<number>();

const canListen = async (port: number): Promise<boolean> => {
  const server = createServer();
  const isFree = await new Promise<boolean>((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => resolve(true));
  });
  if (isFree)
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  return isFree;
};

/**
 * Finds ports that are currently free. They are below the range from which the operating system
 * assigns ports to outgoing connections; such a connection could otherwise occupy a port before the
 * process that is to listen on it starts.
 */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const found: number[] = [];
  while (found.length < count) {
    const port = randomInteger(systemRandom, PORT_RANGE.first, PORT_RANGE.last);
    if (assignedPorts.has(port)) continue;
    assignedPorts.add(port);
    if (await canListen(port)) found.push(port);
  }
  return found;
};

/** Polls a condition until it is true; rejects after `limitMs` with the last error of the check. */
export const waitUntil = async (
  step: string,
  limitMs: number,
  check: () => Promise<boolean> | boolean,
): Promise<void> => {
  const endsAtMs = performance.now() + limitMs;
  let lastError = 'the condition was not met';
  while (performance.now() < endsAtMs) {
    try {
      if (await check()) return;
    } catch (error) {
      lastError = describeError(error);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw StepError.create(step, 'local', `timed out after ${limitMs} ms: ${lastError}`);
};

/** Fetches a JSON document; rejects when the status is not 2xx. */
export const fetchJson = async <T>(url: string, init?: RequestInit): Promise<T> => {
  const response = await fetch(url, { signal: AbortSignal.timeout(5_000), ...init });
  const text = await response.text();
  if (!response.ok) throw StepError.create('fetch', url, `status ${response.status}: ${text}`);
  return JSON.parse(text || 'null') as T;
};
