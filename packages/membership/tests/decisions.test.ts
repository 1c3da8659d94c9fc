import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { ManualClock, SeededRandom, sleep } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import {
  AddressBook,
  EvictionPolicy,
  MemberLease,
  VmListReader,
  VmListTracker,
  memberKey,
  parseTicket,
} from '../src/index.js';
import type { AddressCandidate, RosterMember, VmList } from '../src/index.js';

const SEED = process.env.SEED ? { seed: Number(process.env.SEED) } : {};
const MEMBERS: RosterMember[] = [1, 2, 3].map((index) => ({
  vmId: `vm${index}`,
  incarnation: 'a',
  failureDomainId: `d${index % 2}`,
  callerEndpoint: { host: '127.0.0.1', port: 8000 + index },
  peerEndpoint: { host: '127.0.0.1', port: 9000 + index },
}));
const [FIRST, SECOND, THIRD] = MEMBERS as [RosterMember, RosterMember, RosterMember];
const REPORT = { epoch: 1, configurationVersion: 5, drainRevision: 2, settledEpoch: 1 };

describe('MemberLease decisions', () => {
  const create = (clock: ManualClock): MemberLease => {
    const lease = MemberLease.create(clock, FIRST);
    lease.adoptRoster({ epoch: 1, members: MEMBERS });
    lease.recordCounters({ configurationVersion: 5, drainRevision: 2 });
    return lease;
  };

  // Guards against a lease or freshness that lasts beyond 3 s or beyond a pause of the process, and
  // against freshness without the newest configuration and drain revision.
  it('keeps the lease and freshness for at most 3 s after a request, and ends both at a pause', () => {
    const clock = ManualClock.create();
    const lease = create(clock);
    clock.advance(1000);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([0, 0]);
    lease.recordResponse(SECOND, 900, { ...REPORT, drainRevision: 3 }, true);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([2900, 0]);
    lease.recordResponse(THIRD, 950, REPORT, false);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([2900, 2950]);
    clock.advance(2900);
    expect(lease.isLeaseHeld()).to.equal(false);
    lease.recordLogRead(3800);
    lease.recordResponse(SECOND, 3850, REPORT, true);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([2950, 2950]);
    clock.advance(600);
    lease.observeLoopGap(600);
    lease.recordResponse(SECOND, 4400, REPORT, true);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([0, 0]);
    lease.recordResponse(SECOND, clock.monotonicMs(), REPORT, true);
    expect([lease.leaseRemainingMs(), lease.freshnessRemainingMs()]).to.deep.equal([3000, 3000]);
  });

  // Guards against treating a silent evicted member as gone while it may still hold a lease.
  it('treats a silent evicted member as gone only when its lease must have expired', () => {
    const clock = ManualClock.create();
    const lease = create(clock);
    lease.adoptRoster({ epoch: 2, members: [FIRST, SECOND] });
    lease.recordReport(SECOND, { ...REPORT, epoch: 2 });
    clock.advance(3499);
    expect([lease.isGone(THIRD), lease.isSettled()]).to.deep.equal([false, false]);
    clock.advance(1);
    expect([lease.isGone(THIRD), lease.isSettled()]).to.deep.equal([true, true]);
    expect(lease.isGone({ vmId: 'vm9', incarnation: 'a' })).to.equal(false);
  });

  // Guards against a single member that cannot use its slots, also after its restart.
  it('holds the lease and settles its epoch as the only member, even after a restart', () => {
    const clock = ManualClock.create();
    const lease = MemberLease.create(clock, { ...FIRST, incarnation: 'b' });
    lease.adoptRoster({ epoch: 7, members: [FIRST] });
    expect(lease.isLeaseHeld()).to.equal(false);
    lease.adoptRoster({ epoch: 8, members: [{ ...FIRST, incarnation: 'b' }] });
    expect(lease.isLeaseHeld() && lease.isSettled()).to.equal(true);
  });

  // Guards against unbounded memory and lost rosters when no epoch can be settled.
  it('settles a recent epoch once the peers report it, after hundreds of unsettled epochs', () => {
    const clock = ManualClock.create();
    const lease = create(clock);
    for (let epoch = 2; epoch <= 500; epoch++) lease.adoptRoster({ epoch, members: MEMBERS });
    expect([lease.isSettled(), lease.settledEpoch()]).to.deep.equal([false, 1]);
    [SECOND, THIRD].forEach((peer) => lease.recordReport(peer, { ...REPORT, epoch: 499 }));
    expect(lease.settledEpoch()).to.equal(499);
  });
});

describe('EvictionPolicy', () => {
  const view = { members: MEMBERS, isLeaseHeld: true, isConfirmedGone: () => false };

  // Guards against evictions without a lease, before 3 s of silence, or by several members at once.
  it('evicts a silent member only with a lease, and the second evictor waits 500 ms longer', () => {
    const clock = ManualClock.create();
    const policies = [FIRST, SECOND].map((self) => EvictionPolicy.create(clock, self));
    const evictedAtMs: number[][] = [[], []];
    for (; clock.monotonicMs() < 4200; clock.advance(100)) {
      policies.forEach((policy, index) => {
        MEMBERS.slice(0, 2).forEach((member) => policy.recordHeard(member));
        expect(policy.decide({ ...view, isLeaseHeld: false })).to.deep.equal([]);
        for (const { member, reason } of policy.decide(view)) {
          expect([member.vmId, reason]).to.deep.equal(['vm3', 'silent']);
          evictedAtMs[index]!.push(clock.monotonicMs());
        }
      });
    }
    expect(evictedAtMs).to.deep.equal([[3000], [3500]]);
  });

  // Guards against waiting for the silence limit before a member known as gone is evicted.
  it('evicts members known as gone at once, even without a lease', () => {
    const clock = ManualClock.create();
    const policy = EvictionPolicy.create(clock, FIRST);
    const goneView = {
      ...view,
      isLeaseHeld: false,
      isConfirmedGone: ({ vmId }: { vmId: string }) => vmId !== 'vm1',
    };
    const evicted = policy.decide(goneView).map(({ member, reason }) => `${member.vmId} ${reason}`);
    expect(evicted).to.deep.equal(['vm2 gone', 'vm3 gone']);
    expect(policy.decide(goneView)).to.deep.equal([]);
  });
});

describe('AddressBook', () => {
  // Guards against listing members that do not serve, and against a stale witness or one in the
  // failure domain of the home when a better one exists.
  it('lists only serving members and selects the best available witness', () => {
    const candidate: fc.Arbitrary<AddressCandidate> = fc.record({
      member: fc.constant(FIRST),
      isServing: fc.boolean(),
      isTakenOut: fc.boolean(),
      silentMs: fc.constantFrom(0, 1000, 2000, 4000),
    });
    const many = fc.array(candidate, { minLength: 1, maxLength: 6 });
    fc.assert(
      fc.property(many, fc.integer(), (list, seed) => {
        const candidates = list.map((one, index) => ({
          ...one,
          member: { ...FIRST, vmId: `vm-${index}`, failureDomainId: `d${index % 2}` },
        }));
        const clock = ManualClock.create();
        const answer = AddressBook.create(clock, SeededRandom.create(seed)).answer(candidates);
        const usable = candidates.filter((one) => one.isServing && one.silentMs < 3000);
        const listed = usable.filter((one) => !one.isTakenOut);
        const expected = listed.length > 0 ? listed : usable;
        expect(answer?.addresses.length ?? 0).to.equal(expected.length);
        if (!answer) return;
        const ticket = parseTicket(answer.ticket)!;
        expect(ticket.issuedAtMs).to.equal(clock.wallMs());
        const home = expected.find((one) => memberKey(one.member) === memberKey(ticket.home))!;
        const hasRecent = expected.some((one) => one.silentMs < 1500);
        expect(home.silentMs < 1500).to.equal(hasRecent);
        const others = candidates.filter((one) => one.isServing && one !== home);
        expect(ticket.witness === undefined).to.equal(others.length === 0);
        const isGoodWitness = (one: AddressCandidate): boolean =>
          one.silentMs < 1500 && one.member.failureDomainId !== home.member.failureDomainId;
        const witness = others.find((one) => one.member.vmId === ticket.witness?.vmId);
        if (witness) expect(isGoodWitness(witness)).to.equal(others.some(isGoodWitness));
      }),
      { ...SEED, numRuns: 1000 },
    );
    for (const text of [
      'v1.a.b.c.d',
      'v1.a.b.-.-.x',
      'v2.a.b.-.-.1',
      'v1.a.b.c.-.1',
      'v1.A.b.c.d.1',
    ]) {
      expect(parseTicket(text)).to.equal(undefined);
    }
  });
});

describe('VmListReader', () => {
  const listOf = (asOfMs: number, ...vmIds: string[]): VmList => ({
    asOfMs,
    vms: vmIds.map((vmId) => ({ vmId, address: '127.0.0.1', failureDomainId: 'd', state: 'live' })),
  });

  // Guards against treating a VM as gone after one list, a repeated list or a lagging list.
  it('treats a VM as gone after two newer lists without the VM, or after 60 s if never listed', () => {
    const tracker = VmListTracker.create();
    const goneAt = (list: VmList): readonly string[] => tracker.recordList(list, ['vm7']).gone;
    expect(goneAt(listOf(1000, 'vm1', 'vm2'))).to.deep.equal([]);
    expect(goneAt(listOf(2000, 'vm1'))).to.deep.equal([]);
    expect(goneAt(listOf(2000, 'vm1'))).to.deep.equal([]);
    expect(goneAt(listOf(3000, 'vm1'))).to.deep.equal(['vm2']);
    expect(goneAt(listOf(60_999, 'vm1'))).to.deep.equal([]);
    expect(goneAt(listOf(61_000, 'vm1'))).to.deep.equal(['vm7']);
  });

  // Guards against an outage of the VM list server that stops the polling.
  it('continues to poll during an outage of the VM list server', async () => {
    let reads = 0;
    const server = createServer((_, response) => {
      reads += 1;
      if (reads < 3) response.statusCode = 503;
      const vms = [{ vmId: 'vm1', address: '127.0.0.1', failureDomainId: 'd', state: 'leaving' }];
      response.end(JSON.stringify({ asOfMs: reads, vms: reads < 5 ? vms : [] }));
    }).listen(0, '127.0.0.1');
    while (!server.listening) await sleep(5);
    const events: string[] = [];
    const reader = VmListReader.start({
      endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
      expectedVmIds: () => [],
      onList: () => undefined,
      onLeaving: (vmId) => events.push(`leaving ${vmId}`),
      onGone: (vmId) => events.push(`gone ${vmId}`),
      onError: ({ step }) => events.push(step),
      intervalMs: 5,
    });
    for (let waitedMs = 0; waitedMs < 5000 && !events.includes('gone vm1'); waitedMs += 10) {
      await sleep(10);
    }
    await reader.stop();
    server.close();
    expect(events).to.deep.equal(['read VM list', 'read VM list', 'leaving vm1', 'gone vm1']);
  });
});
