import { shuffle } from '@bronzelift/common';
import type { Clock, FailureDomainId, RandomSource, VmId } from '@bronzelift/common';

import {
  HEARTBEAT_INTERVAL_MS,
  MAX_ROSTER_CHANGES,
  MAX_ROSTER_CHANGE_MESSAGES,
  MEMBER_LOST_MS,
  MEMBER_REMOVAL_MS,
  MIN_DIGEST_INTERVAL_MS,
  NEVER_READ_AGE_MS,
  RELAY_ASKED_MS,
  RELAY_CHANGE_GRACE_MS,
  RELAY_LOST_MS,
  RELAY_RESULTS_LIFETIME_MS,
  RELAY_SEARCH_INTERVAL_MS,
  RELAY_START_DELAY_MS,
  ROSTER_CHANGE_DELAY_MS,
  SEARCHED_MEMBERS,
} from '../constants.js';
import { isOlderStatus } from '../memberTable.js';
import type { Member, MemberStatus, MemberTable, StatusPurpose } from '../memberTable.js';
import type { PeerMessage } from '../peerMessages.js';
import { electRelays } from './relayElection.js';
import { Roster } from './roster.js';
import type {
  DomainDigest,
  DomainRoster,
  ListedMember,
  RelayDigest,
  RosterChange,
} from './types.js';

/** Dependencies of a RelayExchange; it uses no sockets and no timers. */
export interface RelayExchangeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly members: MemberTable;
  readonly ownId: VmId;
  readonly ownDomainId: FailureDomainId;
  readonly ownHost: string;
  readonly seedHosts: readonly string[];
  /** Status of this entry VM, without what the exchange itself adds. */
  readonly ownStatus: () => MemberStatus;
  /** Time since the latest read of the store that this entry VM knows of. */
  readonly storeReadAgeMs: () => number;
  readonly send: (hosts: readonly string[], message: PeerMessage) => void;
  /** Asks for `applyRosters` with the rosters of a relay. */
  readonly requestRosters: (relayId: VmId, host: string) => void;
  /** Calls back after a delay, unless the process stops before. */
  readonly schedule: (callback: () => void, delayMs: number) => void;
  /** Called on a relay for a member of its failure domain that has started. */
  readonly onNewcomer: (host: string) => void;
}

/** Hosts to which a message for all members is sent. */
export interface SpreadTargets {
  /** Hosts that pass the message on to the members of their failure domain. */
  readonly relays: readonly string[];
  readonly direct: readonly string[];
}

/** Describes the part of a status whose changes relays pass on; positions change all the time. */
const describeListed = (status: MemberStatus): string =>
  JSON.stringify([
    status.phase,
    status.isStoreFailing,
    status.isReader,
    status.isCutOff,
    status.unreachedServices,
  ]);

const isRelayAware = ({ status }: { readonly status: MemberStatus }): boolean =>
  status.sequence !== undefined;

/**
 * Decides who hears whom: members report to the relays of their failure domain, and relays exchange
 * digests of the lists of their members. Nothing is relayed between two other failure domains.
 */
export class RelayExchange {
  /** Lists of each relay by failure domain. */
  private readonly views = new Map<VmId, Map<FailureDomainId, Roster>>();

  /** Lists that this entry VM publishes as a relay. */
  private readonly published = new Map<FailureDomainId, Roster>();

  /** Time of the latest digest of each relay. */
  private readonly digestAtMs = new Map<VmId, number>();

  /** Digests of the lists of each relay as it stated them last. */
  private readonly statedDigests = new Map<VmId, readonly DomainDigest[]>();

  /** Time since which heartbeats are sent to each relay of the own failure domain. */
  private askedSinceMs = new Map<VmId, number>();

  /** Monotonic time at which a member last used this entry VM as its relay. */
  private askedAtMs = -Infinity;

  /** Number of changes of the own status that relays pass on. */
  private sequence = 0;

  private ownDescription = '';

  private sentDigestsAtMs = -Infinity;

  private isFlushScheduled = false;

  /** Time until the next search of a relay. */
  private searchMs = 0;

  /** Monotonic time since which this entry VM is a relay; Infinity if it is none. */
  private relaySinceMs = Infinity;

  /** Relays of each failure domain as of `electedAtMs`, including this entry VM. */
  private elected: ReadonlyMap<FailureDomainId, readonly Member[]> = new Map();

  private electedAtMs = -Infinity;

  private readonly startedAtMs: number;

  private constructor(private readonly options: RelayExchangeOptions) {
    this.startedAtMs = options.clock.monotonicMs();
  }

  static create(options: RelayExchangeOptions): RelayExchange {
    return new RelayExchange(options);
  }

  /** Own status as it is sent, with what relays need. */
  createStatus(purpose: StatusPurpose = 'greeting'): MemberStatus {
    const status = this.options.ownStatus();
    const description = describeListed(status);
    if (description !== this.ownDescription) {
      this.ownDescription = description;
      this.sequence += 1;
    }
    return { ...status, sequence: this.sequence, purpose };
  }

  /** Whether no relay has been heard recently, so that relays have to be searched. */
  get isSearching(): boolean {
    const isHeard = [...this.digestAtMs].some(
      ([vmId, atMs]) => vmId !== this.ownId && this.now() - atMs < RELAY_LOST_MS,
    );
    return !isHeard;
  }

  /** Whether this entry VM is a relay: elected, or used as one by a member of its domain. */
  get isRelay(): boolean {
    const nowMs = this.now();
    if (nowMs - this.askedAtMs < RELAY_ASKED_MS) return true;
    // A process that has just started knows nobody else that could be elected.
    if (nowMs - this.startedAtMs < RELAY_START_DELAY_MS) return false;
    return this.listRelays(this.ownDomainId).some((member) => this.isOwn(member));
  }

  /** Sends what is due in each heartbeat interval; returns the time until the next one. */
  tick(): number {
    this.electedAtMs = -Infinity;
    this.prune();
    this.markUnlistedLost();
    this.announce();
    if (this.isRelay) this.sendSearch();
    const { isSearching } = this;
    this.searchMs = isSearching ? Math.min(this.searchMs * 2, HEARTBEAT_INTERVAL_MS) : 0;
    this.searchMs = Math.max(this.searchMs, RELAY_SEARCH_INTERVAL_MS);
    return isSearching ? this.searchMs : HEARTBEAT_INTERVAL_MS;
  }

  /** Sends the own status at once, also to the relays of other failure domains. */
  announceToRelays(): void {
    this.announce();
    if (this.options.ownStatus().isReader) return;
    const status = this.createStatus();
    this.options.send(this.listRelayHosts(), { kind: 'heartbeat', status });
  }

  /** Sends the own status at once, after a change that others should know. */
  announce(): void {
    if (this.isRelay) {
      if (this.relaySinceMs === Infinity) this.relaySinceMs = this.now();
      this.flush();
      this.sendDigests();
    } else {
      this.relaySinceMs = Infinity;
      this.published.clear();
    }
    this.sendHeartbeats();
  }

  /** Records a heartbeat; returns whether the member or its process is new. */
  handleHeartbeat(status: MemberStatus, host: string): boolean {
    const former = this.options.members.find(status.vmId)?.status;
    const isNew = this.options.members.recordHeartbeat(status, host);
    if (status.sequence === undefined) return isNew;
    const isOwnDomain = status.failureDomainId === this.ownDomainId;
    if (isOwnDomain && status.purpose === 'report') this.askedAtMs = this.now();
    if (isNew || status.purpose === 'search') this.introduce(status, host, isNew);
    const isNews = isNew || former?.sequence !== status.sequence;
    if (isOwnDomain && isNews && this.isRelay) this.scheduleFlush();
    return isNew;
  }

  /** Records the digests of a relay, and asks for its lists if they differ from the known ones. */
  handleDigest({ status, domains, readerAgeMs }: RelayDigest, host: string): boolean {
    const { members } = this.options;
    const isNew = members.recordHeartbeat(status, host);
    const nowMs = this.now();
    this.digestAtMs.set(status.vmId, nowMs);
    const isOwnDomain = status.failureDomainId === this.ownDomainId;
    if (isOwnDomain && readerAgeMs < NEVER_READ_AGE_MS) members.recordReader(nowMs - readerAgeMs);
    this.statedDigests.set(status.vmId, domains);
    for (const { failureDomainId, digest } of domains) {
      if (!this.speaksFor(status, failureDomainId)) continue;
      const view = this.findOrCreateView(status.vmId, failureDomainId);
      if (view.digest === digest) this.refresh(view);
    }
    if (this.isBehind(status.vmId)) this.options.requestRosters(status.vmId, host);
    return isNew;
  }

  /** Whether the lists that a relay stated last differ from the known ones. */
  isBehind(relayId: VmId): boolean {
    const relay = this.options.members.find(relayId);
    if (relay === undefined) return false;
    const byDomain = this.views.get(relayId);
    const stated = this.statedDigests.get(relayId) ?? [];
    return stated.some(
      ({ failureDomainId, digest }) =>
        this.speaksFor(relay.status, failureDomainId) &&
        byDomain?.get(failureDomainId)?.digest !== digest,
    );
  }

  /** Applies a change to the list of a relay, unless an earlier change was missed. */
  handleRosterChange(change: RosterChange): void {
    const { relayId, failureDomainId, formerDigest, digest, changed, removed } = change;
    // Lists are kept only of relays whose digests arrive, and no longer than these do.
    if (!this.digestAtMs.has(relayId)) return;
    const view = this.findOrCreateView(relayId, failureDomainId);
    if (view.digest !== formerDigest || view.digest === digest) return;
    for (const member of changed) view.set(member);
    for (const vmId of removed) view.remove(vmId);
    this.recordListed(changed);
    this.refresh(view);
    if (removed.length > 0) this.markUnlistedLost();
    if (failureDomainId !== this.ownDomainId && this.isRelay) this.scheduleFlush();
  }

  /** Replaces the lists of a relay by those that it was asked for. */
  applyRosters(relayId: VmId, rosters: readonly DomainRoster[]): void {
    const relay = this.options.members.find(relayId);
    if (relay === undefined) return;
    for (const { failureDomainId, members } of rosters) {
      if (!this.speaksFor(relay.status, failureDomainId)) continue;
      const former = this.findOrCreateView(relayId, failureDomainId);
      const view = Roster.create(members);
      this.views.get(relayId)!.set(failureDomainId, view);
      this.recordListed(former.compare(view).changed);
      this.refresh(view);
    }
    this.markUnlistedLost();
    if (this.isRelay) this.scheduleFlush();
  }

  /** Lists what this entry VM publishes, for a member that asks. */
  createRosters(): DomainRoster[] {
    this.flush();
    return [...this.published].map(([failureDomainId, roster]) => ({
      failureDomainId,
      digest: roster.digest,
      members: roster.list(),
    }));
  }

  /** Hosts for a message to all members: relays, and whoever cannot be reached over one. */
  listSpreadTargets(): SpreadTargets {
    const relays: string[] = [];
    const direct = this.listEarlierBuilds();
    const isOwnRelay = this.isRelay;
    for (const [failureDomainId, members] of this.groupRelayAware()) {
      const isOwnDomain = failureDomainId === this.ownDomainId;
      const elected = this.listRelays(failureDomainId).filter((member) => !this.isOwn(member));
      const isReachable = elected.length > 0 && !(isOwnDomain && isOwnRelay);
      if (isReachable) relays.push(...elected.map(({ host }) => host));
      else direct.push(...members.map(({ host }) => host));
    }
    return { relays, direct };
  }

  /** Hosts of the members to which this entry VM passes messages on. */
  listOwnDomainHosts(): string[] {
    return this.options.members
      .all()
      .filter((member) => this.isInOwnDomain(member) && isRelayAware(member))
      .map(({ host }) => host);
  }

  /** Hosts of the relays of all failure domains, without this entry VM. */
  listRelayHosts(): string[] {
    return [...this.elect().values()]
      .flat()
      .filter((member) => !this.isOwn(member))
      .map(({ host }) => host);
  }

  private sendHeartbeats(): void {
    const { members, random, seedHosts, ownHost, ownStatus } = this.options;
    const relays = this.listRelays(this.ownDomainId).filter((member) => !this.isOwn(member));
    const relayHosts = relays.map((relay) => relay.host);
    const hosts = new Set([...relayHosts, ...this.listEarlierBuilds()]);
    this.recordAsked(relays);
    if (ownStatus().isReader) this.listRelayHosts().forEach((host) => hosts.add(host));
    if (this.isSearching) {
      const inDomain = members.all().filter((member) => this.isInOwnDomain(member));
      const known = shuffle(random, inDomain).slice(0, SEARCHED_MEMBERS);
      const others = shuffle(random, this.listOtherRelayHosts()).slice(0, SEARCHED_MEMBERS);
      for (const host of [...seedHosts, ...known.map((member) => member.host), ...others])
        hosts.add(host);
    }
    hosts.delete(ownHost);
    const status = this.createStatus(this.isSearching ? 'search' : 'report');
    this.options.send([...hosts], { kind: 'heartbeat', status });
  }

  /** Asks for relays that this one does not know, for example after a cut between domains. */
  private sendSearch(): void {
    const { members, random, seedHosts, ownHost } = this.options;
    const live = new Set(members.live().map(({ host }) => host));
    const silent = members.all().flatMap(({ host }) => (live.has(host) ? [] : host));
    const hosts = [
      ...shuffle(random, seedHosts).slice(0, 1),
      ...shuffle(random, silent).slice(0, SEARCHED_MEMBERS),
    ].filter((host) => host !== ownHost);
    this.options.send(hosts, { kind: 'heartbeat', status: this.createStatus('search') });
  }

  private sendDigests(): void {
    this.sentDigestsAtMs = this.now();
    const digest = {
      status: this.createStatus(),
      readerAgeMs: Math.min(
        this.options.members.readerAgeMs,
        this.options.ownStatus().storeReadAgeMs,
        NEVER_READ_AGE_MS,
      ),
      readAgeMs: Math.min(this.options.storeReadAgeMs(), NEVER_READ_AGE_MS),
    };
    const domains = [...this.published].map(([failureDomainId, roster]) => ({
      failureDomainId,
      digest: roster.digest,
    }));
    const own = domains.filter(({ failureDomainId }) => failureDomainId === this.ownDomainId);
    this.options.send(this.listOwnDomainHosts(), {
      kind: 'digest',
      digest: { ...digest, domains },
    });
    this.options.send(this.listOtherRelayHosts(), {
      kind: 'digest',
      digest: { ...digest, domains: own },
    });
  }

  /** Publishes changes together that become known within a short time. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    this.options.schedule(() => {
      this.isFlushScheduled = false;
      if (this.isRelay) this.flush();
    }, ROSTER_CHANGE_DELAY_MS);
  }

  /** Publishes what has changed in the lists of this relay. */
  private flush(): void {
    const live = this.collectLive();
    let hasLargeChange = false;
    for (const failureDomainId of new Set([...live.keys(), ...this.published.keys()])) {
      const next = Roster.create(live.get(failureDomainId) ?? []);
      const former = this.published.get(failureDomainId) ?? Roster.create();
      if (next.digest === former.digest) {
        if (!this.published.has(failureDomainId)) this.published.set(failureDomainId, next);
        continue;
      }
      this.published.set(failureDomainId, next);
      const changes = former.splitChanges(next, MAX_ROSTER_CHANGES);
      if (changes.length > MAX_ROSTER_CHANGE_MESSAGES) {
        hasLargeChange = true;
        continue;
      }
      const isOwnDomain = failureDomainId === this.ownDomainId;
      const hosts = [
        ...this.listOwnDomainHosts(),
        ...(isOwnDomain ? this.listOtherRelayHosts() : []),
      ];
      for (const change of changes) {
        this.options.send(hosts, {
          kind: 'roster-change',
          change: { relayId: this.ownId, failureDomainId, ...change },
        });
      }
    }
    // A large change is fetched by those that see its digest.
    const isDigestDue = this.now() - this.sentDigestsAtMs >= MIN_DIGEST_INTERVAL_MS;
    if (hasLargeChange && isDigestDue) this.sendDigests();
  }

  /** Live members by failure domain: own ones as heard, others as their relays list them. */
  private collectLive(): Map<FailureDomainId, ListedMember[]> {
    const own = { status: this.createStatus(), host: this.options.ownHost };
    const live = new Map<FailureDomainId, ListedMember[]>([
      [this.ownDomainId, [own, ...this.listHeardInOwnDomain()]],
    ]);
    // A relay that has just been elected does not know the other failure domains yet.
    for (const failureDomainId of this.published.keys()) {
      if (!live.has(failureDomainId)) live.set(failureDomainId, []);
    }
    for (const [failureDomainId, views] of this.groupForeignViews()) {
      const newest = new Map<VmId, ListedMember>();
      for (const member of views.flatMap((view) => view.list())) {
        const known = newest.get(member.status.vmId);
        if (known === undefined || isOlderStatus(known.status, member.status)) {
          newest.set(member.status.vmId, member);
        }
      }
      live.set(failureDomainId, [...newest.values()]);
    }
    return live;
  }

  /** Members of the own failure domain that have been heard; at first also those listed before. */
  private listHeardInOwnDomain(): ListedMember[] {
    const nowMs = this.now();
    const isNewRelay = nowMs - this.relaySinceMs < RELAY_ASKED_MS;
    return this.options.members
      .all()
      .filter((member) => this.isInOwnDomain(member) && isRelayAware(member))
      .filter(({ directAtMs, lastHeardAtMs }) => {
        const heardAtMs = isNewRelay ? lastHeardAtMs : directAtMs;
        return nowMs - heardAtMs < MEMBER_LOST_MS;
      })
      .map(({ status, host }) => ({ status, host }));
  }

  /** Fresh lists of other failure domains from their own relays. */
  private groupForeignViews(): Map<FailureDomainId, Roster[]> {
    const { members } = this.options;
    const views = new Map<FailureDomainId, Roster[]>();
    for (const [relayId, byDomain] of this.views) {
      const failureDomainId = members.find(relayId)?.status.failureDomainId ?? this.ownDomainId;
      const view = byDomain.get(failureDomainId);
      if (failureDomainId === this.ownDomainId || view === undefined || !this.isFresh(view))
        continue;
      views.set(failureDomainId, [...(views.get(failureDomainId) ?? []), view]);
    }
    return views;
  }

  private isFresh({ refreshedAtMs }: Roster): boolean {
    return this.now() - refreshedAtMs < MEMBER_LOST_MS;
  }

  /** A relay speaks for other failure domains than its own only to the members of its own. */
  private speaksFor(relay: MemberStatus, failureDomainId: FailureDomainId): boolean {
    const isOwnRelay = relay.failureDomainId === this.ownDomainId;
    return isOwnRelay || relay.failureDomainId === failureDomainId;
  }

  /** Marks the members of a list that a relay has just confirmed as live. */
  private refresh(view: Roster): void {
    const { members } = this.options;
    view.markRefreshed(this.now());
    for (const member of view.list()) {
      if (!this.isOwn(member)) members.markHeard(member, this.listedUntilMs);
    }
  }

  private recordListed(listed: readonly ListedMember[]): void {
    const { members } = this.options;
    for (const member of listed) {
      if (!this.isOwn(member)) members.recordListed(member, this.listedUntilMs);
    }
  }

  /** Relays remove lost members themselves, so that only a change of relays has to be bridged. */
  private get listedUntilMs(): number {
    return this.now() + RELAY_CHANGE_GRACE_MS;
  }

  /** Ends the liveness of members that are neither heard nor listed by any relay that is heard. */
  private markUnlistedLost(): void {
    const { members } = this.options;
    const listed = new Map<FailureDomainId, Set<VmId>>();
    for (const [failureDomainId, view] of [...this.views.values()].flatMap((byDomain) => [
      ...byDomain,
    ])) {
      if (!this.isFresh(view)) continue;
      const ids = listed.get(failureDomainId) ?? new Set();
      for (const { status } of view.list()) ids.add(status.vmId);
      listed.set(failureDomainId, ids);
    }
    const nowMs = this.now();
    for (const { status, directAtMs } of members.live()) {
      const ids = listed.get(status.failureDomainId);
      const isUnlisted = ids !== undefined && !ids.has(status.vmId) && isRelayAware({ status });
      if (isUnlisted && nowMs - directAtMs >= MEMBER_LOST_MS) members.markLost(status.vmId);
    }
  }

  /** Tells a member that is new or searches relays who the relays are. */
  private introduce(status: MemberStatus, host: string, isNew: boolean): void {
    const isOwnRelay = status.failureDomainId === this.ownDomainId && this.isRelay;
    this.options.send([host], { kind: 'heartbeat', status: this.createStatus() });
    const hosts = this.listRelayHosts().filter((relayHost) => relayHost !== host);
    if (hosts.length > 0) this.options.send([host], { kind: 'members', hosts });
    if (isOwnRelay && isNew) this.options.onNewcomer(host);
  }

  private recordAsked(relays: readonly Member[]): void {
    const nowMs = this.now();
    this.askedSinceMs = new Map(
      relays.map(({ status: { vmId } }) => [vmId, this.askedSinceMs.get(vmId) ?? nowMs]),
    );
  }

  /** Whether a relay that is sent heartbeats has not responded for RELAY_LOST_MS. */
  private isSilent(vmId: VmId): boolean {
    const nowMs = this.now();
    const isDigestLate = nowMs - (this.digestAtMs.get(vmId) ?? -Infinity) >= RELAY_LOST_MS;
    return isDigestLate && nowMs - (this.askedSinceMs.get(vmId) ?? Infinity) >= RELAY_LOST_MS;
  }

  private elect(): ReadonlyMap<FailureDomainId, readonly Member[]> {
    if (this.now() - this.electedAtMs < RELAY_RESULTS_LIFETIME_MS) return this.elected;
    const { members, ownHost, ownStatus } = this.options;
    const own = {
      status: { ...ownStatus(), sequence: this.sequence },
      host: ownHost,
      lastHeardAtMs: this.now(),
      directAtMs: this.now(),
    };
    const candidates = [own, ...members.live()].filter(isRelayAware);
    const elected = electRelays(
      candidates.map((member) => ({ ...member.status, member })),
      (vmId) => this.isSilent(vmId),
    );
    this.elected = new Map(
      [...elected].map(([failureDomainId, relays]) => [
        failureDomainId,
        relays.map(({ member }) => member),
      ]),
    );
    this.electedAtMs = this.now();
    return this.elected;
  }

  private listRelays(failureDomainId: FailureDomainId): readonly Member[] {
    return this.elect().get(failureDomainId) ?? [];
  }

  /** Hosts of the relays of other failure domains, and of members that act as such. */
  private listOtherRelayHosts(): string[] {
    const { members } = this.options;
    const elected = [...this.elect().values()].flat();
    const acting = [...this.digestAtMs]
      .filter(([, atMs]) => this.now() - atMs < RELAY_ASKED_MS)
      .flatMap(([vmId]) => members.find(vmId) ?? []);
    const others = [...elected, ...acting].filter((member) => !this.isInOwnDomain(member));
    return [...new Set(others.map(({ host }) => host))];
  }

  private listEarlierBuilds(): string[] {
    const earlier = this.options.members.all().filter((member) => !isRelayAware(member));
    return earlier.map(({ host }) => host);
  }

  private groupRelayAware(): Map<FailureDomainId, Member[]> {
    const groups = new Map<FailureDomainId, Member[]>();
    for (const member of this.options.members.all().filter(isRelayAware)) {
      const group = groups.get(member.status.failureDomainId) ?? [];
      group.push(member);
      groups.set(member.status.failureDomainId, group);
    }
    return groups;
  }

  private findOrCreateView(relayId: VmId, failureDomainId: FailureDomainId): Roster {
    const byDomain = this.views.get(relayId) ?? new Map<FailureDomainId, Roster>();
    this.views.set(relayId, byDomain);
    const view = byDomain.get(failureDomainId) ?? Roster.create();
    byDomain.set(failureDomainId, view);
    return view;
  }

  private prune(): void {
    const limitMs = this.now() - MEMBER_REMOVAL_MS;
    for (const [relayId, atMs] of this.digestAtMs) {
      if (atMs >= limitMs) continue;
      this.digestAtMs.delete(relayId);
      this.statedDigests.delete(relayId);
      this.views.delete(relayId);
    }
  }

  private isInOwnDomain({ status }: { readonly status: MemberStatus }): boolean {
    return status.failureDomainId === this.ownDomainId;
  }

  private isOwn({ status }: { readonly status: MemberStatus }): boolean {
    return status.vmId === this.ownId;
  }

  private get ownId(): VmId {
    return this.options.ownId;
  }

  private get ownDomainId(): FailureDomainId {
    return this.options.ownDomainId;
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
