import { deflateRawSync } from 'node:zlib';

import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SeededRandom } from '@bronzelift/common';

import { ControlState } from '../src/controlState.js';
import { decodeForwardReply, decodeForwardedRequest } from '../src/forwardCodec.js';
import { MemberTable } from '../src/memberTable.js';
import { RelayExchange } from '../src/members/index.js';
import { decodeMessage, encodeMessage } from '../src/peerMessages.js';
import type { PeerMessage } from '../src/peerMessages.js';
import { decodeState } from '../src/peerNetwork.js';
import { encodeSnapshot } from '../src/registrationCodec.js';
import { createRecord } from './support/createRecord.js';
import { createRoute } from './support/createRoute.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };
const NUM_RUNS = Number(process.env.RUNS ?? 3_000);
const DEEP_LEVELS = 12_000;
const BASE_MS = 1_700_000_000_000;

/** Stands for a value that is too deep to be handled as one. */
const DEEP_MARK = '@deep';

/** Formats a value as JSON, with marks replaced by deeply nested arrays. */
const formatOddJson = (value: unknown): string =>
  (JSON.stringify(value) ?? 'null').replaceAll(
    `"${DEEP_MARK}"`,
    `${'['.repeat(DEEP_LEVELS)}${']'.repeat(DEEP_LEVELS)}`,
  );

/** Values that another writer, a faulty member or a stranger on the network could send. */
const oddValue = fc.oneof(
  fc.constantFrom<unknown>(
    null,
    '',
    -1,
    0.5,
    1e308,
    -1e308,
    2 ** 53,
    Number.MAX_SAFE_INTEGER,
    10 ** 15,
    [],
    {},
    true,
    'x'.repeat(5_000),
    '__proto__',
    'constructor',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    ':80',
    'no address:80',
    '\u0000\uFFFD',
    { toString: 1 },
    { valueOf: 1, length: 1e9 },
    DEEP_MARK,
  ),
  fc.jsonValue(),
);

const status = {
  vmId: 'edge-2',
  incarnation: 'abc',
  failureDomainId: 'a',
  callerEndpoint: { host: '10.0.0.2', port: 80 },
  phase: 'ready',
  isStoreFailing: false,
  isReader: true,
  storeReadAgeMs: 5,
  operatorRevision: 7,
  configurationVersion: 3,
  instancePosition: 9,
  instanceDigest: 11,
  isCutOff: false,
  unreachedServices: ['fitting'],
  quarantineDigest: 13,
} as const;

const entry = {
  id: 'i-1',
  record: createRecord('i-1'),
  recordPosition: 5,
  removedPosition: -1,
  retainForMs: 0,
};

const MESSAGES: readonly PeerMessage[] = [
  { kind: 'heartbeat', status },
  { kind: 'members', hosts: ['10.0.0.2'] },
  { kind: 'changes', entries: [entry] },
  {
    kind: 'limits',
    limits: [{ instanceId: 'i-1', startedAtWallMs: 1, version: 2, maxRequestsPerS: 3 }],
  },
  {
    kind: 'crashes',
    evidence: {
      crashes: [{ fingerprint: 'f', instanceProcess: 'i-1 1' }],
      aliveProcesses: ['i-1 1'],
      completed: ['f'],
    },
  },
  { kind: 'quarantines', quarantines: [{ fingerprint: 'f', untilWallMs: BASE_MS }] },
  { kind: 'quarantine-query' },
  {
    kind: 'digest',
    digest: {
      status: { ...status, sequence: 2, purpose: 'greeting' },
      domains: [{ failureDomainId: 'a', digest: 3 }],
      readerAgeMs: 4,
      readAgeMs: 5,
    },
  },
  {
    kind: 'roster-change',
    change: {
      relayId: 'edge-2',
      failureDomainId: 'a',
      formerDigest: 0,
      digest: 3,
      changed: [{ status: { ...status, sequence: 2, purpose: 'greeting' }, host: '10.0.0.2' }],
      removed: ['edge-3'],
    },
  },
];

const PEER_STATE = {
  operator: {
    revision: 8,
    nextOffset: 7,
    configuration: {
      version: 3,
      routes: [createRoute()],
      services: [
        { name: 'fitting', healthPath: '/health', maxConnections: 9, coldRequestsPerS: 2 },
      ],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
    domainsOut: ['a'],
    restoredDomains: { domainsOut: ['b'], forMs: 5 },
  },
  instances: encodeSnapshot({ nextPosition: 9, digest: 1, entries: [entry] }),
};

/** Paths to all values within a JSON value, the value itself included. */
const listPaths = (value: unknown, path: readonly string[] = []): (readonly string[])[] => [
  path,
  ...(typeof value === 'object' && value !== null
    ? Object.entries(value).flatMap(([key, item]) => listPaths(item, [...path, key]))
    : []),
];

const replaceAt = (value: unknown, [key, ...rest]: readonly string[], odd: unknown): unknown => {
  if (key === undefined) return odd;
  const items = value as Record<string, unknown>;
  const replaced = replaceAt(items[key], rest, odd);
  if (Array.isArray(value))
    return value.map((item, index) => (`${index}` === key ? replaced : item));
  return { ...items, [key]: replaced };
};

/** A JSON value in which one part is replaced by an odd one. */
const createOddArbitrary = (value: unknown): fc.Arbitrary<unknown> =>
  fc
    .tuple(fc.constantFrom(...listPaths(value)), oddValue)
    .map(([path, odd]) => replaceAt(value, path, odd));

const readMessageFields = (message: PeerMessage): unknown => {
  if (message.kind === 'changes')
    return [6, [['i-1', 5, -1, 0, 'fitting', '10.0.0.1:80', 'a', 4, 0, 0, 1, 1]]];
  return JSON.parse(encodeMessage(message).toString('utf8'));
};

const createState = (clock: ManualClock): ControlState => {
  const state = ControlState.create(clock, {
    onConfiguration: () => {},
    onDomains: () => {},
    onInstances: () => {},
    onRetained: () => {},
    onUnreadable: () => {},
  });
  state.replaceInstances({ storeEra: 0, changes: [], nextOffset: 0 }, undefined);
  return state;
};

const createExchange = (clock: ManualClock, members: MemberTable): RelayExchange =>
  RelayExchange.create({
    clock,
    random: SeededRandom.create(1),
    members,
    ownId: 'edge-1',
    ownDomainId: 'a',
    ownHost: '10.0.0.1',
    seedHosts: ['10.0.0.2'],
    ownStatus: () => ({ ...status, vmId: 'edge-1' }),
    storeReadAgeMs: () => 5,
    send: (_hosts, message) => encodeMessage(message),
    requestRosters: () => {},
    schedule: (callback) => callback(),
    onNewcomer: () => {},
  });

const expectBounded = (numbers: readonly number[]): void => {
  for (const number of numbers) expect(Number.isSafeInteger(Math.ceil(number))).to.equal(true);
};

describe('odd messages and states between members', () => {
  // Guards against a test of odd messages whose good ones are not understood either.
  it('understand the messages before a part of them is replaced', () => {
    for (const message of MESSAGES) {
      const data = Buffer.from(JSON.stringify(readMessageFields(message)));
      expect(decodeMessage(data)?.kind).to.equal(message.kind);
    }
    expect(decodeState(JSON.stringify(PEER_STATE)).operator?.revision).to.equal(8);
  });

  // Guards against a datagram that ends every process that it reaches.
  it('end no process: a name that cannot be a text', () => {
    const fields = readMessageFields({ kind: 'heartbeat', status }) as [number, unknown[]];
    for (const odd of [{ toString: 1 }, DEEP_MARK]) {
      const data = Buffer.from(formatOddJson([fields[0], [odd, ...fields[1].slice(1)]]));
      expect(decodeMessage(data)).to.equal(undefined);
    }
  });

  // Guards against an odd part of a message that ends the process, or that stays in its state as a
  // number with which nothing else can be compared.
  it('leave members running and their state within bounds', () => {
    const clock = ManualClock.create();
    const random = SeededRandom.create(1);
    const odd = fc.oneof(
      ...MESSAGES.map((message) => createOddArbitrary(readMessageFields(message))),
    );
    fc.assert(
      fc.property(odd, fc.boolean(), (fields, isCompressed) => {
        const text = Buffer.from(formatOddJson(fields));
        // eslint-disable-next-line n/no-sync -- a message of a test
        const message = decodeMessage(isCompressed ? deflateRawSync(text) : text);
        const state = createState(clock);
        const members = MemberTable.create({
          clock,
          random,
          regionOfDomain: new Map([['a', 'north']]),
          own: () => ({ ...status, vmId: 'edge-1' }),
        });
        if (message?.kind === 'changes') state.mergeInstanceChanges(message.entries);
        const exchange = createExchange(clock, members);
        if (message?.kind === 'digest') exchange.handleDigest(message.digest, '10.0.0.2');
        if (message?.kind === 'roster-change') exchange.handleRosterChange(message.change);
        exchange.tick();
        if (message?.kind === 'heartbeat') {
          exchange.handleHeartbeat(message.status, '10.0.0.2');
          members.electReaders();
          members.selectAddresses({ failureDomainId: 'a', region: 'north' });
          state.advanceInstancePosition(
            message.status.instancePosition,
            message.status.instanceDigest,
          );
        }
        expectBounded([state.digest, state.nextInstancePosition ?? 0]);
      }),
      { ...seedOption, numRuns: NUM_RUNS },
    );
  });

  // Guards against a registration that a member keeps although no true one is ever newer.
  it('take a good registration after any odd one', () => {
    const clock = ManualClock.create();
    const fields = readMessageFields({ kind: 'changes', entries: [entry] });
    const good = createRecord('i-1', { startedAtWallMs: BASE_MS, sequence: 2 });
    const instanceFields = ['service', 'address', 'domain', 'slots', 'draining', 'cold'];
    fc.assert(
      fc.property(fc.nat(instanceFields.length - 1), oddValue, (index, odd) => {
        const state = createState(clock);
        const oddFields = replaceAt(fields, ['1', '0', `${4 + index}`], odd);
        const message = decodeMessage(Buffer.from(formatOddJson(oddFields)));
        if (message?.kind === 'changes') state.mergeInstanceChanges(message.entries);
        state.mergeInstanceChanges([{ ...entry, record: good, recordPosition: 6 }]);
        const [used] = state.createInstanceSnapshot()!.entries;
        expect(used?.record).to.deep.include({ endpoint: good.endpoint, slots: good.slots });
      }),
      { ...seedOption, numRuns: NUM_RUNS },
    );
  });

  // Guards against a state of a peer that is adopted in part, or ends the process.
  it('adopt a state of a peer whole or not at all', () => {
    const clock = ManualClock.create();
    fc.assert(
      fc.property(createOddArbitrary(PEER_STATE), (odd) => {
        const state = createState(clock);
        let decoded;
        try {
          decoded = decodeState(formatOddJson(odd));
        } catch {
          return;
        }
        if (decoded.operator !== undefined) state.adoptOperatorSnapshot(decoded.operator);
        if (decoded.instances !== undefined) state.mergeInstanceSnapshot(decoded.instances);
        state.routes.find('fittings.example', '/s/1');
        expectBounded([state.revision, state.nextInstancePosition ?? 0, state.digest]);
      }),
      { ...seedOption, numRuns: NUM_RUNS },
    );
  });

  // Guards against bytes of a stranger that end a member as it decodes a forwarded request.
  it('reject arbitrary bytes as a forwarded request or reply with an error', () => {
    const decode = (data: Buffer): void => {
      for (const decodeOne of [decodeForwardedRequest, decodeForwardReply]) {
        try {
          decodeOne(data);
        } catch (error) {
          expect(error).to.be.instanceOf(Error);
        }
      }
    };
    fc.assert(
      fc.property(fc.jsonValue(), fc.uint8Array({ maxLength: 40 }), (head, bytes) => {
        const text = Buffer.from(JSON.stringify(head));
        const length = Buffer.alloc(4);
        length.writeUInt32BE(text.length);
        decode(Buffer.concat([length, text, bytes]));
        decode(Buffer.from(bytes));
      }),
      seedOption,
    );
  });
});
