/* eslint-disable no-console -- prints its result */
import { once } from 'node:events';
import { Agent, createServer, request as createHttpRequest } from 'node:http';
import type { AddressInfo } from 'node:net';

import { SystemClock } from '@bronzelift/common';

import { BackendPool } from '../src/index.js';

// Measures the time that `send` adds to a plain node:http request with a keep-alive agent, on
// loopback. Both kinds alternate request by request, so that other load on the machine affects
// both equally.
const WARMUP_REQUESTS = 3000;
const MEASURED_REQUESTS = 20_000;
const BODY = Buffer.alloc(500, 'x');

const server = createServer((request, response) => {
  const requestId = request.headers['x-request-id'] ?? '';
  response.writeHead(200, { 'x-request-id': requestId, 'content-length': BODY.length });
  response.end(BODY);
});
server.listen(0, '127.0.0.1');
await once(server, 'listening');
const { port } = server.address() as AddressInfo;

const agent = new Agent({ keepAlive: true, maxSockets: 1 });
const headers = { accept: 'application/json', 'user-agent': 'bench', 'x-request-id': 'r1' };

const sendBare = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const target = { host: '127.0.0.1', port, path: '/size', agent, headers };
    const clientRequest = createHttpRequest(target, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => resolve(Buffer.concat(chunks).length));
    });
    clientRequest.on('error', reject);
    clientRequest.end();
  });

const pool = BackendPool.create({
  instanceId: 'i0',
  endpoint: { host: '127.0.0.1', port },
  maxConnections: 1,
  clock: SystemClock.create(),
  onViolation: (name, detail) => console.error(name, detail),
});

const sendPooled = async (): Promise<number> => {
  const acquired = await pool.acquire({});
  if (acquired.kind !== 'acquired') throw new Error(acquired.detail);
  const attempt = await pool.send(
    {
      method: 'GET',
      path: '/size',
      headers,
      requestId: 'r1',
      deadlineAtWallMs: Date.now() + 1000,
      timeoutMs: 1000,
    },
    acquired.connection,
    new AbortController().signal,
  );
  if (attempt.kind !== 'answered') throw new Error(attempt.kind);
  return attempt.response.body.length;
};

const measure = async (durations: number[], send: () => Promise<number>): Promise<void> => {
  const startedAtMs = performance.now();
  if ((await send()) !== BODY.length) throw new Error('unexpected body length');
  durations.push(performance.now() - startedAtMs);
};

const bareMs: number[] = [];
const pooledMs: number[] = [];
for (let index = 0; index < WARMUP_REQUESTS + MEASURED_REQUESTS; index++) {
  if (index === WARMUP_REQUESTS) bareMs.length = 0;
  if (index === WARMUP_REQUESTS) pooledMs.length = 0;
  await measure(bareMs, sendBare);
  await measure(pooledMs, sendPooled);
}

const percentile = (durations: number[], share: number): number =>
  durations.sort((left, right) => left - right)[Math.floor(durations.length * share)]!;

for (const [title, share] of [
  ['p50', 0.5],
  ['p99', 0.99],
] as const) {
  const bare = percentile(bareMs, share);
  const pooled = percentile(pooledMs, share);
  const added = pooled - bare;
  console.log(
    `${title} ms: bare ${bare.toFixed(3)}, send ${pooled.toFixed(3)}, added ${added.toFixed(3)}`,
  );
}
pool.destroy();
agent.destroy();
server.close();
