import { createSocket } from 'node:dgram';

import { MAX_CALL_DEPTH } from '@bronzelift/common';
import { HeartbeatSocket } from '@bronzelift/membership';
import { HeartbeatRequestSchema, HeartbeatResponseSchema } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';
import { expect } from 'chai';
import fc from 'fast-check';

import { findFreePorts } from '@bronzelift/local-deployment';

import { readRequestHead } from '../src/callerRequest.js';

const SEED = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const headerValue = fc.oneof(
  fc.string({ unit: 'binary', maxLength: 200 }),
  fc.integer().map(String),
  fc.constantFrom('', '-1', '1e9', '0x10', ' 5', '99999999999999999999', 'NaN'),
);

describe('readRequestHead', () => {
  // Guards against a request line or header that ends the process because the parser throws.
  it('never throws, and accepts only valid values, whatever the request line and headers', () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string({ unit: 'binary' }),
          fc.webPath(),
          fc.constantFrom('/s', '/s/a?b', '//'),
        ),
        fc.constantFrom('GET', 'POST', 'PUT', 'BREW', ''),
        fc.option(headerValue, { nil: undefined }),
        fc.option(headerValue, { nil: undefined }),
        fc.option(headerValue, { nil: undefined }),
        (url, method, timeoutMs, callDepth, key) => {
          const headers = {
            'bronzelift-timeout-ms': timeoutMs,
            'bronzelift-call-depth': callDepth,
            'idempotency-key': key,
          };
          const read = readRequestHead({ method, headers }, url);
          if (read.kind === 'refused') return;
          expect(read.head.service).to.match(/^[a-z0-9-]+$/);
          expect(read.head.path).to.match(/^\/\S*$/);
          expect(read.head.callDepth).to.be.within(0, MAX_CALL_DEPTH);
          expect(read.head.isOrder ? read.head.idempotencyKey : 'none').to.be.a('string');
        },
      ),
      { ...SEED, numRuns: 5_000 },
    );
  });
});

describe('HeartbeatSocket', () => {
  // Guards against a sender that stops heartbeats by sending other datagrams.
  it('ignores datagrams that are not heartbeats', async () => {
    const [port] = await findFreePorts(1);
    const endpoint = { host: '127.0.0.1', port: port! };
    const socket = HeartbeatSocket.create(() =>
      create(HeartbeatResponseSchema, { leaseGranted: true }),
    );
    await socket.bind(endpoint);
    const sender = createSocket('udp4');
    // Sent one after the other, because a burst would overflow the receive buffer of the socket.
    const send = (data: Uint8Array): Promise<void> =>
      new Promise((resolve) => {
        sender.send(data, endpoint.port, endpoint.host, () => setImmediate(resolve));
      });
    for (const data of fc.sample(fc.uint8Array({ maxLength: 1_400 }), { ...SEED, numRuns: 500 })) {
      await send(data);
    }
    await send(Buffer.alloc(40_000, 1));
    const response = await socket.exchange(endpoint, create(HeartbeatRequestSchema, {}));
    sender.close();
    socket.close();
    expect(response.leaseGranted).to.equal(true);
  });
});
