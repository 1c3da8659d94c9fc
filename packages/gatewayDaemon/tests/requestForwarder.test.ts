import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'chai';

import { SystemClock } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';

import { encodeForwardReply } from '../src/forwardCodec.js';
import type { Member, MemberTable } from '../src/memberTable.js';
import type { RequestContext } from '../src/requestContext.js';
import { RequestForwarder } from '../src/requestForwarder.js';
import type { GatewaySettings } from '../src/types.js';

const WAIT_MS = 300;

describe('RequestForwarder', () => {
  const clock = SystemClock.create();
  let server: Server | undefined;

  afterEach(() => {
    server?.close();
    server?.closeAllConnections();
  });

  /** Creates a forwarder to two members at 127.0.0.1, of which both answer in the given way. */
  const createForwarder = async (answer: RequestListener): Promise<RequestForwarder> => {
    const listening = createServer(answer).listen(0, '127.0.0.1');
    server = listening;
    await once(listening, 'listening');
    const { port } = listening.address() as AddressInfo;
    const member = { status: { failureDomainId: 'a' }, host: '127.0.0.1' } as Member;
    return RequestForwarder.create({
      clock,
      log: DecisionLog.create({ clock, sink: () => Promise.resolve() }),
      metrics: Metrics.create(),
      members: { selectForwarders: () => [member, member] } as unknown as MemberTable,
      settings: { peerPort: port, failureDomainId: 'a' } as GatewaySettings,
      configurationVersion: () => 1,
    });
  };

  const createContext = (): RequestContext => {
    const nowMs = clock.monotonicMs();
    return {
      request: {
        requestId: 'r',
        method: 'GET',
        path: '/',
        headers: {},
        body: undefined,
        arrivedAtMs: nowMs,
        callerWaitMs: WAIT_MS,
        signal: new AbortController().signal,
      },
      service: { name: 's' },
      route: { allowedRegions: [] },
      deadlineAtMs: nowMs + WAIT_MS,
    } as unknown as RequestContext;
  };

  const forward = async (answer: RequestListener) =>
    (await createForwarder(answer)).forward(createContext());

  // Guards against callers that get an error during an upgrade, as the path is not known everywhere.
  it('takes a member that does not know the path for one that declines', async () => {
    let received = 0;
    const outcome = await forward((message, response) => {
      received += 1;
      message.resume();
      response.writeHead(404).end();
    });
    expect(outcome).to.deep.equal({ kind: 'not-sent' });
    expect(received).to.equal(2);
  });

  // Guards against a request that reaches a second member although the first one may have run it.
  it('sends nothing to a second member when the first one closes the connection', async () => {
    let received = 0;
    const outcome = await forward((message) => {
      received += 1;
      message.socket.destroy();
    });
    expect(outcome).to.deep.equal({ kind: 'unknown', isTimeout: false });
    expect(received).to.equal(1);
  });

  // Guards against part of an answer that is returned as the whole.
  it('does not take a reply that is cut off for a whole one', async () => {
    const reply = encodeForwardReply({
      kind: 'handled',
      answer: { kind: 'answered', status: 200, headers: {}, body: Buffer.from('whole answer') },
    });
    const outcome = await forward((message, response) => {
      message.resume();
      response.writeHead(200, { 'content-length': reply.length });
      response.write(reply.subarray(0, reply.length - 3));
      setTimeout(() => response.destroy(), 20);
    });
    expect(outcome.kind).to.equal('unknown');
  });

  // Guards against a request that a member runs and that is reported as declined or answered,
  // because the reply to an earlier one arrived again.
  it('does not take a second copy of a reply for the reply to the next request', async () => {
    const declined = encodeForwardReply({ kind: 'declined', reason: 'not ready' });
    const usedSockets: Socket[] = [];
    const forwarder = await createForwarder((message, response) => {
      message.resume();
      if (usedSockets.push(message.socket) <= 2) {
        response.end(declined);
        return;
      }
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${declined.length}\r\n\r\n`;
      for (const socket of new Set(usedSockets.slice(0, 2))) {
        if (!socket.destroyed) socket.write(Buffer.concat([Buffer.from(head), declined]));
      }
    });
    expect(await forwarder.forward(createContext())).to.deep.equal({ kind: 'not-sent' });
    const outcome = await forwarder.forward(createContext());
    expect(outcome).to.deep.equal({ kind: 'unknown', isTimeout: true });
    expect(usedSockets).to.have.length(3);
  });

  // Guards against requests that are held beyond their deadline by a member that hangs.
  it('ends at the deadline when a member does not answer', async () => {
    const startedAtMs = clock.monotonicMs();
    const outcome = await forward((message) => message.resume());
    expect(outcome).to.deep.equal({ kind: 'unknown', isTimeout: true });
    expect(clock.monotonicMs() - startedAtMs).to.be.below(2 * WAIT_MS);
  });
});
