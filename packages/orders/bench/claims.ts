import { once } from 'node:events';
import { createServer } from 'node:http';

import { SystemClock } from '@bronzelift/common';
import { build } from 'hdr-histogram-js';

import type { AddressInfo } from 'node:net';
import {
  DEFAULT_LIMITS,
  OrderCoordinator,
  PeerTransport,
  createOrderRoutes,
  formatOrderKey,
  parseOrderKey,
} from '../src/index.js';

import type { PeerOrderTransport } from '../src/index.js';

const HOST = '127.0.0.1';
const WARM_UP = 2000;
const CLAIMS = 20_000;
const PARALLEL = [1, 8, 32];
const NS_PER_US = 1000;

const clock = SystemClock.create();
const home = { vmId: 'vm0', incarnation: 'i0' };
const witness = { vmId: 'vm1', incarnation: 'i1' };

const coordinator = OrderCoordinator.create({
  clock,
  limits: { ...DEFAULT_LIMITS, maxEntries: 1_000_000 },
  transport: {} as PeerOrderTransport,
  knowledge: {
    ownMember: () => witness,
    isGone: () => false,
    confirmGone: () => Promise.resolve(false),
    isSilent: () => false,
    holdsLease: () => true,
    issueTicket: () => undefined,
  },
  runner: { run: () => Promise.resolve({ kind: 'unknown', code: 'not-used' }) },
  onViolation: (name, detail) => {
    throw new Error(`${name}: ${detail}`);
  },
  sleep: () => Promise.resolve(),
});

const routes = createOrderRoutes({ coordinator, ownVmId: witness.vmId });
const server = createServer((request, response) => {
  routes(request, response).catch((error: unknown) => {
    throw error;
  });
});
server.listen(0, HOST);
await once(server, 'listening');
const { port } = server.address() as AddressInfo;
const transport = PeerTransport.create({
  clock,
  directory: { endpointOf: () => ({ host: HOST, port }) },
  onMalformed: (path, _member, detail) => {
    throw new Error(`${path}: ${detail}`);
  },
});

let claims = 0;
const claimOnce = async (): Promise<void> => {
  claims += 1;
  const text = formatOrderKey({ home, witness, issuedAtMs: clock.wallMs() }, `order-${claims}`);
  const key = parseOrderKey(text);
  if (key.kind === 'rejected') throw new Error(key.reason);
  const claim = { key: key.value, requestHash: 'm5Yf1kq0YJ2sVw8r3nT6zA', attempt: 1 };
  const result = await transport.claim(witness, claim);
  if (result !== 'granted') throw new Error(result);
};

const measure = async (count: number, parallel: number): Promise<string> => {
  const histogram = build();
  let started = 0;
  const cpu = process.cpuUsage();
  const claimRepeatedly = async (): Promise<void> => {
    while (started < count) {
      started += 1;
      const startedNs = process.hrtime.bigint();
      await claimOnce();
      histogram.recordValue(Number(process.hrtime.bigint() - startedNs) / NS_PER_US);
    }
  };
  await Promise.all(Array.from({ length: parallel }, claimRepeatedly));
  const { user, system } = process.cpuUsage(cpu);
  const at = (percentile: number): string => histogram.getValueAtPercentile(percentile).toFixed(0);
  return (
    `${parallel} at a time: p50 ${at(50)} us, p99 ${at(99)} us, p99.9 ${at(99.9)} us, ` +
    `${((user + system) / count).toFixed(0)} us CPU per claim, both sides`
  );
};

await measure(WARM_UP, 1);
for (const parallel of PARALLEL) {
  process.stdout.write(`${await measure(CLAIMS, parallel)}\n`);
}
transport.close();
server.close();
