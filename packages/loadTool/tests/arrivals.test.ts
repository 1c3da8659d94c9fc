import { SeededRandom } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import { generateArrivals } from '../src/arrivals.js';
import { getFactorAt, createFloodProfile, parseLoadPlan } from '../src/index.js';
import { auditOrders } from '../src/orderAudit.js';
import type { OrderRecord } from '../src/orderAudit.js';

const PROPERTY_OPTIONS = process.env.SEED ? { seed: Number(process.env.SEED) } : {};

const SERVICES = [
  { service: 'a', lookupsPerSecond: 30, ordersPerSecond: 10 },
  { service: 'b', lookupsPerSecond: 0, ordersPerSecond: 20 },
];

describe('generateArrivals', () => {
  it('generates reproducible arrivals, sorted by time, at the rate of the profile', () => {
    fc.assert(
      fc.property(fc.integer(), fc.double({ min: 1, max: 20, noNaN: true }), (seed, factor) => {
        const profile = [{ atMs: 10_000, factor }];
        const generate = () => [
          ...generateArrivals(SERVICES, profile, 20_000, SeededRandom.create(seed)),
        ];
        const arrivals = generate();
        expect(arrivals).to.deep.equal(generate());
        const times = arrivals.map(({ atMs }) => atMs);
        expect(times).to.deep.equal([...times].sort((left, right) => left - right));
        // A correct generator practically never deviates by 6 standard deviations of a Poisson count.
        const check = (count: number, mean: number): void => {
          expect(Math.abs(count - mean)).to.be.below(6 * Math.sqrt(mean));
        };
        check(times.filter((atMs) => atMs < 10_000).length, 600);
        check(times.filter((atMs) => atMs >= 10_000).length, 600 * factor);
        const selectArrivals = (service: string, kind: string) =>
          arrivals.filter(
            (arrival) => arrival.service.service === service && arrival.kind === kind,
          );
        check(selectArrivals('a', 'lookup').length, 300 * (1 + factor));
        check(selectArrivals('a', 'order').length, 100 * (1 + factor));
        expect(selectArrivals('b', 'lookup')).to.deep.equal([]);
      }),
      { ...PROPERTY_OPTIONS, numRuns: 30 },
    );
  });

  it('raises the load to 20 times within a second, and lowers it again after the flood', () => {
    const profile = createFloodProfile(5000, 10_000);
    const factors = [0, 5500, 6000, 14_999, 16_000].map((atMs) => getFactorAt(profile, atMs));
    expect(factors).to.deep.equal([1, 10.5, 20, 20, 1]);
  });
});

describe('auditOrders', () => {
  const run = { instanceId: 'i1', bootId: 'b', startedAtMs: 1, requestId: undefined };
  const order = (keys: OrderRecord['keys'], verdict: OrderRecord['verdict']): OrderRecord => ({
    callerPart: 'p',
    keys,
    verdict,
  });
  const report = (runs: Record<string, (typeof run)[]>) =>
    [{ runs }] as unknown as Parameters<typeof auditOrders>[1];

  it('reports an order as doubled when it ran once under each of two tickets', () => {
    const orders = [
      order(
        new Map([
          ['t1~p', 'not-run' as const],
          ['t2~p', 'ran' as const],
        ]),
        'served',
      ),
    ];
    const audit = auditOrders(orders, report({ 't1~p': [run], 't2~p': [run] }));
    expect(audit).to.include({ doubled: 1, lost: 0, runAfterNotRun: 1 });
  });

  it('reports a served order that never ran as lost, but only if there is a backend report', () => {
    const orders = [order(new Map([['t1~p', 'ran' as const]]), 'served')];
    expect(auditOrders(orders, report({ 't1~q': [run] }))).to.include({ lost: 1, doubled: 0 });
    expect(auditOrders(orders, [])).to.include({ audited: false, lost: 0 });
  });
});

describe('parseLoadPlan', () => {
  const plan = {
    entryEndpoints: ['127.0.0.1:4000'],
    services: SERVICES,
    durationMs: 1000,
  };

  // Guards against a signal to unrelated processes: an id of 0 or less names a process group.
  it('rejects ids of process groups and unknown signals', () => {
    const parse = (fault: object) => () =>
      parseLoadPlan(JSON.stringify({ ...plan, faults: [{ kind: 'signal', atMs: 0, ...fault }] }));
    expect(parse({ pid: 4711, signal: 'SIGSTOP' })().entryEndpoints[0]!.port).to.equal(4000);
    expect(parse({ pid: -1, signal: 'SIGKILL' })).to.throw();
    expect(parse({ pid: 0, signal: 'SIGKILL' })).to.throw();
    expect(parse({ pid: 4711, signal: 'SIGNONE' })).to.throw();
  });
});
