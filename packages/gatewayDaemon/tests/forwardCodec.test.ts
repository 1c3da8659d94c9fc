import { expect } from 'chai';
import fc from 'fast-check';

import {
  decodeForwardReply,
  decodeForwardedRequest,
  encodeForwardReply,
  encodeForwardedRequest,
} from '../src/forwardCodec.js';
import type { ForwardReply, ForwardedRequest } from '../src/forwardCodec.js';

const body = fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes));

const forwardedRequest: fc.Arbitrary<ForwardedRequest> = fc.record({
  requestId: fc.string(),
  method: fc.constantFrom('GET', 'POST'),
  path: fc.string(),
  headers: fc.constant({ host: 'a.example', 'x-list': 'b' }),
  body: fc.option(body, { nil: undefined }),
  service: fc.string(),
  elapsedMs: fc.nat(),
  callerWaitMs: fc.oneof(fc.nat(), fc.constant(Infinity)),
});

const reply: fc.Arbitrary<ForwardReply> = fc.oneof(
  fc.record({ kind: fc.constant('declined' as const), reason: fc.string() }),
  fc.record({
    kind: fc.constant('handled' as const),
    answer: fc.oneof(
      fc.record({
        kind: fc.constant('answered' as const),
        status: fc.integer({ min: 200, max: 599 }),
        headers: fc.constant({ 'content-length': '3' }),
        body,
      }),
      fc.record({
        kind: fc.constant('refused' as const),
        reason: fc.constant('overloaded' as const),
        retryAfterMs: fc.nat(),
      }),
      fc.record({ kind: fc.constant('failed' as const), reason: fc.constant('timeout' as const) }),
      fc.record({ kind: fc.constant('not-found' as const) }),
    ),
  }),
);

describe('forwarded requests', () => {
  // Guards against bytes or fields that are lost between two members.
  it('arrive as they were sent, and their replies too', () => {
    fc.assert(
      fc.property(forwardedRequest, reply, (request, sentReply) => {
        expect(decodeForwardedRequest(encodeForwardedRequest(request))).to.deep.equal(request);
        expect(decodeForwardReply(encodeForwardReply(sentReply))).to.deep.equal(sentReply);
      }),
    );
  });

  // Guards against a part of a message that is taken for the whole.
  it('are not read from a message that is cut off in its head', () => {
    const data = encodeForwardReply({ kind: 'declined', reason: 'not ready' });
    for (let length = 0; length < data.length; length += 1) {
      expect(() => decodeForwardReply(data.subarray(0, length))).to.throw();
    }
  });
});
