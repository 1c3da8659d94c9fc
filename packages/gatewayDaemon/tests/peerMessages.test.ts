import { expect } from 'chai';

import { decodeMessage, encodeMessage } from '../src/peerMessages.js';
import type { PeerMessage } from '../src/peerMessages.js';

const MESSAGES: readonly PeerMessage[] = [
  {
    kind: 'crashes',
    evidence: {
      crashes: [{ fingerprint: 'a', instanceProcess: 'i-1 5' }],
      aliveProcesses: ['i-2 6'],
      completed: ['b', 'c'],
    },
  },
  { kind: 'quarantines', quarantines: [{ fingerprint: 'a', untilWallMs: 1_700_000_000_000 }] },
  { kind: 'quarantine-query' },
];

describe('messages between members', () => {
  // Guards against fields that members send but do not read.
  MESSAGES.forEach((message) => {
    it(`are read as they were sent: ${message.kind}`, () => {
      expect(decodeMessage(encodeMessage(message))).to.deep.equal(message);
    });
  });
});
