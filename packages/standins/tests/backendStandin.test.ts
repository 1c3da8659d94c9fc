import { Agent } from 'node:http';

import type { Endpoint } from '@bronzelift/common';
import { sleep } from '@bronzelift/common';
import { expect } from 'chai';

import { BackendStandin, createExpectedBody } from '../src/index.js';
import type { BackendBehavior, InstanceOptions, InstanceReport } from '../src/index.js';
import { catchErrorCode, isPendingAfter, post, send } from './client.js';
import type { SendOptions } from './client.js';

const INSTANCE: InstanceOptions = {
  instanceId: 'i1',
  service: 's',
  failureDomainId: 'd1',
  meanServiceMs: 20,
  serviceSigma: 0,
  startsCold: false,
};

describe('BackendStandin', () => {
  let backend: BackendStandin | undefined;
  let control: Endpoint;
  let endpoint: Endpoint;
  let agent: Agent;

  const startBackend = async (options: Partial<InstanceOptions> = {}): Promise<BackendStandin> => {
    backend = BackendStandin.create({ instances: [{ ...INSTANCE, ...options }] });
    control = await backend.listen(0);
    endpoint = backend.getEndpoint('i1');
    return backend;
  };

  const order = (key: string, options: SendOptions = {}) =>
    send(endpoint, '/orders?bytes=300', {
      method: 'POST',
      body: key,
      agent,
      ...options,
      headers: { 'idempotency-key': key, 'x-request-id': `r-${key}`, ...options.headers },
    });

  const expectedBodyOf = (key: string): string =>
    createExpectedBody({
      method: 'POST',
      path: '/orders?bytes=300',
      body: key,
      idempotencyKey: key,
    });

  const instance = (): InstanceReport => backend!.report().instances[0]!;

  const apply = (behavior: BackendBehavior): Promise<void> => backend!.apply(behavior);

  beforeEach(() => {
    agent = new Agent({ keepAlive: true });
  });

  afterEach(async () => {
    agent.destroy();
    await backend?.close();
    backend = undefined;
  });

  it('responds with the expected body and headers and records the runs of each key', async () => {
    await startBackend();
    const { status, headers, body } = await order('k1');
    await order('k1');
    expect(status).to.equal(200);
    expect(body).to.equal(expectedBodyOf('k1'));
    expect(body).to.have.length(300);
    expect(headers).to.include({
      'x-request-id': 'r-k1',
      'x-instance-id': 'i1',
      'x-boot-id': instance().bootId,
      'x-load-slots': '4',
      'x-load-state': 'warm',
    });
    expect(Number(headers['x-standin-service-us'])).to.be.within(15_000, 2_000_000);
    expect(backend!.report().runs.k1).to.have.length(2);
    expect(backend!.report().failureDomains.d1?.lastStartAtMs).to.equal(instance().lastStartAtMs);
  });

  it('refuses requests when slots and queue are full, and requests past their deadline', async () => {
    await startBackend({ slots: 1, maxQueue: 1, meanServiceMs: 300 });
    const [first, second, third] = [order('k1'), order('k2'), order('k3')];
    expect((await third).headers['x-not-run']).to.equal('1');
    const late = await order('k4', { headers: { 'x-deadline-ms': String(Date.now() - 1) } });
    expect([late.status, late.headers['x-not-run']]).to.deep.equal([503, '1']);
    expect([(await first).status, (await second).status]).to.deep.equal([200, 200]);
    expect(backend!.report().runs).to.have.keys('k1', 'k2');
    expect(instance()).to.include({ shed: 1, refusedForDeadline: 1, served: 2 });
  });

  it('refuses a queued request whose deadline passes before it starts', async () => {
    await startBackend({ slots: 1, meanServiceMs: 300 });
    const first = order('k1');
    const second = order('k2', { headers: { 'x-deadline-ms': String(Date.now() + 100) } });
    expect((await second).headers['x-not-run']).to.equal('1');
    await first;
    expect(backend!.report().runs).to.have.keys('k1');
  });

  it('stops a run and drops a queued request when the connection closes', async () => {
    await startBackend({ slots: 1, meanServiceMs: 60_000 });
    const abort = new AbortController();
    const running = order('k1', { signal: abort.signal });
    await sleep(100);
    const queued = order('k2', { signal: abort.signal });
    await sleep(100);
    abort.abort();
    expect(await catchErrorCode(running)).to.equal('ABORT_ERR');
    expect(await catchErrorCode(queued)).to.equal('ABORT_ERR');
    while (instance().cancelled < 2) await sleep(10);
    expect(backend!.report().runs).to.have.keys('k1');
  });

  it('warms up within its cold limit, but stalls and counts a violation above that limit', async () => {
    await startBackend({ startsCold: true, slots: 2, warmupRequestsPerSlot: 2, stallMs: 400 });
    expect(instance().state).to.equal('cold');
    const cold = await order('k1');
    expect(Number(cold.headers['x-standin-service-us'])).to.be.at.least(90_000);
    await order('k2');
    expect(instance().state).to.equal('warm');
    await apply({ kind: 'restart' });
    const startedAtMs = Date.now();
    const fresh = new Agent();
    await Promise.all([order('k3', { agent: fresh }), order('k4', { agent: fresh })]);
    expect(Date.now() - startedAtMs).to.be.at.least(400);
    const { coldOverloads, coldOverloadDetails } = backend!.report();
    expect(coldOverloads).to.equal(1);
    expect(coldOverloadDetails[0]).to.include({ inFlight: 2, bearable: 1, cause: 'start' });
  });

  it('does not count overloads within the grace time after an unannounced cold state', async () => {
    await startBackend({ unannouncedColdGraceMs: 60_000 });
    await apply({ kind: 'cold' });
    await Promise.all([order('k1'), order('k2')]);
    expect(backend!.report().unannouncedColdOverloads).to.equal(0);
    expect(instance().state).to.equal('cold');
  });

  it('resets connections, becomes unreachable and changes its boot id on a restart', async () => {
    await startBackend({ meanServiceMs: 60_000 });
    const { bootId } = instance();
    const running = order('k1');
    await sleep(100);
    await apply({ kind: 'restart', target: { failureDomainId: 'd1' }, downMs: 300 });
    expect(await catchErrorCode(running)).to.equal('ECONNRESET');
    expect(await catchErrorCode(order('k2'))).to.equal('ECONNREFUSED');
    expect(instance().bootId).to.not.equal(bootId);
    while ((await catchErrorCode(send(endpoint, '/load'))) !== undefined) await sleep(20);
  });

  it('does not respond while frozen, and checks deadlines when it is unfrozen', async () => {
    await startBackend();
    await apply({ kind: 'freeze' });
    const waiting = order('k1');
    const expired = order('k2', { headers: { 'x-deadline-ms': String(Date.now() + 50) } });
    const probe = send(endpoint, '/load', { agent });
    expect(await isPendingAfter(Promise.race([waiting, expired, probe]), 150)).to.equal(true);
    await apply({ kind: 'unfreeze' });
    expect([(await waiting).status, (await expired).status]).to.deep.equal([200, 503]);
    expect((await probe).status).to.equal(200);
  });

  it('silences open connections permanently, but serves new connections', async () => {
    await startBackend();
    await order('k1');
    await apply({ kind: 'silence-connections' });
    const silent = order('k2');
    silent.catch(() => undefined);
    expect(await isPendingAfter(silent, 200)).to.equal(true);
    expect((await order('k3', { agent: new Agent() })).body).to.equal(expectedBodyOf('k3'));
    expect(backend!.report().runs).to.not.have.key('k2');
  });

  it('injects late, crossed, truncated and reset responses on request', async () => {
    await startBackend();
    await order('k1');
    await apply({ kind: 'response-fault', fault: 'crossed', count: 1 });
    const crossed = await order('k2');
    expect([crossed.body, crossed.headers['x-request-id']]).to.deep.equal([
      expectedBodyOf('k1'),
      'r-k1',
    ]);
    await apply({ kind: 'response-fault', fault: 'cut-short', count: 1 });
    const cut = await order('k3');
    expect(cut.complete).to.equal(false);
    expect(cut.body).to.equal(expectedBodyOf('k3').slice(0, 150));
    await apply({ kind: 'response-fault', fault: 'reset-midway', count: 1 });
    expect(await catchErrorCode(order('k4'))).to.equal('ECONNRESET');
    await apply({ kind: 'response-fault', fault: 'late', count: 1, delayMs: 300 });
    const startedAtMs = Date.now();
    expect((await order('k5')).body).to.equal(expectedBodyOf('k5'));
    expect(Date.now() - startedAtMs).to.be.at.least(300);
    expect((await order('k6')).body).to.equal(expectedBodyOf('k6'));
    expect(backend!.report().runs).to.have.keys('k1', 'k2', 'k3', 'k4', 'k5', 'k6');
  });

  it('drains, misreports its load, fails fast and slows down on request', async () => {
    await startBackend();
    await apply({ kind: 'slow', factor: 5 });
    const slow = await order('k1');
    expect(Number(slow.headers['x-standin-service-us'])).to.be.at.least(90_000);
    await apply({ kind: 'cold' });
    await apply({ kind: 'misreport', loadState: 'warm', inFlight: 3 });
    const probe = JSON.parse((await send(endpoint, '/load')).body) as Record<string, unknown>;
    expect(probe).to.include({ state: 'warm', inFlight: 3, slots: 4 });
    await apply({ kind: 'misreport' });
    await apply({ kind: 'fail-fast' });
    const failed = await order('k3');
    expect([failed.status, failed.headers['x-not-run']]).to.deep.equal([500, undefined]);
    await apply({ kind: 'fail-fast', active: false });
    await apply({ kind: 'drain' });
    const { headers } = await order('k2');
    expect(headers).to.include({ 'x-load-state': 'draining', 'x-not-run': '1' });
  });

  it('counts the cost of probes and connections, and limits the number of connections', async () => {
    await startBackend({ maxConnections: 2 });
    await send(endpoint, '/load', { agent });
    await send(endpoint, '/load', { agent });
    expect(instance()).to.include({ probes: 2, probeMs: 12, connectionMs: 1 });
    const others = [new Agent({ keepAlive: true }), new Agent()];
    await order('k1', { agent: others[0]! });
    expect(await catchErrorCode(order('k2', { agent: others[1]! }))).to.equal('ECONNRESET');
    expect(instance()).to.include({ connectionsAccepted: 2, connectionsRefused: 1 });
    others[0]!.destroy();
  });

  // Guards against a test that passes because its mistyped fault is ignored.
  it('rejects an unknown behavior or target', async () => {
    await startBackend();
    const rejected = await apply({ kind: 'freeze', target: { instanceId: 'i9' } }).catch(String);
    expect(rejected).to.include('no instance matches');
    const { status } = await post(control, '/standin/v1/behavior', { kind: 'thaw' });
    expect(status).to.equal(400);
  });
});
