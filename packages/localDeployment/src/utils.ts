import { createServer } from 'node:net';

import { StepError, describeError, randomInteger, sleep, systemRandom } from '@bronzelift/common';

import { LOOPBACK, POLL_INTERVAL_MS, PORT_RANGE } from './constants.js';

/** Ports handed out by this process, so that two deployments never share one. */
const handedOut = new Set<number>();

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
 * Finds ports that are free now. They lie below the range from which the system takes the ports of
 * outgoing connections, which could otherwise take one before the process that needs it starts.
 */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const found: number[] = [];
  while (found.length < count) {
    const port = randomInteger(systemRandom, PORT_RANGE.first, PORT_RANGE.last);
    if (handedOut.has(port)) continue;
    handedOut.add(port);
    if (await canListen(port)) found.push(port);
  }
  return found;
};

/** Waits until a check holds; rejects after the limit in milliseconds with the last error. */
export const waitUntil = async (
  step: string,
  limitMs: number,
  check: () => Promise<boolean> | boolean,
): Promise<void> => {
  const endsAtMs = performance.now() + limitMs;
  let lastError = 'the condition did not hold';
  while (performance.now() < endsAtMs) {
    try {
      if (await check()) return;
    } catch (error) {
      lastError = describeError(error);
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw StepError.create(step, 'local', `gave up after ${limitMs} ms: ${lastError}`);
};

/** Fetches a JSON document; rejects on any status but 2xx. */
export const fetchJson = async <T>(url: string, init?: RequestInit): Promise<T> => {
  const response = await fetch(url, { signal: AbortSignal.timeout(5_000), ...init });
  const text = await response.text();
  if (!response.ok) throw StepError.create('fetch', url, `status ${response.status}: ${text}`);
  return JSON.parse(text || 'null') as T;
};
