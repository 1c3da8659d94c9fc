import { ManualClock, SeededRandom } from '@bronzelift/common';

import { MEMBER_LOST_MS, ROSTER_FETCH_DELAY_MS } from '../../src/constants.js';
import { MemberTable } from '../../src/memberTable.js';
import type { MemberStatus } from '../../src/memberTable.js';
import { RelayExchange } from '../../src/members/index.js';
import { decodeMessage, encodeMessage, encodeRosters } from '../../src/peerMessages.js';
import type { PeerMessage } from '../../src/peerMessages.js';

const DELAY_MS = 2;
const FETCH_MS = 8;
/** Bytes of the IP and UDP headers of a datagram. */
const HEADER_BYTES = 28;

/** Size of a world and how it loses messages. */
export interface RelayWorldOptions {
  readonly members: number;
  readonly domains: number;
  readonly seed: number;
  /** Share of the messages that are lost. */
  readonly loss?: number;
}

/** What a member of the world has sent and received. */
export interface Traffic {
  messages: number;
  bytes: number;
  bytesBetweenDomains: number;
}

/** One member with its decisions; it is restarted by replacing both. */
export interface WorldMember {
  readonly index: number;
  readonly vmId: string;
  readonly host: string;
  readonly domain: string;
  table: MemberTable;
  exchange: RelayExchange;
  phase: MemberStatus['phase'];
  isRunning: boolean;
  starts: number;
}

/** Ends members as a kill does. */
export const kill = (members: readonly WorldMember[]): void => {
  for (const member of members) {
    Object.assign(member, { isRunning: false, starts: member.starts + 1 });
  }
};

/** Changes the phase of a member, which tells the others at once. */
export const setPhase = (member: WorldMember, phase: MemberStatus['phase']): void => {
  Object.assign(member, { phase });
  member.exchange.announce();
};

/** Members that exchange messages by hand under a manual clock, with loss, kills and cuts. */
export class RelayWorld {
  readonly clock = ManualClock.create();

  readonly members: WorldMember[] = [];

  readonly traffic = new Map<number, Traffic>();

  /** Whether a message from one member to another is dropped. */
  isCut: (from: WorldMember, to: WorldMember) => boolean;

  private readonly random: SeededRandom;

  private readonly events = new Map<number, (() => void)[]>();

  private readonly byHost = new Map<string, WorldMember>();

  private readonly recorded = new Map<string, PeerMessage[]>();

  private constructor(private readonly options: RelayWorldOptions) {
    this.random = SeededRandom.create(options.seed);
    this.isCut = () => false;
    for (let index = 0; index < options.members; index += 1) {
      const host = `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}`;
      const member = {
        index,
        vmId: `edge-be-north-${index}`,
        host,
        domain: `be-north-${'abcdef'[index % options.domains]}`,
        phase: 'starting',
        isRunning: false,
        starts: 0,
      } as WorldMember;
      this.members.push(member);
      this.byHost.set(host, member);
      this.traffic.set(index, { messages: 0, bytes: 0, bytesBetweenDomains: 0 });
    }
  }

  static create(options: RelayWorldOptions): RelayWorld {
    return new RelayWorld(options);
  }

  /** Starts members that are not running, all within `spreadMs`. */
  start(members: readonly WorldMember[], spreadMs = 100): void {
    for (const member of members) {
      this.at(this.random.next() * spreadMs, () => this.startOne(member));
    }
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    const untilMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < untilMs) {
      this.clock.advance(1);
      const nowMs = Math.round(this.clock.monotonicMs());
      const due = this.events.get(nowMs) ?? [];
      this.events.delete(nowMs);
      for (const event of due) event();
    }
  }

  /** Lets time pass until a condition holds; returns how long it took, at most `limitMs`. */
  runUntil(condition: () => boolean, limitMs: number): number {
    const startedAtMs = this.clock.monotonicMs();
    while (!condition() && this.clock.monotonicMs() - startedAtMs < limitMs) this.run(10);
    return this.clock.monotonicMs() - startedAtMs;
  }

  /** Resets the traffic counters. */
  resetTraffic(): void {
    for (const index of this.traffic.keys()) {
      this.traffic.set(index, { messages: 0, bytes: 0, bytesBetweenDomains: 0 });
    }
  }

  /** Records the messages to a host that is no member of the world. */
  recordMessagesTo(host: string): PeerMessage[] {
    const messages: PeerMessage[] = [];
    this.recorded.set(host, messages);
    return messages;
  }

  /** Ids of the members that a member takes for live, sorted. */
  listLive({ table }: WorldMember): string[] {
    const limitMs = this.clock.monotonicMs() - MEMBER_LOST_MS;
    return table
      .all()
      .filter(({ lastHeardAtMs }) => lastHeardAtMs >= limitMs)
      .map(({ status }) => status.vmId)
      .sort();
  }

  /** Whether each running member takes just the other running ones for live. */
  isAgreed(): boolean {
    const running = this.members.filter(({ isRunning }) => isRunning);
    return running.every((member) => {
      const live = new Set(this.listLive(member));
      return (
        live.size === running.length - 1 &&
        running.every(({ vmId }) => vmId === member.vmId || live.has(vmId))
      );
    });
  }

  private startOne(member: WorldMember): void {
    if (member.isRunning) return;
    const { index, vmId, host, domain } = member;
    const starts = member.starts + 1;
    const incarnation = `${String(Math.round(this.clock.monotonicMs())).padStart(9, '0')}x`;
    const isReader = (): boolean => member.table.isElectedReader();
    const ownStatus = (): MemberStatus => ({
      vmId,
      incarnation,
      failureDomainId: domain,
      callerEndpoint: { host, port: 8161 },
      phase: member.phase,
      isStoreFailing: false,
      isReader: isReader(),
      storeReadAgeMs: 100,
      operatorRevision: 1,
      configurationVersion: 1,
      instancePosition: 1,
      instanceDigest: 1,
      isCutOff: false,
      unreachedServices: [],
      quarantineDigest: 0,
    });
    const table: MemberTable = MemberTable.create({
      clock: this.clock,
      random: SeededRandom.create(index + 1),
      regionOfDomain: new Map(),
      own: () => ({
        vmId,
        failureDomainId: domain,
        callerEndpoint: { host, port: 8161 },
        phase: member.phase,
        isCutOff: false,
      }),
    });
    const fetches = new Set<string>();
    const exchange = RelayExchange.create({
      clock: this.clock,
      random: SeededRandom.create(index + 7),
      members: table,
      ownId: vmId,
      ownDomainId: domain,
      ownHost: host,
      seedHosts: this.members.slice(0, 3).map((seed) => seed.host),
      ownStatus,
      storeReadAgeMs: () => 100,
      send: (hosts, message) => {
        hosts.forEach((to) => this.recorded.get(to)?.push(message));
        const data = encodeMessage(message);
        for (const to of hosts) this.deliver(member, to, data);
      },
      requestRosters: (relayId, relayHost) => {
        if (fetches.has(relayId)) return;
        fetches.add(relayId);
        const delayMs = this.random.next() * ROSTER_FETCH_DELAY_MS + FETCH_MS;
        this.at(delayMs, () => {
          fetches.delete(relayId);
          this.fetchRosters(member, starts, relayId, relayHost);
        });
      },
      schedule: (callback, delayMs) =>
        this.at(delayMs, () => {
          if (member.isRunning && member.starts === starts) callback();
        }),
      onNewcomer: () => {},
    });
    Object.assign(member, { table, exchange, isRunning: true, starts, phase: 'starting' });
    const tick = (): void => {
      if (!member.isRunning || member.starts !== starts) return;
      if (member.phase === 'starting') Object.assign(member, { phase: 'ready' });
      this.at(exchange.tick(), tick);
    };
    tick();
  }

  private fetchRosters(member: WorldMember, starts: number, relayId: string, host: string): void {
    const relay = this.byHost.get(host);
    const isReached = relay?.isRunning && member.isRunning && member.starts === starts;
    if (!isReached || this.isCut(member, relay) || this.isCut(relay, member)) return;
    const rosters = relay.exchange.createRosters();
    // Compressed to about a seventh.
    this.count(relay, member, JSON.stringify(encodeRosters(rosters)).length / 7);
    member.exchange.applyRosters(relayId, rosters);
  }

  private deliver(from: WorldMember, host: string, data: Buffer): void {
    const to = this.byHost.get(host);
    if (to === undefined || to === from) return;
    this.count(from, to, data.length + HEADER_BYTES);
    const isLost = this.random.next() < (this.options.loss ?? 0);
    if (isLost || this.isCut(from, to)) return;
    this.at(DELAY_MS + this.random.next() * DELAY_MS, () => {
      const message = to.isRunning ? decodeMessage(data) : undefined;
      if (message === undefined) return;
      const { exchange } = to;
      if (message.kind === 'heartbeat') exchange.handleHeartbeat(message.status, from.host);
      if (message.kind === 'digest') exchange.handleDigest(message.digest, from.host);
      if (message.kind === 'roster-change') exchange.handleRosterChange(message.change);
      if (message.kind === 'members') this.greet(to, message.hosts);
    });
  }

  private greet(member: WorldMember, hosts: readonly string[]): void {
    const known = new Set(member.table.live().map(({ host }) => host));
    const data = encodeMessage({ kind: 'heartbeat', status: member.exchange.createStatus() });
    for (const host of hosts) if (!known.has(host)) this.deliver(member, host, data);
  }

  private count(from: WorldMember, to: WorldMember, bytes: number): void {
    for (const member of [from, to]) {
      const traffic = this.traffic.get(member.index)!;
      traffic.messages += 1;
      traffic.bytes += bytes;
      if (from.domain !== to.domain) traffic.bytesBetweenDomains += bytes;
    }
  }

  private at(delayMs: number, event: () => void): void {
    const atMs = Math.round(this.clock.monotonicMs() + Math.max(delayMs, 1));
    const events = this.events.get(atMs) ?? [];
    events.push(event);
    this.events.set(atMs, events);
  }
}
