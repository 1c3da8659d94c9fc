import { setMaxListeners } from 'node:events';

import { assertNever, describeError, shuffle, sleep } from '@bronzelift/common';
import type { Clock, RandomSource } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  CHANGES_LINK_SHARE,
  HEARTBEAT_INTERVAL_MS,
  HOSTS_PER_MESSAGE,
  LIMITS_PER_MESSAGE,
  NEVER_READ_AGE_MS,
  NO_DIGEST,
  PEER_STATE_WAIT_MS,
  QUARANTINES_PER_MESSAGE,
  READER_LOST_AT_MEMBERS_MS,
  READER_LOST_MS,
  SEND_INTERVAL_MS,
  START_SETTLE_MS,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { CrashGuard } from './crashGuard.js';
import type { RegistrationEntry } from './instanceRegistry.js';
import type { InstanceLimit, LimitExchange } from './limitExchange.js';
import { MemberSearch } from './memberSearch.js';
import type { MemberStatus, MemberTable } from './memberTable.js';
import { RelayExchange, RosterFetcher } from './members/index.js';
import type { SpreadTargets } from './members/index.js';
import { OutageTracker } from './outageTracker.js';
import { PassedOnMessages } from './passedOnMessages.js';
import { encodeChanges, encodeMessage } from './peerMessages.js';
import type { PeerMessage } from './peerMessages.js';
import { PeerNetwork } from './peerNetwork.js';
import type { PeerNetworkOptions } from './peerNetwork.js';
import { QuarantineStore } from './quarantineStore.js';
import { StateCatchUp } from './stateCatchUp.js';
import type { StateFreshness } from './stateFreshness.js';
import { formatPosition } from './storePosition.js';
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
  readonly freshness: StateFreshness;
  readonly onForward: PeerNetworkOptions['onForward'];
  /** Called after each message with the status of another member. */
  readonly onMemberHeard: () => void;
  readonly ownStatus: () => MemberStatus;
}

/**
 * Keeps the state of this entry VM up to date. Two elected members read the store and send changes
 * to the relays of each failure domain, which pass them on. The others compare digests in what their
 * relays send, and fetch what they have missed from any member that has it. A member that knows of
 * no reader, or cannot fetch in time, reads the store itself.
 */
export class ControlPlane {
  private readonly network: PeerNetwork;

  private readonly exchange: RelayExchange;

  private readonly rosterFetcher: RosterFetcher;

  private readonly passedOn: PassedOnMessages;

  private readonly reader: StoreReader;

  private readonly catchUp: StateCatchUp;

  private readonly search: MemberSearch;

  private readonly outages = OutageTracker.create();

  private readonly quarantines: QuarantineStore;

  private quarantineQueryAtMs = -Infinity;

  private readonly stopped = new AbortController();

  private readonly startedAtMs: number;

  private isWaitingForPeers = true;

  private constructor(private readonly options: ControlPlaneOptions) {
    const { clock, random, log, metrics, settings, store, state, members } = options;
    const { signal } = this.stopped;
    this.startedAtMs = clock.monotonicMs();
    // Each pause of a task, of which there are several for each relay, listens for the stop.
    setMaxListeners(0, signal);
    this.network = PeerNetwork.create({
      host: settings.host,
      port: settings.peerPort,
      log,
      metrics,
      sendBytesPerInterval:
        settings.linkMbps * CHANGES_LINK_SHARE * BYTES_PER_MBIT_MS * SEND_INTERVAL_MS,
      onMessage: (message, fromHost) => this.handleMessage(message, fromHost),
      onPassOn: (data, fromHost) => this.passedOn.passOn(data, fromHost),
      onForward: options.onForward,
      createRosters: () => this.exchange.createRosters(),
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
    this.exchange = RelayExchange.create({
      clock,
      random,
      members,
      ownId: settings.vmId,
      ownDomainId: settings.failureDomainId,
      ownHost: settings.host,
      seedHosts: settings.seedHosts,
      ownStatus: options.ownStatus,
      storeReadAgeMs: () => options.freshness.readAgeMs,
      send: (hosts, message) => this.network.send(hosts, message),
      requestRosters: (vmId, host) => {
        const failureDomainId = members.find(vmId)?.status.failureDomainId;
        if (failureDomainId !== undefined) {
          this.rosterFetcher.request({ vmId, host, failureDomainId });
        }
      },
      schedule: (callback, delayMs) => this.schedule(callback, delayMs),
      onNewcomer: (host) => this.sendKnown(host),
    });
    this.rosterFetcher = RosterFetcher.create({
      random,
      isBehind: (relayId) => this.exchange.isBehind(relayId),
      fetchRosters: (host) => this.network.fetchRosters(host),
      onFetched: (relayId, rosters) => {
        this.exchange.applyRosters(relayId, rosters);
        metrics.counter('bronzelift_roster_fetches_total', { outcome: 'fetched' }).increment();
      },
      onFailed: (relay, error) => {
        metrics.counter('bronzelift_roster_fetches_total', { outcome: 'failed' }).increment();
        log.warn(LogComponent.member, 'fetch of members failed', {
          relay,
          error: describeError(error),
        });
      },
      signal,
    });
    this.passedOn = PassedOnMessages.create({
      clock,
      network: this.network,
      listHosts: () => this.exchange.listOwnDomainHosts(),
    });
    this.catchUp = StateCatchUp.create({
      clock,
      random,
      log,
      metrics,
      ownDomainId: settings.failureDomainId,
      state,
      members,
      fetchState: (host, query) => this.network.fetchState(host, query),
      onCaughtUp: () => {
        // What a relay has missed did not reach its failure domain over it.
        if (this.isRelay) this.exchange.announce();
      },
      signal,
    });
    this.search = MemberSearch.create({
      log,
      settings,
      store,
      members,
      isReader: () => this.isReader,
      greet: (hosts) => this.greet(hosts),
      signal,
    });
    this.quarantines = QuarantineStore.create({ clock, log, store, guard: options.crashes });
    this.reader = StoreReader.create({
      clock,
      random,
      log,
      metrics,
      store,
      state,
      shouldRead: () => this.shouldRead(),
      shouldWatch: () => this.shouldWatch(),
      onStoreCall: (hasSucceeded) => this.recordStoreCall(hasSucceeded),
      outages: this.outages,
      freshness: options.freshness,
      ownId: settings.vmId,
      isAnyStoreFailing: () => members.isAnyStoreFailing(),
      onInstancesRead: (changes) => this.publishChanges(changes),
      onOperatorChange: () => this.exchange.announceToRelays(),
      onRestored: () => {
        this.quarantines.reset();
        this.search.hurry();
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

  /** Whether this entry VM passes on what the members of its failure domain should know. */
  get isRelay(): boolean {
    return this.exchange.isRelay;
  }

  /** Whether this entry VM hears no relay. */
  get isSearching(): boolean {
    return this.exchange.isSearching;
  }

  /**
   * Opens the peer ports and starts all tasks; rejects with a StepError if a port cannot be opened.
   */
  async start(): Promise<void> {
    await this.network.open();
    this.runExchange();
    this.runHeartbeats();
    this.search.run();
    this.startReader();
  }

  /** Sends the own status outside its interval, so that members learn of a change at once. */
  sendHeartbeat(): void {
    this.exchange.announce();
  }

  /** Sends limits of instances to all members. */
  sendLimits(limits: readonly InstanceLimit[]): void {
    for (let index = 0; index < limits.length; index += LIMITS_PER_MESSAGE) {
      const part = limits.slice(index, index + LIMITS_PER_MESSAGE);
      this.spread({ kind: 'limits', limits: part });
    }
  }

  /** Sends a message to the given members, or to all. */
  sendToMembers(message: PeerMessage, hosts?: readonly string[]): void {
    if (hosts === undefined) this.spread(message);
    else this.network.send(hosts, message);
  }

  /** Stops all tasks and closes the peer ports and the connections to the store. */
  stop(): void {
    this.stopped.abort();
    this.reader.stop();
    this.network.close();
    this.options.store.close();
  }

  private spread(message: PeerMessage): void {
    const { relays, direct } = this.exchange.listSpreadTargets();
    this.network.send(direct, message);
    this.network.sendToPassOn(relays, encodeMessage(message));
  }

  /** Starts to read the store after a short wait, in which peers may have sent their state. */
  private async startReader(): Promise<void> {
    await sleep(PEER_STATE_WAIT_MS, this.stopped.signal);
    this.isWaitingForPeers = false;
    this.reader.start();
  }

  private shouldRead(): boolean {
    if (this.isWaitingForPeers) return false;
    return this.options.members.isElectedReader() || this.isMissingChanges;
  }

  private shouldWatch(): boolean {
    if (this.isWaitingForPeers) return false;
    const { members, settings } = this.options;
    return members.isElectedWatcher(settings.bounds.toleratedVmLosses) || this.isMissingChanges;
  }

  /** Whether changes in the store do not arrive from other members. */
  private get isMissingChanges(): boolean {
    if (this.catchUp.isLate) return true;
    // Other members hear of readers from their relays, and later.
    const isDirect = this.isRelay || this.isSearching;
    const limitMs = isDirect ? READER_LOST_MS : READER_LOST_AT_MEMBERS_MS;
    return this.options.members.readerAgeMs > limitMs;
  }

  private recordStoreCall(hasSucceeded: boolean): void {
    const { members } = this.options;
    const wasFailing = members.isOwnStoreFailing;
    members.recordStoreCall(hasSucceeded);
    if (wasFailing !== !hasSucceeded) this.sendHeartbeat();
  }

  /** Sends changes that were read, and then the status with the digest that they lead to. */
  private async publishChanges(entries: readonly RegistrationEntry[]): Promise<void> {
    this.catchUp.update();
    const targets = this.listChangeTargets();
    if (targets === undefined) return;
    const datagrams = encodeChanges(entries);
    const { relays, direct } = targets;
    await this.network.spreadToPassOn(shuffle(this.options.random, relays), datagrams);
    await this.network.sendSpread(shuffle(this.options.random, direct), datagrams);
    if (this.isReader || entries.length > 0) this.sendHeartbeat();
    if (entries.length === 0) return;
    this.options.metrics.counter('bronzelift_registration_changes_sent_total').increment();
    this.options.log.info(LogComponent.log, 'changes of registrations sent', {
      instanceOffset: formatPosition(this.options.state.nextInstancePosition),
      entries: entries.length,
      datagrams: datagrams.length,
      members: relays.length + direct.length,
    });
  }

  /**
   * Hosts for changes that this entry VM has read. A relay that reads while it hears no reader
   * serves its own failure domain only, so that the links of all are not congested.
   */
  private listChangeTargets(): SpreadTargets | undefined {
    if (this.isReader) return this.exchange.listSpreadTargets();
    if (!this.isRelay) return undefined;
    return { relays: [], direct: this.exchange.listOwnDomainHosts() };
  }

  private syncQuarantines(): void {
    const { clock, members } = this.options;
    // Right after the start, the readers are not known yet.
    if (clock.monotonicMs() - this.startedAtMs < START_SETTLE_MS) return;
    if (this.isReader || members.live().length === 0) this.quarantines.sync();
  }

  private sendQuarantines(host: string): void {
    const quarantines = this.options.crashes.listQuarantines();
    for (let index = 0; index < quarantines.length; index += QUARANTINES_PER_MESSAGE) {
      const part = quarantines.slice(index, index + QUARANTINES_PER_MESSAGE);
      this.network.send([host], { kind: 'quarantines', quarantines: part });
    }
  }

  /** Sends a member that has started what relays have passed on before. */
  private sendKnown(host: string): void {
    const limits = this.options.limits.listObservedLimits();
    for (let index = 0; index < limits.length; index += LIMITS_PER_MESSAGE) {
      const part = limits.slice(index, index + LIMITS_PER_MESSAGE);
      this.network.send([host], { kind: 'limits', limits: part });
    }
    this.sendQuarantines(host);
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

  /** Sends heartbeats and digests; more often while no relay is known. */
  private async runExchange(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const pauseMs = this.exchange.tick();
      const dueAtMs = this.options.clock.monotonicMs() + pauseMs;
      await sleep(pauseMs, signal);
      if (!signal.aborted) this.options.freshness.recordTimer(dueAtMs);
    }
  }

  private async runHeartbeats(): Promise<void> {
    const { signal } = this.stopped;
    const { state, members, log } = this.options;
    await sleep(START_SETTLE_MS, signal);
    while (!signal.aborted) {
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

  private async schedule(callback: () => void, delayMs: number): Promise<void> {
    await sleep(delayMs, this.stopped.signal);
    if (!this.stopped.signal.aborted) callback();
  }

  private handleMessage(message: PeerMessage, fromHost: string): void {
    switch (message.kind) {
      case 'heartbeat':
        this.handleHeartbeat(message.status, fromHost);
        return;
      case 'digest':
        if (message.digest.status.vmId === this.options.settings.vmId) return;
        this.recordRead(message.digest.readAgeMs, message.digest.status);
        this.handleStatus(
          message.digest.status,
          fromHost,
          this.exchange.handleDigest(message.digest, fromHost),
        );
        return;
      case 'roster-change':
        this.exchange.handleRosterChange(message.change);
        return;
      case 'changes':
        this.options.state.mergeInstanceChanges(message.entries);
        return;
      case 'members':
        this.greetUnknown(message.hosts);
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

  private handleHeartbeat(status: MemberStatus, fromHost: string): void {
    if (status.vmId === this.options.settings.vmId) return;
    this.recordRead(status.storeReadAgeMs, status);
    const isNew = this.exchange.handleHeartbeat(status, fromHost);
    if (isNew && status.sequence === undefined) this.greetEarlierBuild(fromHost);
    this.handleStatus(status, fromHost, isNew);
  }

  private recordRead(readAgeMs: number, { vmId, isStoreFailing }: MemberStatus): void {
    if (readAgeMs >= NEVER_READ_AGE_MS) return;
    const readAtMs = this.options.clock.monotonicMs() - readAgeMs;
    this.options.freshness.recordRead(readAtMs, vmId);
    this.outages.recordRead(readAtMs, this.options.members.isAnyStoreFailing() || isStoreFailing);
  }

  private handleStatus(status: MemberStatus, fromHost: string, isNew: boolean): void {
    if (isNew) {
      this.options.log.info(LogComponent.member, 'member heard', {
        member: status.vmId,
        incarnation: status.incarnation,
        domain: status.failureDomainId,
        phase: status.phase,
      });
    }
    this.options.onMemberHeard();
    this.compareQuarantines(status, fromHost);
    this.options.state.advanceInstancePosition(status.instancePosition, status.instanceDigest);
    this.catchUp.compare(status);
  }

  /** Members of earlier builds do not use relays: they greet all hosts that they are told. */
  private greetEarlierBuild(host: string): void {
    const hosts = this.options.members.all().map((member) => member.host);
    this.greet([host]);
    for (let index = 0; index < hosts.length; index += HOSTS_PER_MESSAGE) {
      const part = hosts.slice(index, index + HOSTS_PER_MESSAGE);
      this.network.send([host], { kind: 'members', hosts: part });
    }
    this.sendKnown(host);
  }

  private greetUnknown(hosts: readonly string[]): void {
    const known = new Set(this.options.members.live().map(({ host }) => host));
    const { host: ownHost } = this.options.settings;
    this.greet(hosts.filter((host) => !known.has(host) && host !== ownHost));
  }

  private greet(hosts: readonly string[]): void {
    this.network.send(hosts, { kind: 'heartbeat', status: this.exchange.createStatus() });
  }
}
