import { setTimeout as delay } from 'node:timers/promises';

import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SystemClock } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';

import { BackendPool, MAX_FAILED_IDS } from '../src/index.js';
import type { BackendAttempt, BackendRequest, ConnectionRequirements } from '../src/index.js';
import { RawServer, formatResponse } from './rawServer.js';
import type { RawHandler } from './rawServer.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };
const clock = SystemClock.create();

let server: RawServer;
let pool: BackendPool;
let closeReasons: string[];
let violations: string[];
let lastRequestNumber = 0;

const respondWithBody: RawHandler = (socket, { requestId }) => {
  socket.write(formatResponse(requestId, `body of ${requestId}`));
};

const createPool = (
  maxConnections = 8,
  maxBodyBytes = 1000,
  poolClock: Clock = clock,
): BackendPool =>
  BackendPool.create({
    instanceId: 'i0',
    endpoint: { host: '127.0.0.1', port: server.port },
    maxConnections,
    maxBodyBytes,
    minIdle: 1,
    clock: poolClock,
    connectTimeoutMs: 500,
    onConnectionClosed: ({ reason }) => closeReasons.push(reason),
    onViolation: (name, detail) => violations.push(`${name}: ${detail}`),
  });

const createRequest = (change: Partial<BackendRequest> = {}): BackendRequest => {
  lastRequestNumber += 1;
  return {
    method: 'GET',
    path: '/size?breed=1',
    headers: {},
    requestId: `r${lastRequestNumber}`,
    deadlineAtWallMs: 1_700_000_000_000,
    timeoutMs: 5000,
    ...change,
  };
};

const open = async (requirements: ConnectionRequirements = {}) => {
  const result = await pool.acquire(requirements);
  if (result.kind !== 'acquired') throw new Error(result.detail);
  return result.connection;
};

const send = async (change?: Partial<BackendRequest>): Promise<BackendAttempt> =>
  pool.send(createRequest(change), await open());

/** Waits for a condition that socket events will make true. */
const waitUntil = async (condition: () => boolean): Promise<void> => {
  for (let waitedMs = 0; !condition() && waitedMs < 5000; waitedMs += 5) await delay(5);
  expect(condition()).to.equal(true);
};

const expectFailure = (attempt: BackendAttempt, reason: string): void => {
  expect(attempt).to.include({ kind: 'failed-after-send', reason });
  expect(pool.stats()).to.deep.equal({ idle: 0, busy: 0, opening: 0 });
};

describe('BackendPool', () => {
  beforeEach(async () => {
    server = await RawServer.create(respondWithBody);
    closeReasons = [];
    violations = [];
    pool = createPool();
  });

  afterEach(async () => {
    pool.destroy();
    await server.close();
    expect(violations).to.deep.equal([]);
  });

  it('reuses a connection and marks it as verified with each response', async () => {
    const first = await send();
    expect(first.kind).to.equal('answered');
    const connection = await open({ verifiedWithinMs: 1000 });
    expect(connection.lastResponseAtMs).to.be.a('number');
    const second = await pool.send(createRequest(), connection);
    expect(second.kind === 'answered' && second.response.body.toString()).to.equal(
      `body of r${lastRequestNumber}`,
    );
    expect(server.sockets).to.have.length(1);
  });

  // Guards against a request that is in flight while the backend server closes the connection:
  // the result of an order would be unknown.
  it('does not use a connection that its backend server is about to close', async () => {
    const manualClock = ManualClock.create();
    pool = createPool(8, 1000, manualClock);
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'ok', 'Keep-Alive: timeout=2, max=100\r\n'));
    };
    await send();
    manualClock.advance(1_000);
    await send();
    expect(server.sockets).to.have.length(1);
    manualClock.advance(1_700);
    await send();
    expect(server.sockets).to.have.length(2);
    manualClock.advance(1_700);
    pool.sweep();
    expect(pool.stats()).to.deep.equal({ idle: 0, busy: 0, opening: 0 });
  });

  it('removes received Bronzelift and hop-by-hop headers, and sets its own Bronzelift headers', async () => {
    server.handler = (socket, { requestId }) => {
      const extra =
        'x-load-state: cold\r\nx-load-slots: 4\r\nkeep-alive: timeout=5\r\nx-own: b\r\n';
      socket.write(formatResponse(requestId, 'ok', extra));
    };
    const headers = {
      connection: 'keep-alive, x-hop',
      'x-hop': '1',
      'x-deadline-ms': '9',
      'x-not-run': '1',
      'bronzelift-timeout-ms': '9',
      'idempotency-key': 'forged',
      accept: 'text/plain',
    };
    const attempt = await send({ headers, idempotencyKey: 'key', callDepth: 3 });
    const sent = server.requests[0]!.head.split('\r\n').slice(1).sort();
    expect(sent).to.deep.equal([
      'accept: text/plain',
      'bronzelift-call-depth: 3',
      'connection: keep-alive',
      `host: 127.0.0.1:${server.port}`,
      'idempotency-key: key',
      'x-deadline-ms: 1700000000000',
      `x-request-id: r${lastRequestNumber}`,
    ]);
    if (attempt.kind !== 'answered') throw new Error(attempt.kind);
    expect(attempt.response.headers).to.deep.equal({ 'x-own': 'b', 'content-length': '2' });
    expect(attempt.response.load).to.include({ state: 'cold', slots: 4, inFlight: undefined });
  });

  it('never passes on a response that is incomplete, swapped, reset or not HTTP', async () => {
    const cases: [string, RawHandler][] = [
      [
        'cut-short',
        (socket, { requestId }) => socket.end(formatResponse(requestId, 'abc', '', 10)),
      ],
      ['cut-short', (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nbody without a length')],
      [
        'cut-short',
        (socket) => socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n'),
      ],
      ['mismatched', (socket) => socket.write(formatResponse('other', 'abc'))],
      ['reset', (socket) => socket.resetAndDestroy()],
      ['reset', (socket) => socket.end()],
      ['malformed', (socket) => socket.write('garbage\r\n\r\n')],
      ['malformed', (socket, { requestId }) => socket.write(`${formatResponse(requestId, 'a')}bc`)],
      [
        'malformed',
        (socket, { requestId }) => socket.write(formatResponse(requestId, 'a').repeat(2)),
      ],
    ];
    for (const [reason, handler] of cases) {
      server.handler = handler;
      expectFailure(await send(), reason);
    }
  });

  it('does not give a late response to the next request', async () => {
    server.handler = (socket, { requestId, index, connection }) => {
      if (connection === 0 && index === 0) {
        setTimeout(() => socket.write(formatResponse(requestId, 'late')), 60);
      } else respondWithBody(socket, { requestId, index, connection, head: '' });
    };
    expectFailure(await send({ timeoutMs: 30 }), 'timeout');
    const next = await send();
    expect(next.kind === 'answered' && next.response.body.toString()).to.equal(
      `body of r${lastRequestNumber}`,
    );
    expect(server.requests[1]!.connection).to.equal(1);
  });

  it('closes idle and reserved connections that receive data without a request', async () => {
    await send();
    server.sockets[0]!.write(formatResponse('stray', 'stray'));
    await waitUntil(() => closeReasons.length === 1);
    expect(pool.stats().idle).to.equal(0);
    const reserved = await open();
    await waitUntil(() => server.sockets.length === 2);
    server.sockets[1]!.write(formatResponse('stray', 'stray'));
    await waitUntil(() => closeReasons.length === 2);
    expect(closeReasons).to.deep.equal(['in-doubt', 'in-doubt']);
    expect((await pool.send(createRequest(), reserved)).kind).to.equal('not-sent');
  });

  it('on a timeout, closes idle connections that received no response since the request was sent', async () => {
    const [silent, old, recent] = [await open(), await open(), await open()];
    pool.release(old);
    server.handler = () => {};
    const attempt = pool.send(createRequest({ timeoutMs: 300 }), silent);
    await waitUntil(() => server.requests.length === 1);
    server.handler = respondWithBody;
    await pool.send(createRequest(), recent);
    expect(await attempt).to.include({ kind: 'failed-after-send', reason: 'timeout' });
    expect(closeReasons).to.deep.equal(['in-doubt', 'suspect']);
    expect(pool.connections()).to.deep.equal([recent]);
  });

  it('accepts a response that arrived while the process was paused beyond the timeout', async () => {
    server.handler = (socket, request) => {
      respondWithBody(socket, request);
      const resumeAtMs = performance.now() + 100;
      while (performance.now() < resumeAtMs);
    };
    expect((await send({ timeoutMs: 50 })).kind).to.equal('answered');
  });

  // Guards against a refusal that is not recognized, so that the request is not retried.
  it('reports a refused request as refused and keeps the connection', async () => {
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'busy', 'x-not-run: 1\r\n'));
    };
    expect((await send()).kind).to.equal('refused');
    expect(pool.stats().idle).to.equal(1);
  });

  // Guards against a request that runs and is reported as not run, because the backend server sent
  // an earlier refusal again.
  it('does not take a refusal without a request id as proof that the request has not run', async () => {
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'busy', 'x-not-run: 1\r\n'));
    };
    await send();
    server.handler = (socket) => {
      socket.write('HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
    };
    expectFailure(await send(), 'mismatched');
  });

  // Guards against the second try of a refused request that takes a late copy of its first refusal
  // for its own answer.
  it('does not send a refused request again over the connection of its refusal', async () => {
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'busy', 'x-not-run: 1\r\n'));
    };
    const request = createRequest();
    expect((await pool.send(request, await open())).kind).to.equal('refused');
    server.handler = respondWithBody;
    expect((await pool.send(request, await open())).kind).to.equal('not-sent');
    expect((await pool.send(request, await open())).kind).to.equal('answered');
    expect(server.requests.map(({ connection }) => connection)).to.deep.equal([0, 1]);
    expect(closeReasons).to.deep.equal(['in-doubt']);
  });

  // Guards against a connection that forgets which requests it has refused, or remembers all.
  it('closes a connection that has refused as many requests as it can remember', async () => {
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'busy', 'x-not-run: 1\r\n'));
    };
    for (let index = 0; index < MAX_FAILED_IDS; index += 1) await send();
    expect(closeReasons).to.deep.equal(['in-doubt']);
    expect(server.sockets).to.have.length(1);
  });

  it('reports a response above the size limit as too large, and closes the connection', async () => {
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'x'.repeat(2000)));
    };
    expect(await send()).to.include({ kind: 'too-large', status: 200 });
    server.handler = (socket) => {
      const chunk = `7d0\r\n${'x'.repeat(2000)}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`);
    };
    expect((await send()).kind).to.equal('too-large');
    expect(pool.stats()).to.deep.equal({ idle: 0, busy: 0, opening: 0 });
  });

  it('accepts chunked responses, responses without a body, and `connection: close`', async () => {
    server.handler = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n');
    };
    const chunked = await send();
    expect(chunked.kind === 'answered' && chunked.response.body.toString()).to.equal('abc');
    server.handler = (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n');
    expect((await send({ method: 'HEAD' })).kind).to.equal('answered');
    server.handler = (socket) => socket.write('HTTP/1.1 204 No Content\r\n\r\n');
    expect((await send()).kind).to.equal('answered');
    expect(pool.stats().idle).to.equal(1);
    server.handler = (socket, { requestId }) => {
      socket.write(formatResponse(requestId, 'bye', 'connection: close\r\n'));
    };
    expect((await send()).kind).to.equal('answered');
    expect(pool.stats().idle).to.equal(0);
    expect(closeReasons).to.deep.equal(['ended-by-backend']);
  });

  // Guards against a backend server that keeps working on a cancelled request.
  it('closes the connection of a cancelled request', async () => {
    const caller = new AbortController();
    server.handler = () => caller.abort();
    const attempt = await pool.send(createRequest(), await open(), caller.signal);
    expectFailure(attempt, 'cancelled');
    await waitUntil(() => server.sockets[0]!.destroyed);
  });

  it('reports not-sent for a closed connection and for a cancelled, expired or invalid request', async () => {
    const connection = await open();
    await waitUntil(() => server.sockets.length === 1);
    server.sockets[0]!.destroy();
    await waitUntil(() => !connection.isOpen);
    const onClosed = await pool.send(createRequest(), connection);
    expect(onClosed).to.include({ kind: 'not-sent', reason: 'connection-closed' });
    const onGone = await pool.send(createRequest(), await open(), AbortSignal.abort());
    expect(onGone).to.include({ kind: 'not-sent', reason: 'cancelled' });
    expect(await send({ timeoutMs: 0 })).to.include({ kind: 'not-sent', reason: 'expired' });
    const invalid = await send({ path: '/\u{1F436}' });
    expect(invalid).to.include({ kind: 'not-sent', reason: 'invalid-request' });
    const caller = new AbortController();
    const beforeWrite = pool.send(createRequest(), await open(), caller.signal);
    caller.abort();
    expect((await beforeWrite).kind).to.equal('not-sent');
    await delay(30);
    expect(server.requests).to.deep.equal([]);
  });

  it('selects connections by age and last response, and opens no more than its limit', async () => {
    pool.destroy();
    pool = createPool(2);
    const [first, second] = [await open(), await open()];
    expect(await pool.acquire({})).to.include({ kind: 'not-available', reason: 'limit' });
    pool.release(first);
    pool.release(second);
    const betweenMs = (first.openedAtMs + second.openedAtMs) / 2;
    expect(pool.takeIdle({ openedBeforeMs: betweenMs })).to.equal(first);
    const none = await pool.acquire({ openedBeforeMs: betweenMs });
    expect(none).to.include({ kind: 'not-available', reason: 'no-match' });
    pool.release(first);
    await delay(20);
    const renewed = await pool.acquire({ verifiedWithinMs: 10 });
    expect(renewed).to.include({ kind: 'acquired', isNew: true });
    expect(pool.stats()).to.deep.equal({ idle: 1, busy: 1, opening: 0 });
  });

  // Guards against responses that are swapped between two requests on one connection.
  it('never sends two requests on one connection at the same time', async () => {
    const connection = await open();
    const first = pool.send(createRequest(), connection);
    const second = await pool.send(createRequest(), connection);
    expect(second).to.include({ kind: 'not-sent', reason: 'connection-busy' });
    pool.release(connection);
    expect(pool.stats().busy).to.equal(1);
    expect((await first).kind).to.equal('answered');
    expect(server.requests).to.have.length(1);
  });

  // Guards against a burst that cannot use warm slots because a quiet time closed all connections.
  it('closes connections that stay idle for a minute, except `minIdle` of them', async () => {
    const manual = ManualClock.create();
    pool.destroy();
    pool = createPool(8, 1000, manual);
    const opened = [await open(), await open(), await open()];
    for (const connection of opened) pool.release(connection);
    manual.advance(59_000);
    pool.sweep();
    expect(pool.stats().idle).to.equal(3);
    manual.advance(2000);
    pool.sweep();
    expect(pool.connections()).to.deep.equal([opened[2]]);
  });

  it('reports that no connection is available when connecting fails', async () => {
    await server.close();
    const result = await pool.acquire({});
    expect(result).to.include({ kind: 'not-available', reason: 'connect-failed' });
    server = await RawServer.create(respondWithBody);
  });

  it('gives every request its own complete response or a failure, whatever the server sends', async () => {
    const behaviours = [
      'ok',
      'cut',
      'crossed',
      'reset',
      'late',
      'twice',
      'slow',
      'open-ended',
    ] as const;
    const createHandler =
      (behaviour: (typeof behaviours)[number]): RawHandler =>
      (socket, request) => {
        const whole = formatResponse(request.requestId, `body of ${request.requestId}`);
        if (behaviour === 'ok') socket.write(whole);
        if (behaviour === 'cut') socket.end(whole.slice(0, -3));
        if (behaviour === 'crossed') socket.write(formatResponse('r0', 'body of r0'));
        if (behaviour === 'reset') socket.resetAndDestroy();
        if (behaviour === 'late') setTimeout(() => socket.write(whole), 30);
        if (behaviour === 'twice') socket.write(whole + whole);
        if (behaviour === 'open-ended') socket.end('HTTP/1.1 200 OK\r\n\r\nbody');
        if (behaviour === 'slow') for (const byte of whole) socket.write(byte);
      };
    const property = fc.asyncProperty(
      fc.array(fc.constantFrom(...behaviours), { minLength: 1, maxLength: 12 }),
      async (plan) => {
        const remaining = [...plan];
        server.handler = (socket, request) =>
          createHandler(remaining.pop() ?? 'ok')(socket, request);
        const attempts = plan.map(async () => {
          const acquired = await pool.acquire({});
          if (acquired.kind !== 'acquired') return;
          const request = createRequest({ timeoutMs: 20 });
          const attempt = await pool.send(request, acquired.connection);
          if (attempt.kind !== 'answered') return;
          expect(attempt.response.body.toString()).to.equal(`body of ${request.requestId}`);
        });
        await Promise.all(attempts);
        expect(pool.stats().busy).to.equal(0);
      },
    );
    await fc.assert(property, { numRuns: 60, ...seedOption });
  });
});
