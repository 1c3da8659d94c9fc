import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { StepError, describeError, sleep } from '@bronzelift/common';

import { LOOPBACK, POLL_INTERVAL_MS } from './constants.js';

/** Reserves ports that are free now; they are released before use. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.listen(0, LOOPBACK, resolve);
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
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
