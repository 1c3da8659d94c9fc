import { expect } from 'chai';
import fc from 'fast-check';

import { MEMBER_LOST_MS, RELAY_COUNT } from '../src/constants.js';
import { RelayWorld, kill, setPhase } from './support/relayWorld.js';
import type { Traffic, WorldMember } from './support/relayWorld.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };
const NUM_RUNS = Number(process.env.RUNS ?? 8);
const DOMAINS = 6;
const START_LIMIT_MS = 3_000;
/** Time after which callers must not be sent to a member that has ended. */
const LOST_LIMIT_MS = 6_000;
const AGREEMENT_LIMIT_MS = 8_000;
/** Bytes that control messages of an entry VM may take each second. */
const MAX_CONTROL_BYTES_PER_S = 6_000;
/** How much more a member of a large fleet may send and receive than one of 30. */
const MAX_GROWTH = 1.2;
const SETTLE_MS = 3_000;

const startWorld = (members: number, seed = 1, loss = 0): RelayWorld => {
  const world = RelayWorld.create({ members, domains: DOMAINS, seed, loss });
  world.start(world.members);
  world.run(150);
  const tookMs = world.runUntil(() => world.isAgreed(), START_LIMIT_MS * 2);
  expect(tookMs, `${members} members know each other`).to.be.at.most(START_LIMIT_MS);
  return world;
};

const calculateMean = (world: RelayWorld, seconds: number): Traffic => {
  const all = [...world.traffic.values()];
  const mean = (field: keyof Traffic): number =>
    all.reduce((sum, traffic) => sum + traffic[field], 0) / all.length / seconds;
  return {
    messages: mean('messages'),
    bytes: mean('bytes'),
    bytesBetweenDomains: mean('bytesBetweenDomains'),
  };
};

/** Traffic of a member in a second in which nothing changes. */
const measureSteady = (members: number): Traffic => {
  const world = startWorld(members);
  world.run(SETTLE_MS);
  world.resetTraffic();
  world.run(4_000);
  const mean = calculateMean(world, 4);
  if (process.env.PRINT !== undefined) {
    const most = Math.max(...[...world.traffic.values()].map(({ bytes }) => bytes)) / 4;
    const shown = Object.values(mean).map((value) => Math.round(value));
    // eslint-disable-next-line no-console -- figures for the pages, on request
    console.info(`${members} members: ${shown.join(' / ')}, most bytes/s ${Math.round(most)}`);
  }
  return mean;
};

/** Running members that a running member does not take for live. */
const countFalselyLost = (world: RelayWorld): number => {
  const running = world.members.filter(({ isRunning }) => isRunning);
  return running.reduce((sum, member) => {
    const live = new Set(world.listLive(member));
    const lost = running.filter((other) => other !== member && !live.has(other.vmId));
    return sum + lost.length;
  }, 0);
};

const listRelays = (world: RelayWorld, domain: string): WorldMember[] =>
  world.members.filter(
    (member) => member.domain === domain && member.isRunning && member.exchange.isRelay,
  );

describe('exchange of members over relays', function suite() {
  this.timeout(60_000);

  // Guards against control messages whose cost for each machine grows with the fleet.
  it('costs each of 312 members no more than each of 30, and less than the limit', () => {
    const small = measureSteady(30);
    const large = measureSteady(312);
    expect(large.messages).to.be.at.most(small.messages * MAX_GROWTH);
    expect(large.bytes).to.be.at.most(small.bytes * MAX_GROWTH);
    expect(large.bytesBetweenDomains).to.be.at.most(small.bytesBetweenDomains * MAX_GROWTH);
    for (const { bytes } of [small, large]) expect(bytes).to.be.below(MAX_CONTROL_BYTES_PER_S);
  });

  [1, 2, 14, 92].forEach((members) => {
    // Guards against callers that are sent to a member that is leaving or has ended.
    it(`tells all of ${members} members of one that leaves, and of one that is killed`, () => {
      const world = startWorld(members);
      world.run(SETTLE_MS);
      const leaving = world.members.at(-1)!;
      const others = world.members.filter((member) => member !== leaving);
      setPhase(leaving, 'leaving');
      const knowsLeaving = ({ table }: WorldMember): boolean =>
        table.find(leaving.vmId)?.status.phase === 'leaving';
      expect(world.runUntil(() => others.every(knowsLeaving), 2_000)).to.be.at.most(200);
      kill([leaving]);
      const tookMs = world.runUntil(() => world.isAgreed(), LOST_LIMIT_MS * 2);
      expect(tookMs).to.be.at.most(LOST_LIMIT_MS);
    });
  });

  // Guards against members that are taken for lost because their relays are.
  it('keeps all members when both relays of a failure domain are killed', () => {
    const world = startWorld(92);
    world.run(SETTLE_MS);
    const relays = listRelays(world, world.members[0]!.domain);
    expect(relays).to.have.length(RELAY_COUNT);
    kill(relays);
    let knownAtMs = Infinity;
    for (let elapsedMs = 0; elapsedMs < 2 * LOST_LIMIT_MS; elapsedMs += 100) {
      world.run(100);
      expect(countFalselyLost(world), `after ${elapsedMs} ms`).to.equal(0);
      if (knownAtMs === Infinity && world.isAgreed()) knownAtMs = elapsedMs;
    }
    expect(knownAtMs).to.be.at.most(LOST_LIMIT_MS);
  });

  // Guards against members of a lost failure domain that stay listed, and against a domain that does
  // not find the others again.
  it('loses a failure domain that is cut off, and finds it again', () => {
    const world = startWorld(92);
    world.run(SETTLE_MS);
    const { domain } = world.members[0]!;
    world.isCut = (from, to) => (from.domain === domain) !== (to.domain === domain);
    const inside = world.members.filter((member) => member.domain === domain);
    const outside = world.members.filter((member) => member.domain !== domain);
    const isApart = (): boolean =>
      outside.every((member) => world.listLive(member).length === outside.length - 1) &&
      inside.every((member) => world.listLive(member).length === inside.length - 1);
    expect(world.runUntil(isApart, 20_000)).to.be.at.most(LOST_LIMIT_MS);
    world.run(10_000);
    expect(isApart()).to.equal(true);
    world.isCut = () => false;
    expect(world.runUntil(() => world.isAgreed(), 20_000)).to.be.at.most(AGREEMENT_LIMIT_MS);
  });

  // Guards against a relay that neither hears nor is replaced, and that hides a failure domain.
  it('keeps all members while a relay is cut off in one direction', () => {
    const world = startWorld(30);
    world.run(SETTLE_MS);
    const [relay] = listRelays(world, world.members[0]!.domain);
    world.isCut = (from) => from === relay;
    world.run(MEMBER_LOST_MS * 3);
    const others = world.members.filter((member) => member !== relay);
    for (const member of others) expect(world.listLive(member)).to.have.length(others.length - 1);
    world.isCut = () => false;
    expect(world.runUntil(() => world.isAgreed(), 20_000)).to.be.at.most(AGREEMENT_LIMIT_MS);
  });

  // Guards against members of an earlier build that take all members of this one for lost, in the
  // middle of an upgrade.
  it('sends heartbeats to members of an earlier build, and messages for all directly', () => {
    const world = startWorld(14);
    world.run(SETTLE_MS);
    const host = '10.9.9.9';
    const sent = world.recordMessagesTo(host);
    const { sequence, purpose, ...earlier } = world.members[0]!.exchange.createStatus();
    expect([typeof sequence, purpose]).to.deep.equal(['number', 'greeting']);
    const status = { ...earlier, vmId: 'earlier', callerEndpoint: { host, port: 80 } };
    for (let second = 0; second < 4; second += 1) {
      for (const { exchange } of world.members) exchange.handleHeartbeat(status, host);
      world.run(1_000);
    }
    expect(sent.filter(({ kind }) => kind === 'heartbeat').length).to.be.at.least(3 * 14);
    expect(new Set(sent.map(({ kind }) => kind))).to.deep.equal(new Set(['heartbeat']));
    for (const { exchange } of world.members) {
      expect(exchange.listSpreadTargets().direct).to.include(host);
      expect(exchange.listRelayHosts()).to.not.include(host);
    }
  });

  // Guards against a state in which members stay unknown or lost after all trouble has ended.
  it('ends in agreement after kills, restarts and cuts in series, with lost messages', () => {
    const step = fc.record({
      kind: fc.constantFrom('kill', 'power', 'cut', 'one-way'),
      first: fc.nat(29),
      count: fc.integer({ min: 1, max: 20 }),
      forMs: fc.integer({ min: 100, max: 5_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 5 }), fc.nat(1_000), (steps, seed) => {
        const world = startWorld(30, seed, 0.03);
        for (const { kind, first, count, forMs } of steps) {
          const hit = new Set(world.members.slice(first, first + count));
          if (kind === 'kill' || kind === 'power') kill([...hit]);
          if (kind === 'cut') world.isCut = (from, to) => hit.has(from) !== hit.has(to);
          if (kind === 'one-way') world.isCut = (from) => hit.has(from);
          world.run(forMs);
          world.isCut = () => false;
          if (kind === 'kill') world.start([...hit], 1_000);
          world.run(200);
        }
        world.start(world.members, 1_000);
        world.run(1_000);
        const tookMs = world.runUntil(() => world.isAgreed(), AGREEMENT_LIMIT_MS * 4);
        expect(tookMs).to.be.at.most(AGREEMENT_LIMIT_MS);
      }),
      { ...seedOption, numRuns: NUM_RUNS },
    );
  });
});
