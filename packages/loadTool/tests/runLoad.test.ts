import type { Endpoint } from '@bronzelift/common';
import { BackendStandin, createInstanceOptions } from '@bronzelift/standins';
import { expect } from 'chai';

import { formatComparison, formatResult, isCorrect, renderPlot, runLoad } from '../src/index.js';
import type { LoadOptions, LoadResult } from '../src/index.js';
import { FakeEntry } from './fakeEntry.js';
import type { FakeActionSelector } from './fakeEntry.js';

const toUrl = ({ host, port }: Endpoint): string => `http://${host}:${port}`;

const findClosedPort = async (): Promise<Endpoint> => {
  const placeholder = new FakeEntry({ host: '127.0.0.1', port: 1 }, () => 'forward');
  const endpoint = await placeholder.listen();
  await placeholder.close();
  return endpoint;
};

/** Runs a short load against a fake entry daemon in front of a real backend stand-in. */
const runWithFakeEntry = async (
  mode: FakeActionSelector,
  options: Partial<LoadOptions> = {},
  extraAddresses: Endpoint[] = [],
): Promise<LoadResult> => {
  const instances = createInstanceOptions({
    service: 's',
    count: 1,
    failureDomainIds: ['d1'],
    slots: 64,
    maxConnections: 1000,
    meanServiceMs: 5,
    connectionCostMs: 0,
    startsCold: false,
  });
  const backend = BackendStandin.create({ instances });
  const control = await backend.listen(0);
  const entry = new FakeEntry(backend.getEndpoint('s-1'), mode);
  entry.extraAddresses = extraAddresses;
  try {
    return await runLoad({
      seed: Number(process.env.SEED ?? 1),
      entryEndpoints: [await entry.listen()],
      services: [{ service: 's', lookupsPerSecond: 50, ordersPerSecond: 50, patienceMs: 2000 }],
      durationMs: 1000,
      callers: 3,
      settleMs: 50,
      backendStandinUrls: [toUrl(control)],
      ...options,
    });
  } finally {
    await entry.close();
    await backend.close();
  }
};

const isOrder = (method: string | undefined): boolean => method === 'POST';

describe('runLoad', () => {
  it('counts every request as served and finds no order violations when there are no faults', async () => {
    const result = await runWithFakeEntry(() => 'forward');
    const { lookups, orders, score, seconds } = result.total;
    expect(lookups.offered).to.be.within(20, 90);
    expect([lookups.served, orders.served]).to.deep.equal([lookups.offered, orders.offered]);
    expect(score).to.equal(1);
    expect(seconds[0]).to.include({ offered: lookups.offered + orders.offered, refused: 0 });
    expect(orders.addedTime.count).to.equal(orders.served);
    expect(orders.latency.p50Ms).to.be.at.least(3);
    expect(result.orderAudit).to.include({ audited: true, doubled: 0, lost: 0, runAfterNotRun: 0 });
    expect(isCorrect(result)).to.equal(true);
    expect(formatResult(result)).to.include('orders doubled');
    expect(formatComparison(result, result)).to.include('s lookups latency p99');
    expect(renderPlot(result)).to.include('<polyline');
  });

  it('reports orders as doubled if the system ran them twice', async () => {
    const result = await runWithFakeEntry((requestIndex, { method }) =>
      isOrder(method) && requestIndex % 5 === 0 ? 'forward-twice' : 'forward',
    );
    expect(result.orderAudit.doubled).to.be.above(0);
    expect(isCorrect(result)).to.equal(false);
    expect(result.orderAudit.findings[0]?.finding).to.equal('doubled');
  });

  it('reports orders that ran although the last response was not-run', async () => {
    const result = await runWithFakeEntry(() => 'deny');
    const { orders } = result.total;
    expect(orders.refusedByCode).to.deep.equal({ deny: orders.offered });
    expect(result.orderAudit.runAfterNotRun).to.equal(orders.offered);
    expect(result.orderAudit.doubled).to.equal(0);
  });

  it('counts responses with a damaged body as wrong, never as served', async () => {
    const { lookups, orders } = (await runWithFakeEntry(() => 'damage')).total;
    expect([lookups.served, orders.served]).to.deep.equal([0, 0]);
    expect(lookups.wrongAnswers).to.equal(lookups.offered);
  });

  it('retries a refused request, with a new key if the response contains a new ticket', async () => {
    const requestCounts = new Map<string, number>();
    const keys = new Set<string>();
    const result = await runWithFakeEntry((_, { method, url, headers }) => {
      const key = String(headers['idempotency-key'] ?? url);
      keys.add(key);
      requestCounts.set(key, (requestCounts.get(key) ?? 0) + 1);
      if (key.startsWith('v1.a.1.c.1.0~')) return 'forward';
      if (isOrder(method)) return requestCounts.get(key) === 1 ? 'new-ticket' : 'forward';
      return requestCounts.get(key) === 1 ? 'refuse' : 'forward';
    });
    expect(result.total.score).to.equal(1);
    expect(result.orderAudit).to.include({ doubled: 0, lost: 0 });
    const newKeys = [...keys].filter((key) => key.startsWith('v1.a.1.c.1.0~'));
    expect(newKeys).to.have.length(result.total.orders.offered);
  });

  it('retries an order of unknown outcome with the same key, but does not retry a lookup', async () => {
    const requestCounts = new Map<string, number>();
    const result = await runWithFakeEntry((_, { method, headers }) => {
      const key = String(headers['idempotency-key']);
      if (!isOrder(method)) return 'unknown';
      requestCounts.set(key, (requestCounts.get(key) ?? 0) + 1);
      if (requestCounts.get(key) === 1) return 'drop';
      return requestCounts.get(key) === 2 ? 'unknown' : 'forward';
    });
    const { lookups, orders } = result.total;
    expect(orders.served).to.equal(orders.offered);
    expect([...requestCounts.values()].every((count) => count === 3)).to.equal(true);
    expect(lookups.unknownByCode).to.deep.equal({ unknown: lookups.offered });
    expect(lookups.attempts).to.equal(lookups.offered);
  });

  it('serves all requests by trying another address when a connection is refused', async () => {
    const result = await runWithFakeEntry(() => 'forward', {}, [await findClosedPort()]);
    expect(result.total.score).to.equal(1);
  });

  it('reports code unreachable when no entry VM accepts connections', async () => {
    const services = [{ service: 's', lookupsPerSecond: 20, ordersPerSecond: 0, patienceMs: 300 }];
    const entryEndpoints = [await findClosedPort()];
    const { total } = await runWithFakeEntry(() => 'forward', { services, entryEndpoints });
    expect(total.lookups.refusedByCode).to.deep.equal({ unreachable: total.lookups.offered });
  });

  it('applies scheduled faults, and reports an error for each fault that fails', async () => {
    let callCount = 0;
    const entry = await findClosedPort();
    const { faults } = await runWithFakeEntry(() => 'forward', {
      faults: [
        {
          kind: 'callback',
          atMs: 100,
          name: 'count',
          run: () => {
            callCount += 1;
          },
        },
        { kind: 'behavior', atMs: 200, url: toUrl(entry), behavior: { kind: 'freeze' } },
        { kind: 'signal', atMs: 300, pid: process.pid, signal: 'SIGCONT' },
      ],
    });
    expect(callCount).to.equal(1);
    expect(faults.map(({ error }) => error === undefined)).to.deep.equal([true, false, true]);
    expect(faults[0]!.appliedAtMs).to.be.at.least(100);
  });
});
