import { expect } from 'chai';

import { decodeMessage, encodeMessage } from '../src/peerMessages.js';
import type { MemberStatus } from '../src/memberTable.js';
import type { PeerMessage } from '../src/peerMessages.js';

const status: MemberStatus = {
  vmId: 'edge-2',
  incarnation: 'abc',
  failureDomainId: 'a',
  callerEndpoint: { host: '10.0.0.2', port: 80 },
  phase: 'leaving',
  isStoreFailing: true,
  isReader: false,
  storeReadAgeMs: 5,
  operatorRevision: 7,
  configurationVersion: 3,
  instancePosition: 9,
  instanceDigest: 11,
  isCutOff: true,
  unreachedServices: ['fitting'],
  quarantineDigest: 13,
  sequence: 4,
  purpose: 'search',
};

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
  { kind: 'heartbeat', status },
  {
    kind: 'digest',
    digest: {
      status,
      domains: [{ failureDomainId: 'a', digest: 7 }],
      readerAgeMs: 8,
      readAgeMs: 9,
    },
  },
  {
    kind: 'roster-change',
    change: {
      relayId: 'edge-1',
      failureDomainId: 'a',
      formerDigest: 1,
      digest: 2,
      changed: [{ status, host: '10.0.0.2' }],
      removed: ['edge-3'],
    },
  },
];

describe('messages between members', () => {
  // Guards against fields that members send but do not read.
  MESSAGES.forEach((message) => {
    it(`are read as they were sent: ${message.kind}`, () => {
      expect(decodeMessage(encodeMessage(message))).to.deep.equal(message);
    });
  });

  // Guards against a status of an earlier build that is taken for one of a member with relays.
  it('leave out what earlier builds do not send', () => {
    const { sequence, purpose, ...earlier } = status;
    expect([sequence, purpose]).to.deep.equal([4, 'search']);
    const decoded = decodeMessage(encodeMessage({ kind: 'heartbeat', status: earlier }));
    expect(decoded).to.deep.equal({ kind: 'heartbeat', status: earlier });
  });
});
