import { assertNever, describeError, shuffle, sleep } from '@bronzelift/common';
import type { Clock, RandomSource } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  CHANGES_LINK_SHARE,
  FETCH_DELAY_RANGE_MS,
  HEARTBEAT_INTERVAL_MS,
  HOSTS_PER_MESSAGE,
  LIMITS_PER_MESSAGE,
  MAX_FETCH_ATTEMPTS,
  MEMBER_SEARCH_INTERVAL_MS,
  MIN_FETCH_DELAY_MS,
  MISSED_CHANGES_LIMIT_MS,
  NEVER_READ_AGE_MS,
  NO_DIGEST,
  PEER_STATE_WAIT_MS,
  QUARANTINES_PER_MESSAGE,
  READER_LOST_MS,
  SEND_INTERVAL_MS,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { CrashGuard } from './crashGuard.js';
import type { RegistrationEntry } from './instanceRegistry.js';
import type { InstanceLimit, LimitExchange } from './limitExchange.js';
import type { Member, MemberStatus, MemberTable } from './memberTable.js';
import { OutageTracker } from './outageTracker.js';
import { encodeChanges } from './peerMessages.js';
import type { PeerMessage } from './peerMessages.js';
import { PeerNetwork } from './peerNetwork.js';
import type { PeerNetworkOptions } from './peerNetwork.js';
import { formatPosition } from './storePosition.js';
import { QuarantineStore } from './quarantineStore.js';
import { StoreReader } from './storeReader.js';
import type { ControlStore, GatewaySettings } from './types.js';

/** Bytes that a link of 1 Mbit/s carries in 1 ms. */
const BYTES_PER_MBIT_MS = 125;

/** Dependencies of a ControlPlane. */
export interface ControlPlaneOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly settings: GatewaySettings;
  readonly store: ControlStore;
  readonly state: ControlState;
  readonly members: MemberTable;
  readonly limits: LimitExchange;
  readonly crashes: CrashGuard;
  readonly onForward: PeerNetworkOptions['onForward'];
  /** Called after each heartbeat of another member. */
  readonly onMemberHeard: () => void;
  readonly ownStatus: () => MemberStatus;
}

/**
 * Keeps the state of this entry VM up to date. Two elected members read the store and send changes
 * to all others. The others compare digests in heartbeats and fetch what they have missed from any
 * member that has it. A member that hears no reader, or cannot fetch in time, reads the store itself.
 */
export class ControlPlane {
  private readonly network: PeerNetwork;

  private readonly reader: StoreReader;

  private readonly outages = OutageTracker.create();

  private readonly quarantines: QuarantineStore;

  private quarantineQueryAtMs = -Infinity;

  private readonly stopped = new AbortController();

  /** Aborted to search the store for members at once. */
  private memberSearchPause = new AbortController();

  private isFetching = false;

  /** Monotonic time since which a member has had changes that this entry VM has missed. */
  private behindSinceMs: number | undefined;

  private isWaitingForPeers = true;

  private constructor(private readonly options: ControlPlaneOptions) {
    const { clock, log, metrics, settings, store, state, members } = options;
    this.network = PeerNetwork.create({
      host: settings.host,
      port: settings.peerPort,
      log,
      metrics,
      sendBytesPerInterval:
        settings.linkMbps * CHANGES_LINK_SHARE * BYTES_PER_MBIT_MS * SEND_INTERVAL_MS,
      onMessage: (message, fromHost) => this.handleMessage(message, fromHost),
      onForward: options.onForward,
      createState: ({ operatorRevision, configurationVersion, instancePosition }) => ({
        operator:
          state.revision > operatorRevision || state.configurationVersion > configurationVersion
            ? state.createOperatorSnapshot()
            : undefined,
        instances:
          instancePosition === undefined
            ? state.createInstanceSnapshot()
            : state.listInstanceChangesSince(instancePosition),
      }),
    });
    this.quarantines = QuarantineStore.create({ clock, log, store, guard: options.crashes });
    this.reader = StoreReader.create({
      clock,
      random: options.random,
      log,
      metrics,
      store,
      state,
      shouldRead: () => this.shouldRead(),
      onStoreCall: (hasSucceeded) => this.recordStoreCall(hasSucceeded),
      outages: this.outages,
      isAnyStoreFailing: () => members.isAnyStoreFailing(),
      onInstancesRead: (changes) => this.publishChanges(changes),
      onOperatorChange: () => this.sendHeartbeat(),
      onRestored: () => {
        this.quarantines.reset();
        this.memberSearchPause.abort();
      },
    });
  }

  /** Creates a control plane without opening ports; call `start`. */
  static create(options: ControlPlaneOptions): ControlPlane {
    return new ControlPlane(options);
  }

  /** Time since this entry VM itself read the registrations from the store. */
  get storeReadAgeMs(): number {
    return this.reader.readAgeMs;
  }

  /** Whether this entry VM is an elected reader and has finished its start. */
  get isReader(): boolean {
    return !this.isWaitingForPeers && this.options.members.isElectedReader();
  }

  /**
   * Opens the peer ports and starts all tasks; rejects with a StepError if a port cannot be opened.
   */
  async start(): Promise<void> {
    await this.network.open();
    this.network.send(this.options.settings.seedHosts, this.createHeartbeat());
    this.runHeartbeats();
    this.runMemberSearch();
    this.startReader();
  }

  /** Sends a heartbeat outside its interval, so that members learn of a status change at once. */
  sendHeartbeat(): void {
    this.network.send(this.listPeerHosts(), this.createHeartbeat());
  }

  /** Sends limits of instances to all members, or to the given hosts. */
  sendLimits(limits: readonly InstanceLimit[], hosts = this.listPeerHosts()): void {
    for (let index = 0; index < limits.length; index += LIMITS_PER_MESSAGE) {
      const part = limits.slice(index, index + LIMITS_PER_MESSAGE);
      this.network.send(hosts, { kind: 'limits', limits: part });
    }
  }

  /** Sends a message to the given members, or to all. */
  sendToMembers(message: PeerMessage, hosts: readonly string[] = this.listPeerHosts()): void {
    this.network.send(hosts, message);
  }

  /** Stops all tasks and closes the peer ports and the connections to the store. */
  stop(): void {
    this.stopped.abort();
    this.reader.stop();
    this.network.close();
    this.options.store.close();
  }

  /** Starts to read the store after a short wait, in which peers may have sent their state. */
  private async startReader(): Promise<void> {
    await sleep(PEER_STATE_WAIT_MS, this.stopped.signal);
    this.isWaitingForPeers = false;
    this.reader.start();
    this.syncQuarantines();
  }

  private shouldRead(): boolean {
    if (this.isWaitingForPeers) return false;
    const { members, clock } = this.options;
    if (members.isElectedReader()) return true;
    const { behindSinceMs } = this;
    const nowMs = clock.monotonicMs();
    if (behindSinceMs !== undefined && nowMs - behindSinceMs > MISSED_CHANGES_LIMIT_MS) return true;
    return nowMs - members.readerLastHeardAtMs() > READER_LOST_MS;
  }

  private recordStoreCall(hasSucceeded: boolean): void {
    const { members } = this.options;
    const wasFailing = members.isOwnStoreFailing;
    members.recordStoreCall(hasSucceeded);
    if (wasFailing !== !hasSucceeded) this.sendHeartbeat();
  }

  private createHeartbeat(): PeerMessage {
    return { kind: 'heartbeat', status: this.options.ownStatus() };
  }

  private listPeerHosts(): string[] {
    const memberHosts = this.options.members.all().map(({ host }) => host);
    const { host: ownHost, seedHosts } = this.options.settings;
    return [...new Set([...memberHosts, ...seedHosts])].filter((host) => host !== ownHost);
  }

  /** Sends changes to all members, and then the status with the digest that they lead to. */
  private async publishChanges(entries: readonly RegistrationEntry[]): Promise<void> {
    this.updateBehind();
    // If all members that read the store for themselves published, their messages would congest
    // the links of all.
    if (!this.isReader) return;
    const datagrams = encodeChanges(entries);
    const hosts = shuffle(this.options.random, this.listPeerHosts());
    await this.network.sendSpread(hosts, datagrams);
    this.sendHeartbeat();
    if (entries.length === 0) return;
    this.options.metrics.counter('bronzelift_registration_changes_sent_total').increment();
    this.options.log.info(LogComponent.log, 'changes of registrations sent', {
      instanceOffset: formatPosition(this.options.state.nextInstancePosition),
      entries: entries.length,
      datagrams: datagrams.length,
      members: hosts.length,
    });
  }

  private syncQuarantines(): void {
    const isAlone = !this.isWaitingForPeers && this.options.members.live().length === 0;
    if (this.isReader || isAlone) this.quarantines.sync();
  }

  private sendQuarantines(host: string): void {
    const quarantines = this.options.crashes.listQuarantines();
    for (let index = 0; index < quarantines.length; index += QUARANTINES_PER_MESSAGE) {
      const part = quarantines.slice(index, index + QUARANTINES_PER_MESSAGE);
      this.network.send([host], { kind: 'quarantines', quarantines: part });
    }
  }

  /** Asks a member that knows other quarantined requests, one member per heartbeat interval. */
  private compareQuarantines({ quarantineDigest }: MemberStatus, host: string): void {
    const { crashes, clock } = this.options;
    if (quarantineDigest === NO_DIGEST || quarantineDigest === crashes.digest) return;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.quarantineQueryAtMs < HEARTBEAT_INTERVAL_MS) return;
    this.quarantineQueryAtMs = nowMs;
    this.network.send([host], { kind: 'quarantine-query' });
  }

  private async runHeartbeats(): Promise<void> {
    const { signal } = this.stopped;
    const { state, members, log } = this.options;
    while (!signal.aborted) {
      this.sendHeartbeat();
      this.sendLimits(this.options.limits.takeDue());
      this.options.crashes.update();
      this.syncQuarantines();
      state.removeExpired();
      for (const { status } of members.removeLost()) {
        log.info(LogComponent.member, 'member forgotten', { member: status.vmId });
      }
      await sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  /**
   * Records this entry VM's host in the store, and searches there for members that no seed knows.
   */
  private async runMemberSearch(): Promise<void> {
    const { signal } = this.stopped;
    const { settings, store, log, members } = this.options;
    let isAnnounced = false;
    while (!signal.aborted) {
      this.memberSearchPause = new AbortController();
      try {
        if (!isAnnounced) {
          await store.recordMembers([{ vmId: settings.vmId, host: settings.host }]);
          isAnnounced = true;
        }
        if (this.isReader || members.live().length === 0) await this.searchMembers();
      } catch (error) {
        log.warn(LogComponent.member, 'member search failed', { error: describeError(error) });
      }
      const pause = AbortSignal.any([signal, this.memberSearchPause.signal]);
      await sleep(isAnnounced ? MEMBER_SEARCH_INTERVAL_MS : HEARTBEAT_INTERVAL_MS, pause);
    }
  }

  /** Greets the members in the store, and records there those that a restored store has lost. */
  private async searchMembers(): Promise<void> {
    const { settings, store, log, members } = this.options;
    const found = await store.readMembers();
    const hosts = found.map(({ host }) => host).filter((host) => host !== settings.host);
    this.network.send(hosts, this.createHeartbeat());
    const hostOfMember = new Map(found.map(({ vmId, host }) => [vmId, host]));
    const known = members.live().map(({ status, host }) => ({ vmId: status.vmId, host }));
    const missing = [{ vmId: settings.vmId, host: settings.host }, ...known].filter(
      ({ vmId, host }) => hostOfMember.get(vmId) !== host,
    );
    if (missing.length === 0) return;
    await store.recordMembers(missing);
    log.info(LogComponent.member, 'missing members recorded in the store', {
      members: missing.length,
      first: missing[0]!.vmId,
    });
  }

  private handleMessage(message: PeerMessage, fromHost: string): void {
    switch (message.kind) {
      case 'heartbeat':
        this.handleStatus(message.status, fromHost);
        return;
      case 'changes':
        this.options.state.mergeInstanceChanges(message.entries);
        return;
      case 'members':
        this.sendHeartbeatToUnknown(message.hosts);
        return;
      case 'limits':
        this.options.limits.merge(message.limits);
        return;
      case 'crashes':
        this.options.crashes.merge(message.evidence, fromHost);
        return;
      case 'quarantines':
        this.options.crashes.addQuarantines(message.quarantines, 'peer');
        return;
      case 'quarantine-query':
        this.sendQuarantines(fromHost);
        return;
      default:
        assertNever(message);
    }
  }

  private handleStatus(status: MemberStatus, fromHost: string): void {
    const { members, state, log, settings } = this.options;
    if (status.vmId === settings.vmId) return;
    if (status.storeReadAgeMs < NEVER_READ_AGE_MS) {
      const readAtMs = this.options.clock.monotonicMs() - status.storeReadAgeMs;
      this.outages.recordRead(readAtMs, members.isAnyStoreFailing() || status.isStoreFailing);
    }
    const isNew = members.recordHeartbeat(status, fromHost);
    if (isNew) {
      log.info(LogComponent.member, 'member heard', {
        member: status.vmId,
        incarnation: status.incarnation,
        domain: status.failureDomainId,
        phase: status.phase,
      });
      const hosts = members.all().map(({ host }) => host);
      this.network.send([fromHost], this.createHeartbeat());
      for (let index = 0; index < hosts.length; index += HOSTS_PER_MESSAGE) {
        const part = hosts.slice(index, index + HOSTS_PER_MESSAGE);
        this.network.send([fromHost], { kind: 'members', hosts: part });
      }
      this.sendLimits(this.options.limits.listObservedLimits(), [fromHost]);
      this.sendQuarantines(fromHost);
    }
    this.options.onMemberHeard();
    this.compareQuarantines(status, fromHost);
    state.advanceInstancePosition(status.instancePosition, status.instanceDigest);
    if (!this.isBehind(status)) return;
    this.behindSinceMs ??= this.options.clock.monotonicMs();
    this.catchUp();
  }

  private sendHeartbeatToUnknown(hosts: readonly string[]): void {
    const knownHosts = new Set(this.listPeerHosts());
    const unknown = hosts.filter(
      (host) => !knownHosts.has(host) && host !== this.options.settings.host,
    );
    if (unknown.length > 0) this.network.send(unknown, this.createHeartbeat());
  }

  /** Whether a member has a newer state that has to be fetched. */
  private isBehind(status: MemberStatus): boolean {
    const { state } = this.options;
    if (status.operatorRevision > state.revision) return true;
    if (status.configurationVersion > state.configurationVersion) return true;
    const ownPosition = state.nextInstancePosition ?? -1;
    return status.instancePosition > ownPosition && status.instanceDigest !== state.digest;
  }

  private listMembersAhead(): Member[] {
    return this.options.members.live().filter(({ status }) => this.isBehind(status));
  }

  private updateBehind(): void {
    if (this.listMembersAhead().length === 0) this.behindSinceMs = undefined;
  }

  /** Fetches missed changes from the members that have them, one after the other. */
  private async catchUp(): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const asked = new Set<string>();
    if (this.options.state.isComplete) await this.waitForChanges();
    while (asked.size < MAX_FETCH_ATTEMPTS && !this.stopped.signal.aborted) {
      const peer = this.selectMemberAhead(asked);
      if (peer === undefined) break;
      asked.add(peer.status.vmId);
      // The changes since the own position suffice, unless an earlier one was missed.
      const isWhole = asked.size > MAX_FETCH_ATTEMPTS / 2;
      await this.fetchFrom(peer, isWhole);
    }
    this.updateBehind();
    this.isFetching = false;
  }

  /** Waits for changes that may still arrive as datagrams. */
  private async waitForChanges(): Promise<void> {
    const delayMs = MIN_FETCH_DELAY_MS + this.options.random.next() * FETCH_DELAY_RANGE_MS;
    await sleep(delayMs, this.stopped.signal);
  }

  /** Selects a member at random, in the own failure domain if possible. */
  private selectMemberAhead(asked: ReadonlySet<string>): Member | undefined {
    const { random, settings } = this.options;
    const ahead = this.listMembersAhead().filter(({ status }) => !asked.has(status.vmId));
    const inDomain = ahead.filter(
      ({ status }) => status.failureDomainId === settings.failureDomainId,
    );
    return shuffle(random, inDomain.length > 0 ? inDomain : ahead)[0];
  }

  private async fetchFrom({ status, host }: Member, isWhole: boolean): Promise<void> {
    const { state, log, metrics, clock } = this.options;
    const startedAtMs = clock.monotonicMs();
    const finish = (outcome: 'fetched' | 'failed'): number => {
      const tookMs = clock.monotonicMs() - startedAtMs;
      metrics.counter('bronzelift_state_fetches_total', { outcome }).increment();
      metrics.histogram('bronzelift_state_fetch_ms').recordMs(tookMs);
      return Math.round(tookMs);
    };
    try {
      const instancePosition = isWhole ? undefined : state.nextInstancePosition;
      const { operator, instances } = await this.network.fetchState(host, {
        operatorRevision: state.revision,
        configurationVersion: state.configurationVersion,
        instancePosition,
      });
      if (operator !== undefined) state.adoptOperatorSnapshot(operator);
      if (instances !== undefined) {
        if (instancePosition === undefined) state.mergeInstanceSnapshot(instances);
        else state.mergeInstanceChangesSince(instances);
      }
      log.info(LogComponent.log, 'state taken from peer', {
        peer: status.vmId,
        revision: formatPosition(state.revision),
        instanceOffset: formatPosition(state.nextInstancePosition),
        tookMs: finish('fetched'),
      });
    } catch (error) {
      log.warn(LogComponent.log, 'fetch of peer state failed', {
        peer: status.vmId,
        error: describeError(error),
        tookMs: finish('failed'),
      });
    }
  }
}
