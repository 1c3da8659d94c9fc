import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SeededRandom } from '@bronzelift/common';
import { COLD_RATE_DIVISION, COLD_RATE_PER_SHARER, SharedRateLimit } from '@bronzelift/slots';

import {
  MAX_DATAGRAM_BYTES,
  MAX_OPERATOR_WATCHERS,
  MEMBER_LOST_MS,
  MEMBER_REMOVAL_MS,
  MIN_LISTED_SHARE,
  NO_POSITION,
  READER_COUNT,
} from '../src/constants.js';
import { MemberTable } from '../src/memberTable.js';
import type { MemberStatus } from '../src/memberTable.js';
import { decodeMessage, encodeChanges, encodeMessage } from '../src/peerMessages.js';
import { createPosition } from '../src/storePosition.js';

import { createRecord } from './support/createRecord.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };
const DOMAINS = ['a', 'b', 'c'];

const createStatus = (index: number, fields: Partial<MemberStatus> = {}): MemberStatus => ({
  vmId: `vm-${index}`,
  incarnation: 'first',
  failureDomainId: DOMAINS[index % DOMAINS.length]!,
  callerEndpoint: { host: `10.0.0.${index}`, port: 80 },
  phase: 'ready',
  isStoreFailing: false,
  isReader: false,
  storeReadAgeMs: 100,
  operatorRevision: 1,
  configurationVersion: 1,
  instancePosition: 1,
  instanceDigest: 1,
  quarantineDigest: 1,
  isCutOff: false,
  unreachedServices: [],
  ...fields,
});

/** Creates one table per member, each with a heartbeat of every other member. */
const createTables = (statuses: readonly MemberStatus[], clock = ManualClock.create()) => {
  const tables = statuses.map((own, index) =>
    MemberTable.create({
      clock,
      random: SeededRandom.create(index + 1),
      regionOfDomain: new Map(DOMAINS.map((domain) => [domain, 'north'])),
      own: () => own,
    }),
  );
  tables.forEach((table, index) => {
    statuses.forEach((status, other) => {
      if (other !== index) table.recordHeartbeat(status, status.callerEndpoint.host);
    });
  });
  return { tables, clock };
};

const range = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

describe('MemberTable', () => {
  // Guards against members that elect different readers, so that none or too many read the store.
  it('elects the same readers on all members, in different failure domains, and avoids failing members', () => {
    fc.assert(
      fc.property(fc.integer({ min: 2, max: 20 }), fc.nat(), (count, failing) => {
        const failingIndex = failing % count;
        const statuses = range(count).map((index) =>
          createStatus(index, { isStoreFailing: index === failingIndex }),
        );
        const { tables } = createTables(statuses);
        tables[failingIndex]!.recordStoreCall(false);
        const elected = tables.map((table) => table.electReaders());
        for (const readers of elected) expect(readers).to.deep.equal(elected[0]);
        expect(elected[0]).to.have.length(Math.min(READER_COUNT, count));
        if (count > READER_COUNT) expect(elected[0]).to.not.include(`vm-${failingIndex}`);
        const domains = elected[0]!.map((id) => Number(id.slice(3)) % DOMAINS.length);
        if (count > DOMAINS.length) expect(new Set(domains).size).to.equal(READER_COUNT);
      }),
      seedOption,
    );
  });

  // Guards against a loss of several members at the same time after which nobody watches the
  // operators' records until others are elected.
  it('elects watchers of which one remains if the tolerated number of members is lost', () => {
    for (const count of [1, 3, 14, 142]) {
      const { tables } = createTables(range(count).map((index) => createStatus(index)));
      for (const toleratedLosses of [0, 2, 3, 500]) {
        const watchers = range(count).filter((index) =>
          tables[index]!.isElectedWatcher(toleratedLosses),
        );
        const wanted = Math.min(Math.max(toleratedLosses + 1, READER_COUNT), MAX_OPERATOR_WATCHERS);
        expect(watchers).to.have.length(Math.min(wanted, count));
        const ids = watchers.map((index) => `vm-${index}`);
        expect(ids).to.include.members(tables[0]!.electReaders());
        const domains = new Set(watchers.map((index) => index % DOMAINS.length));
        if (count > DOMAINS.length) expect(domains.size).to.equal(Math.min(wanted, DOMAINS.length));
      }
    }
  });

  // Guards against more requests than a cold instance accepts when all members send at the same
  // time.
  it('limits the requests of all members together to a cold instance in any second', () => {
    const limits = fc.record({
      members: fc.integer({ min: 1, max: 150 }),
      requestsPerS: fc.integer({ min: 8, max: 40 }),
      seed: fc.integer(),
    });
    fc.assert(
      fc.property(limits, ({ members, requestsPerS, seed }) => {
        const { tables, clock } = createTables(range(members).map((index) => createStatus(index)));
        const maxSharers = Math.floor(requestsPerS / COLD_RATE_PER_SHARER);
        const limit = { ratePerS: requestsPerS };
        const random = SeededRandom.create(seed);
        const senders = tables.map((table) => ({
          settings: { ...limit, sharers: table.countInstanceSharers('i-1', 'a', maxSharers) },
          bucket: SharedRateLimit.create(clock, COLD_RATE_DIVISION),
        }));
        const sentAtMs: number[] = [];
        for (let step = 0; step < 300; step += 1) {
          clock.advance(10);
          const isOverloaded = random.next() < 0.5;
          for (const { settings, bucket } of senders) {
            if (!isOverloaded || !bucket.hasToken(settings)) continue;
            bucket.spendToken(settings);
            sentAtMs.push(clock.monotonicMs());
          }
        }
        expect(sentAtMs.length).to.be.above(0);
        sentAtMs.forEach((startMs, index) => {
          const inSecond = sentAtMs.slice(index).filter((atMs) => atMs < startMs + 1_000).length;
          expect(inSecond).to.be.at.most(requestsPerS * 1.5);
        });
      }),
      { ...seedOption, numRuns: 40 },
    );
  });

  // Guards against remembered shares of a cold limit that no longer match the members.
  it('distributes a cold instance like a new table after members join, move and are removed', () => {
    const clock = ManualClock.create();
    const { tables } = createTables(
      range(12).map((index) => createStatus(index)),
      clock,
    );
    const [table] = tables;
    const expectSameAsNewTable = (others: readonly MemberStatus[]): void => {
      const fresh = createTables([createStatus(0), ...others], clock).tables[0]!;
      for (const instance of range(40)) {
        const args = [`i-${instance}`, DOMAINS[instance % DOMAINS.length]!, 3] as const;
        expect(table!.countInstanceSharers(...args)).to.equal(fresh.countInstanceSharers(...args));
      }
    };
    const others = range(12)
      .slice(1)
      .map((index) => createStatus(index));
    expectSameAsNewTable(others);
    const joined = createStatus(20);
    table!.recordHeartbeat(joined, 'h');
    expectSameAsNewTable([...others, joined]);
    const moved = createStatus(20, { failureDomainId: DOMAINS[0]! });
    table!.recordHeartbeat(moved, 'h');
    expectSameAsNewTable([...others, moved]);
    clock.advance(MEMBER_REMOVAL_MS + 1);
    table!.recordHeartbeat(moved, 'h');
    table!.removeLost();
    expectSameAsNewTable([moved]);
  });

  // Guards against a limit that is divided by a former failure domain of a member that a relay lists.
  it('distributes a cold instance anew when a listed member has moved', () => {
    const { tables } = createTables([createStatus(0)]);
    const [table] = tables;
    const count = (): number => table!.countInstanceSharers('i-1', 'a', 9);
    const moving = createStatus(3, { sequence: 1 });
    table!.recordListed({ status: moving, host: '10.0.0.3' }, 0);
    expect(count()).to.equal(2);
    const moved = { ...moving, failureDomainId: 'b', incarnation: 'second' };
    table!.recordListed({ status: moved, host: '10.0.0.3' }, 0);
    expect(count()).to.equal(1);
  });

  // Guards against callers that are sent to a stopping member or needlessly to another failure
  // domain.
  it("lists ready members of the caller's failure domain, and others only if that domain has none", () => {
    const statuses = [
      createStatus(0),
      createStatus(1),
      createStatus(3, { phase: 'leaving' }),
      createStatus(6),
    ];
    const { tables, clock } = createTables(statuses);
    const hostsFor = (domain: string): string[] =>
      tables[1]!
        .selectAddresses({ failureDomainId: domain, region: 'north' })
        .map(({ host }) => host);
    expect(hostsFor('a')).to.have.members(['10.0.0.0', '10.0.0.6']);
    expect(hostsFor('c')).to.have.members(['10.0.0.0', '10.0.0.1', '10.0.0.6']);
    clock.advance(MEMBER_LOST_MS + 1);
    // Guards against listing members that are lost.
    expect(hostsFor('a')).to.deep.equal(['10.0.0.1']);
  });

  // Guards against a heartbeat whose fields are mixed up by position, and a malformed datagram that
  // ends the process.
  it('decodes each message that it encoded and does not throw on arbitrary bytes', () => {
    const status = createStatus(4, { isReader: true, phase: 'starting', storeReadAgeMs: 17 });
    const messages = [
      { kind: 'heartbeat', status } as const,
      { kind: 'heartbeat', status: createStatus(5, { instancePosition: -1 }) } as const,
      {
        kind: 'heartbeat',
        status: createStatus(6, {
          operatorRevision: createPosition(2, 7),
          instancePosition: createPosition(3, 90),
        }),
      } as const,
      { kind: 'members', hosts: ['10.0.0.1'] } as const,
      {
        kind: 'limits',
        limits: [
          { instanceId: 'i-1', startedAtWallMs: 1, version: 2, maxRequestsPerS: 2.6 },
          { instanceId: 'i-2', startedAtWallMs: 1, version: 3, maxRequestsPerS: undefined },
        ],
      } as const,
    ];
    for (const message of messages) {
      expect(decodeMessage(encodeMessage(message))).to.deep.equal(message);
    }
    const removal = { record: undefined, recordPosition: NO_POSITION, removedPosition: 7 };
    const entries = range(200).flatMap((index) => [
      { id: `r${index}`, ...removal, retainForMs: 0 },
      {
        id: `i${index}`,
        record: createRecord(`i${index}`, { startedAtWallMs: 1_700_000_000_000 + index }),
        recordPosition: index,
        removedPosition: NO_POSITION,
        retainForMs: 0,
      },
    ]);
    const datagrams = encodeChanges(entries);
    const decoded = datagrams.map((datagram) => decodeMessage(datagram));
    expect(
      decoded.flatMap((message) => (message as { entries?: unknown[] }).entries),
    ).to.deep.equal(entries);
    for (const { length } of datagrams) expect(length).to.be.at.most(MAX_DATAGRAM_BYTES);
    fc.assert(
      fc.property(fc.uint8Array(), fc.json(), (bytes, json) => {
        decodeMessage(Buffer.from(bytes));
        decodeMessage(Buffer.from(json));
      }),
      seedOption,
    );
  });

  [14, 92, 142].forEach((count) => {
    const hasCut = {
      'half of them': (index: number) => index % 2 === 0,
      'a failure domain': (index: number) => index % DOMAINS.length === 0,
      'all but one in each domain': (index: number) => index >= DOMAINS.length,
    };
    Object.entries(hasCut).forEach(([name, isCut]) => {
      // Guards against callers and requests that are sent to members which reach no instance, and
      // against a few members that get all of them.
      it(`sends nothing to members that are cut off: ${name} of ${count}`, () => {
        const statuses = range(count).map((index) =>
          createStatus(index, isCut(index) ? { isCutOff: true, unreachedServices: ['s'] } : {}),
        );
        const { tables } = createTables(statuses);
        const reaching = statuses.filter((_status, index) => !isCut(index));
        const hosts = new Set(reaching.map(({ callerEndpoint }) => callerEndpoint.host));
        const received = new Map<string, number>();
        const rounds = 50;
        for (const table of tables) {
          for (const domain of DOMAINS) {
            const endpoints = table.selectAddresses({ failureDomainId: domain, region: 'north' });
            expect(endpoints.every(({ host }) => hosts.has(host))).to.equal(true);
            const inDomain = statuses.filter((status) => status.failureDomainId === domain);
            const minListed = Math.min(inDomain.length * MIN_LISTED_SHARE, reaching.length);
            expect(endpoints.length).to.be.at.least(minListed);
          }
          for (let round = 0; round < rounds; round += 1) {
            const need = { service: 's', minVersion: 1, allowedRegions: [] };
            const [first] = table.selectForwarders(need);
            expect(hosts.has(first!.host)).to.equal(true);
            received.set(first!.host, (received.get(first!.host) ?? 0) + 1);
          }
        }
        const mean = (count * rounds) / hosts.size;
        expect(Math.max(...received.values())).to.be.below(mean * 1.6);
      });
    });
  });

  // Guards against a system without addresses when the instances fail for all members.
  it('names all members when none of them reaches an instance', () => {
    const statuses = range(6).map((index) => createStatus(index, { isCutOff: true }));
    const { tables } = createTables(statuses);
    const endpoints = tables[0]!.selectAddresses({ failureDomainId: 'a', region: 'north' });
    expect(endpoints).to.have.length(2);
    expect(tables[0]!.isAnyReaching(['s'])).to.equal(false);
  });
});
