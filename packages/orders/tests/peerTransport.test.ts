import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';

import { SystemClock } from '@bronzelift/common';
import { expect } from 'chai';

import type { AddressInfo, Server } from 'node:net';
import type { MemberId } from '@bronzelift/common';
import {
  DEFAULT_LIMITS,
  OrderCoordinator,
  PeerTransport,
  createForwardHandler,
  createOrderRoutes,
  formatTicket,
  hashRequest,
  parseOrderKey,
} from '../src/index.js';

import type { OrderKey, OrderRequest, PeerDirectory, PeerOrderTransport } from '../src/index.js';

const HOST = '127.0.0.1';
const clock = SystemClock.create();
const home: MemberId = { vmId: 'vm0', incarnation: 'i0' };
const witness: MemberId = { vmId: 'vm1', incarnation: 'i1' };
const keyOf = (ticketHome: MemberId, ticketWitness: MemberId | undefined): OrderKey => {
  const ticket = { home: ticketHome, witness: ticketWitness, issuedAtMs: Date.now() };
  const parsed = parseOrderKey(`${formatTicket(ticket)}~order-1`);
  if (parsed.kind === 'rejected') throw new Error(parsed.reason);
  return parsed.value;
};
const requestOf = (key: OrderKey): OrderRequest => ({
  key: key.text,
  method: 'POST',
  path: '/orders/coat?size=3',
  headers: { 'x-shop': 'a' },
  body: Buffer.from('brown'),
  deadlineAtMs: Date.now() + 2000,
});

const createCoordinator = (own: MemberId): OrderCoordinator =>
  OrderCoordinator.create({
    clock,
    limits: DEFAULT_LIMITS,
    transport: {} as PeerOrderTransport,
    knowledge: {
      ownMember: () => own,
      isGone: () => false,
      confirmGone: () => Promise.resolve(false),
      isSilent: () => false,
      holdsLease: () => true,
      issueTicket: () => undefined,
    },
    runner: {
      run: async (request) => {
        request.guard.beforeSend();
        const headers = { 'set-cookie': ['a=1', 'b=2'], 'x-path': request.path };
        return { kind: 'answered', answer: { status: 201, headers, body: request.body } };
      },
    },
    onViolation: (name, detail) => {
      throw new Error(`${name}: ${detail}`);
    },
    sleep: (durationMs) =>
      new Promise((resolve) => {
        setTimeout(resolve, durationMs).unref();
      }),
  });

describe('PeerTransport and order routes', () => {
  const servers: Server[] = [];
  let port = 0;
  let transport: PeerTransport;

  const listen = async (server: Server): Promise<number> => {
    servers.push(server);
    server.listen(0, HOST);
    await once(server, 'listening');
    return (server.address() as AddressInfo).port;
  };

  const listenAs = (own: MemberId): Promise<number> => {
    const options = { coordinator: createCoordinator(own), ownVmId: own.vmId };
    const handlers = [createOrderRoutes(options), createForwardHandler(options)];
    return listen(
      createServer(async (request, response) => {
        for (const handle of handlers) if (await handle(request, response)) return;
        response.writeHead(404).end();
      }),
    );
  };

  beforeEach(() => {
    const directory: PeerDirectory = { endpointOf: () => ({ host: HOST, port }) };
    transport = PeerTransport.create({ clock, directory, onMalformed: () => undefined });
  });

  afterEach(() => {
    transport.close();
    servers.splice(0).forEach((server) => {
      server.close();
      if ('closeAllConnections' in server) (server.closeAllConnections as () => void)();
    });
  });

  it('transfers every kind of message between two members without losing a field', async () => {
    port = await listenAs(witness);
    const key = keyOf(home, witness);
    const requestHash = hashRequest(requestOf(key));
    const claim = { key, requestHash, attempt: 7 };
    expect(await transport.claim(witness, claim)).to.equal('granted');
    expect(await transport.takeover(witness, key, requestHash)).to.deep.equal({ kind: 'claimed' });
    expect(await transport.takeover(witness, key, 'other')).to.deep.equal({ kind: 'key-reused' });
    expect(await transport.release(witness, key, 7)).to.equal('accepted');
    const alive = await transport.takeover(witness, key, requestHash);
    expect(alive).to.deep.equal({ kind: 'home-alive' });
    const body = new Uint8Array([1, 2]);
    const answer = { status: 200, headers: { a: ['1', '2'], b: '3' }, body };
    const part = {
      home,
      claimedKeys: [],
      completions: [{ key: key.text, requestHash, answer }],
      final: true,
    };
    expect(await transport.handover(witness, part)).to.equal('accepted');
    const completed = await transport.takeover(witness, key, requestHash);
    expect(completed).to.deep.equal({ kind: 'completed', answer });
    const other = { ...witness, incarnation: 'i9' };
    expect(await transport.completions(other, part.completions)).to.equal('wrong-incarnation');
  });

  it('forwards an order and returns the whole response with repeated headers', async () => {
    port = await listenAs(home);
    const request = requestOf(keyOf(home, undefined));
    const result = await transport.forward('home', home, request);
    if (result.kind !== 'answered' || !('answer' in result.answer)) {
      return expect.fail(JSON.stringify(result));
    }
    const { status, headers, body } = result.answer.answer;
    expect(status).to.equal(201);
    expect(headers['set-cookie']).to.deep.equal(['a=1', 'b=2']);
    expect(headers['x-path']).to.equal(request.path);
    expect(Buffer.from(body ?? []).toString()).to.equal('brown');
    const wrong = await transport.forward('home', home, requestOf(keyOf(witness, undefined)));
    return expect(wrong).to.deep.equal({ kind: 'wrong-incarnation' });
  });

  it('retries a claim on a new connection when the first connection does not respond', async () => {
    const real = await listenAs(witness);
    let connections = 0;
    port = await listen(
      createTcpServer((socket) => {
        connections += 1;
        socket.on('error', () => undefined);
        if (connections === 1) return;
        const upstream = connect(real, HOST);
        upstream.on('error', () => undefined);
        socket.pipe(upstream).pipe(socket);
      }),
    );
    const claim = { key: keyOf(home, witness), requestHash: 'h', attempt: 1 };
    expect(await transport.claim(witness, claim)).to.equal('granted');
    expect(connections).to.equal(2);
  });

  it('distinguishes a refused connection, which cannot cause a run, from a truncated response', async () => {
    const request = requestOf(keyOf(home, undefined));
    port = await listen(
      createTcpServer((socket) => {
        socket.on('error', () => undefined).resume();
        socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
      }),
    );
    const cut = await transport.forward('home', home, request);
    expect(cut).to.deep.equal({ kind: 'no-response' });
    const closed = servers.splice(0)[0]!;
    closed.close();
    await once(closed, 'close');
    const refused = await transport.forward('home', home, request);
    expect(refused).to.deep.equal({ kind: 'not-reached' });
  });

  it('refuses malformed and oversized messages instead of storing them', async () => {
    port = await listenAs(witness);
    const post = async (body: Uint8Array<ArrayBuffer>): Promise<number> =>
      (await fetch(`http://${HOST}:${port}/peer/v1/claims`, { method: 'POST', body })).status;
    expect(await post(new Uint8Array([255, 255, 255]))).to.equal(400);
    expect(await post(new Uint8Array())).to.equal(400);
    const tooLarge = await post(new Uint8Array(5 * 1024 * 1024)).catch(() => 413);
    expect(tooLarge).to.equal(413);
  });
});
