import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { BaselineServer } from '@bronzelift/baseline-entry';
import { SeededRandom, SystemClock } from '@bronzelift/common';
import { parseTicket } from '@bronzelift/membership';
import { expect } from 'chai';

const HOST = '127.0.0.1';

const listen = async (server: Server): Promise<number> => {
  server.listen(0, HOST);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
};

describe('BaselineServer', () => {
  const openServers: { close(): void }[] = [];

  const openBackend = (listener: RequestListener): Promise<number> => {
    const server = createServer(listener);
    openServers.push({ close: () => server.close().closeAllConnections() });
    return listen(server);
  };

  const openBaseline = async (ports: readonly number[]): Promise<string> => {
    const baseline = BaselineServer.create({
      policy: 'round-robin',
      instances: ports.map((port) => ({
        service: 'profiles',
        address: { host: HOST, port },
        slots: 4,
      })),
      peers: [1, 2].map((number) => ({
        vmId: `entry-${number}`,
        failureDomainId: 'ghent-a',
        caller: { host: HOST, port: number },
      })),
      clock: SystemClock.create(),
      random: SeededRandom.create(1),
    });
    openServers.push(baseline);
    return `http://${HOST}:${await listen(baseline.server)}`;
  };

  afterEach(() => {
    for (const server of openServers.splice(0)) server.close();
  });

  it('responds to an address request with all peers and a valid ticket', async () => {
    const url = await openBaseline([1]);
    const response = await fetch(`${url}/bronzelift/v1/addresses?service=profiles`);
    const answer = (await response.json()) as { addresses: unknown[]; ticket: string };
    expect(answer.addresses).to.have.length(2);
    expect(parseTicket(answer.ticket)?.home.vmId).to.match(/^entry-[12]$/);
  });

  // Guards against a baseline that drops idempotency keys or response bodies: its comparison with
  // bronzelift would be meaningless.
  it('forwards an order with its key and returns the whole response', async () => {
    const port = await openBackend((request, response) => {
      response.end(
        `${request.method} ${request.url} ${String(request.headers['idempotency-key'])}`,
      );
    });
    const url = await openBaseline([port]);
    const response = await fetch(`${url}/profiles/orders?x=1`, {
      method: 'POST',
      headers: { 'idempotency-key': 'k~1' },
      body: '{}',
    });
    expect(response.headers.get('bronzelift-outcome')).to.equal('ran');
    expect(await response.text()).to.equal('POST /orders?x=1 k~1');
  });

  it('retries a refused request at another instance and responds not-run when all refuse', async () => {
    let refusals = 0;
    const refusingPort = await openBackend((_, response) => {
      refusals += 1;
      response.writeHead(503, { 'x-not-run': '1' }).end();
    });
    const workingPort = await openBackend((_, response) => response.end('done'));
    const mixedUrl = await openBaseline([refusingPort, workingPort]);
    for (let index = 0; index < 4; index++) {
      expect((await fetch(`${mixedUrl}/profiles/dogs`)).headers.get('bronzelift-outcome')).to.equal(
        'ran',
      );
    }
    expect(refusals).to.be.above(0);
    const refused = await fetch(`${await openBaseline([refusingPort])}/profiles/dogs`);
    expect(refused.headers.get('bronzelift-outcome')).to.equal('not-run');
    expect(Number(refused.headers.get('bronzelift-retry-after-ms'))).to.be.within(100, 400);
  });

  // Guards against an order that is retried although it may have run.
  it('responds with outcome unknown and does not retry when the connection breaks after the send', async () => {
    let arrivals = 0;
    const breakingPort = await openBackend((request) => {
      arrivals += 1;
      request.socket.destroy();
    });
    const url = await openBaseline([breakingPort]);
    const response = await fetch(`${url}/profiles/orders`, {
      method: 'POST',
      headers: { 'idempotency-key': 'k~2' },
      body: '{}',
    });
    expect(response.headers.get('bronzelift-outcome')).to.equal('unknown');
    expect(arrivals).to.equal(1);
  });
});
