import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { once } from 'node:events';

import type { Clock, Endpoint, InstanceId, RandomSource } from '@bronzelift/common';
import {
  StepError,
  createIncarnation,
  describeError,
  formatEndpoint,
  formatMember,
  sleep,
} from '@bronzelift/common';
import type { ControlState } from '@bronzelift/control-log';
import { decodeState, encodeState, findMember, isTakenOut } from '@bronzelift/control-log';
import {
  AddressBook,
  HeartbeatSocket,
  ADDRESSES_KEEP_FOR_MS,
  SILENCE_LIMIT_MS,
  VmListReader,
  formatTicket,
  readVmList,
} from '@bronzelift/membership';
import type { RosterMember } from '@bronzelift/membership';
import {
  DecisionLog,
  InvariantName,
  Invariants,
  LogComponent,
  Metrics,
} from '@bronzelift/observability';
import { Phase } from '@bronzelift/protocol';
import type { EntrySettings } from '@bronzelift/settings';

import { createAdminServer } from './adminServer.js';
import { CallerServer } from './callerServer.js';
import {
  LEAVE_STEP_TIMEOUT_MS,
  MAINTENANCE_INTERVAL_MS,
  KEEP_ALIVE_MS,
  MAX_HEADER_BYTES,
  PAUSE_THRESHOLD_MS,
  SHUTDOWN_DRAIN_TIMEOUT_MS,
  SHUTDOWN_GRACE_MS,
} from './constants.js';
import { ControlPlane } from './controlPlane.js';
import { ForwardServer } from './forwardServer.js';
import { createDaemonStatus } from './daemonStatus.js';
import { InstanceReports } from './instanceReports.js';
import { MemberSession } from './memberSession.js';
import { OrderService } from './orderService.js';
import { PeerForwarder } from './peerForwarder.js';
import { ReadDelay } from './readDelay.js';
import { RequestRunner } from './requestRunner.js';
import type { ReachablePeer } from './requestRunner.js';
import { createSendGate } from './sendGate.js';
import { SlotDirectory } from './slotDirectory.js';
import type { EpochState } from './slotDirectory.js';

/** Settings, clock and random source that the process provides. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
}

const listen = async (server: Server, endpoint: Endpoint, step: string): Promise<void> => {
  server.listen(endpoint.port, endpoint.host);
  try {
    await once(server, 'listening');
  } catch (error) {
    throw StepError.create(step, formatEndpoint(endpoint), describeError(error), error);
  }
};

/** Runs the servers, request handling, membership and control plane of one entry VM. */
export class EntryDaemon {
  readonly log: DecisionLog;

  private readonly metrics = Metrics.create();

  private readonly invariants: Invariants;

  private readonly controlPlane: ControlPlane;

  private readonly slots: SlotDirectory;

  private readonly reports: InstanceReports;

  private readonly runner: RequestRunner;

  private readonly forwarder: PeerForwarder;

  private readonly forwardServer: ForwardServer;

  private readonly orders: OrderService;

  private readonly callers: CallerServer;

  private readonly addresses: AddressBook;

  private session: MemberSession;

  private readonly heartbeatSocket = HeartbeatSocket.create((request) =>
    this.session.heartbeats.answer(request),
  );

  private vmList: VmListReader | undefined;

  private peerServer: Server | undefined;

  private adminServer: Server | undefined;

  private phase = Phase.JOINING;

  private isRefusingRequests = false;

  private wasMember = false;

  private requestCount = 0;

  private readonly readDelay: ReadDelay;

  private readonly startedAtMs: number;

  private configurationVersion = 0;

  private configurationAdoptedAtMs: number;

  private readonly stopping = new AbortController();

  private constructor(private readonly options: EntryDaemonOptions) {
    const { clock, random, settings } = options;
    this.readDelay = ReadDelay.create(clock);
    this.startedAtMs = clock.monotonicMs();
    this.configurationAdoptedAtMs = this.startedAtMs;
    this.log = DecisionLog.create({ clock });
    this.invariants = Invariants.create({ clock, log: this.log, metrics: this.metrics });
    this.session = this.createSession();
    const gate = createSendGate(
      () => this.session.lease,
      () => this.controlPlane.state.configurationVersion > 0,
    );
    this.slots = SlotDirectory.create({
      clock,
      random,
      log: this.log,
      invariants: this.invariants,
      ownVmId: settings.entry.vmId,
      ownDomainId: settings.entry.failureDomainId,
      gate,
      currentLease: () => this.session.lease,
      onCold: (instanceId, reason) => this.handleColdInstance(instanceId, reason),
    });
    this.reports = InstanceReports.create(clock, this.slots);
    this.controlPlane = ControlPlane.create({
      clock,
      random,
      log: this.log,
      invariants: this.invariants,
      settings,
      clientId: settings.entry.vmId,
      onState: (state, epochs) => this.applyState(state, epochs),
      onRecordedGone: (member) => this.session.recordGone(member, 'recorded'),
    });
    this.forwarder = PeerForwarder.create(clock, () => this.session.self);
    const findService = (name: string) => this.slots.findService(name);
    this.runner = RequestRunner.create({
      clock,
      random,
      log: this.log,
      metrics: this.metrics,
      gate,
      forwarder: this.forwarder,
      findService,
      findPeer: (vmId) => this.findPeer(vmId),
    });
    this.addresses = AddressBook.create(clock, random);
    this.orders = OrderService.create({
      clock,
      log: this.log,
      runner: this.runner,
      invariants: this.invariants,
      ownVmId: settings.entry.vmId,
      currentSession: () => this.session,
      issueTicket: (avoid) => this.issueTicket(avoid),
      findEndpoint: (vmId, incarnation) => this.findPeerEndpoint(vmId, incarnation),
      nextRequestId: () => this.nextRequestId(),
    });
    this.forwardServer = ForwardServer.create({
      clock,
      random,
      runner: this.runner,
      findService,
      nextRequestId: () => this.nextRequestId(),
      ownIncarnation: () => this.session.self.incarnation,
      isMember: (formatted) => this.isRosterMember(formatted),
    });
    this.callers = CallerServer.create({
      clock,
      random,
      log: this.log,
      metrics: this.metrics,
      runner: this.runner,
      orders: this.orders.coordinator,
      answerAddresses: () => this.addresses.answer(this.candidates()),
      issueTicket: () => this.issueTicket(),
      findService,
      nextRequestId: () => this.nextRequestId(),
      readDelayMs: () => this.readDelay.maxDelayMs(),
      isStopping: () => this.isRefusingRequests,
    });
  }

  /** Creates a daemon; it opens ports and starts tasks only in `start`. */
  static create(options: EntryDaemonOptions): EntryDaemon {
    return new EntryDaemon(options);
  }

  /** Opens the ports and starts all tasks; rejects with a StepError if a port is in use. */
  async start(): Promise<void> {
    const { settings } = this.options;
    this.log.start();
    this.peerServer = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
      (message, response) => {
        this.session.listener(message, response);
      },
    );
    this.peerServer.keepAliveTimeout = KEEP_ALIVE_MS;
    this.adminServer = createAdminServer({
      status: () => this.status(),
      metricsText: () => this.metrics.formatPrometheus(),
      metricsJson: () => this.metrics.snapshot(),
    });
    await listen(this.peerServer, settings.peer, 'open peer port');
    await this.heartbeatSocket.bind(settings.peer);
    await listen(this.adminServer, settings.admin, 'open admin port');
    await listen(this.callers.server, settings.caller, 'open caller port');
    await this.checkFailureDomain();
    this.controlPlane.start();
    this.vmList = VmListReader.start({
      endpoint: settings.vmList.address,
      expectedVmIds: () => this.controlPlane.state.members.map(({ vmId }) => vmId),
      onList: () => this.applyAvailability(),
      onLeaving: (vmId) => this.log.info(LogComponent.member, 'VM is leaving', { vmId }),
      onGone: (vmId) => this.handleVmGone(vmId),
      onError: (error) =>
        this.log.warn(LogComponent.member, 'VM list request failed', { error: error.message }),
      intervalMs: settings.vmList.pollIntervalMs,
    });
    this.log.info(LogComponent.daemon, 'started', {
      member: formatMember(this.session.self),
      domain: settings.entry.failureDomainId,
      callers: formatEndpoint(settings.caller),
    });
    this.maintainUntilStopped().catch((error: unknown) => {
      this.log.error(LogComponent.daemon, 'maintenance failed', { error: describeError(error) });
    });
  }

  /**
   * Performs a planned shutdown: announces it, serves callers that still use this address,
   * finishes requests in flight, hands orders over and leaves the roster.
   */
  async stop(): Promise<void> {
    this.log.info(LogComponent.daemon, 'shutdown started');
    this.phase = Phase.LEAVING;
    this.session.heartbeats.sendNow();
    await sleep(ADDRESSES_KEEP_FOR_MS + SHUTDOWN_GRACE_MS);
    this.isRefusingRequests = true;
    const isDrained = await this.waitUntilIdle();
    if (!isDrained) {
      this.invariants.report(
        InvariantName.gracefulStop,
        'requests were still in flight at the time limit',
      );
    }
    const handover = await this.orders.coordinator.handOver(LEAVE_STEP_TIMEOUT_MS);
    this.log.info(LogComponent.order, 'orders handed over', {
      entries: handover.entries,
      failed: handover.failed.length,
    });
    await this.controlPlane.leave(this.session.self, LEAVE_STEP_TIMEOUT_MS);
    this.phase = Phase.STOPPED;
    await this.session.stop(LEAVE_STEP_TIMEOUT_MS);
    this.stopping.abort();
    await this.vmList?.stop();
    await this.controlPlane.stop();
    this.slots.close();
    this.forwarder.close();
    this.orders.close();
    this.heartbeatSocket.close();
    for (const server of [this.callers.server, this.peerServer, this.adminServer]) {
      server?.close();
      server?.closeAllConnections();
    }
    this.log.info(LogComponent.daemon, 'shutdown complete');
    await this.log.close();
  }

  /** Current state, as `/status` on the admin port returns it. */
  status(): Record<string, unknown> {
    return createDaemonStatus({
      clock: this.options.clock,
      startedAtMs: this.startedAtMs,
      configurationAdoptedAtMs: this.configurationAdoptedAtMs,
      phase: this.phase,
      session: this.session,
      control: this.controlPlane,
      slots: this.slots,
      orders: this.orders,
      invariants: this.invariants,
      log: this.log,
    });
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }

  private nextRequestId(): string {
    this.requestCount += 1;
    return `${this.session.self.incarnation}-${this.requestCount.toString(36)}`;
  }

  private createSession(): MemberSession {
    const { clock, random, settings } = this.options;
    const self: RosterMember = {
      vmId: settings.entry.vmId,
      incarnation: createIncarnation(clock, random),
      failureDomainId: settings.entry.failureDomainId,
      callerEndpoint: settings.caller,
      peerEndpoint: settings.peer,
    };
    return MemberSession.create({
      clock,
      random,
      log: this.log,
      self,
      controlState: () => this.controlPlane.state,
      stateJson: () => encodeState(this.controlPlane.state),
      phase: () => this.phase,
      logAgeMs: () => this.controlPlane.logAgeMs() ?? this.now() - this.startedAtMs,
      serviceLoads: () => this.reports.serviceLoads(this.phase === Phase.SERVING),
      observations: () => this.reports.observations(),
      onPeerState: (json) => this.handlePeerState(json),
      onObservations: (observations, sentAtMs) =>
        this.reports.applyPeerObservations(observations, sentAtMs),
      onLoads: (vmId, loads) => {
        for (const load of loads) {
          this.slots.findService(load.service)?.forwardSelector.report(vmId, load.freeSlots);
        }
      },
      exchange: (endpoint, request) => this.heartbeatSocket.exchange(endpoint, request),
      fallback: (message, response) => {
        this.handlePeerRequest(message, response).catch((error: unknown) => {
          this.log.error(LogComponent.daemon, 'peer request failed', {
            error: describeError(error),
          });
          response.destroy();
        });
      },
    });
  }

  /**
   * Rejects if the failure domain in the VM list differs from that in the settings: a wrong failure
   * domain would misplace slots and witnesses. An unreachable list is no evidence of an error.
   */
  private async checkFailureDomain(): Promise<void> {
    const { entry, vmList } = this.options.settings;
    const list = await readVmList(vmList.address).catch(() => undefined);
    const listed = list?.vms.find(({ vmId }) => vmId === entry.vmId);
    if (!listed || listed.failureDomainId === entry.failureDomainId) return;
    const detail = `the settings give failure domain ${entry.failureDomainId}, the VM list gives ${listed.failureDomainId}`;
    throw StepError.create('check failure domain', formatEndpoint(vmList.address), detail);
  }

  private async handlePeerRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = message.url ?? '/';
    const runPrefix = '/peer/v1/forward/run';
    if (url.startsWith(`${runPrefix}/`)) {
      await this.forwardServer.handle(message, response, url.slice(runPrefix.length));
      return;
    }
    await this.orders.handlePeerRequest(message, response);
  }

  private async maintainUntilStopped(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await sleep(MAINTENANCE_INTERVAL_MS, signal);
      if (!signal.aborted) this.tick();
    }
  }

  private tick(): void {
    const gapMs = this.readDelay.tick();
    const isPause = gapMs > PAUSE_THRESHOLD_MS;
    if (isPause)
      this.log.warn(LogComponent.daemon, 'process was paused', { gapMs: Math.round(gapMs) });
    this.session.observeLoopGap(gapMs, isPause);
    const lastReadMs = this.controlPlane.reader.lastReadStartedAtMs;
    if (lastReadMs !== undefined) this.session.lease.recordLogRead(lastReadMs);
    this.updateMembership();
    this.slots.adoptPending();
    this.session.setRoster(
      this.session.lease.currentRoster?.members ?? this.controlPlane.state.members,
    );
    this.slots.maintain();
  }

  private updateMembership(): void {
    const { self, lease } = this.session;
    const listed = findMember(this.controlPlane.state, self.vmId);
    const isMember = listed?.incarnation === self.incarnation;
    if (this.wasMember && !isMember && this.phase !== Phase.STOPPED) {
      this.startNewIncarnation();
      return;
    }
    this.wasMember = isMember;
    if (this.phase === Phase.JOINING && isMember && lease.isLeaseHeld()) this.phase = Phase.SERVING;
    if (this.phase === Phase.JOINING || this.phase === Phase.SERVING) {
      this.controlPlane.joinWhenMissing(self);
    }
    for (const eviction of this.session.decideEvictions()) this.controlPlane.evict(eviction);
  }

  /** An evicted incarnation must not act: other members may hold its slots and orders. */
  private startNewIncarnation(): void {
    this.log.warn(LogComponent.member, 'evicted; joining again with a new incarnation', {
      member: formatMember(this.session.self),
    });
    this.orders.coordinator.discardIncarnation();
    const former = this.session;
    former.stop(0).catch(() => undefined);
    this.phase = Phase.JOINING;
    this.wasMember = false;
    this.session = this.createSession();
    this.slots.discardRights();
    this.applyRoster(this.controlPlane.state, []);
  }

  private applyState(state: ControlState, epochs: readonly EpochState[]): void {
    this.log.info(LogComponent.config, 'state in force', {
      version: state.configurationVersion,
      drainRevision: state.drainRevision,
      epoch: state.epoch,
    });
    if (state.configurationVersion > this.configurationVersion) {
      this.configurationVersion = state.configurationVersion;
      this.configurationAdoptedAtMs = this.now();
    }
    this.applyAvailability();
    this.applyRoster(state, epochs);
    this.session.heartbeats.sendNow();
  }

  private applyRoster(state: ControlState, epochs: readonly EpochState[]): void {
    const { epoch, members, configuration, configurationVersion, drainRevision } = state;
    this.session.lease.recordCounters({ configurationVersion, drainRevision });
    this.slots.enqueueEpochs([...epochs, { epoch, members, configuration }]);
    for (const service of this.slots.allServices()) {
      service.forwardSelector.setPeers(
        members.filter(({ vmId }) => vmId !== this.session.self.vmId),
      );
    }
  }

  /** Applies the configuration, and takes out of service instances that must get no requests. */
  private applyAvailability(): void {
    const { state } = this.controlPlane;
    const outDomains = new Set(
      state.configuration.domains.filter((domain) => domain.state === 'out').map(({ id }) => id),
    );
    this.slots.applyConfiguration(state.configuration, (instance) => {
      if (instance.state === 'out' || outDomains.has(instance.failureDomainId)) return true;
      if (isTakenOut(state, `domain:${instance.failureDomainId}`)) return true;
      if (isTakenOut(state, `vm:${instance.vmId}`)) return true;
      return this.vmList?.isLeaving(instance.vmId) ?? false;
    });
  }

  private handlePeerState(json: string): void {
    const decoded = decodeState(json);
    if (decoded.err) {
      this.log.warn(LogComponent.config, 'malformed state from a peer', { error: decoded.val });
      return;
    }
    this.controlPlane.reader.adoptPeerState(decoded.val);
  }

  private handleColdInstance(instanceId: InstanceId, reason: string): void {
    this.log.info(LogComponent.slots, 'instance is cold', { instance: instanceId, reason });
    this.reports.recordCold(instanceId);
    this.slots.refresh();
    this.session.heartbeats.sendNow();
  }

  private handleVmGone(vmId: string): void {
    const member = findMember(this.controlPlane.state, vmId);
    // A VM recreated under the same name can send heartbeats before the list contains it.
    const isHeard = member && this.session.silentMs(member) < SILENCE_LIMIT_MS;
    if (member && !isHeard) this.session.recordGone(member, 'vm-gone');
  }

  private candidates() {
    const { state } = this.controlPlane;
    return this.session.candidates(
      (member) =>
        isTakenOut(state, `domain:${member.failureDomainId}`) ||
        isTakenOut(state, `vm:${member.vmId}`) ||
        (this.vmList?.isLeaving(member.vmId) ?? false),
    );
  }

  private issueTicket(avoid?: {
    readonly vmId: string;
    readonly incarnation: string;
  }): string | undefined {
    const { self } = this.session;
    if (!this.session.isServing(self)) return this.addresses.answer(this.candidates())?.ticket;
    const witness = this.addresses.chooseWitness(self, this.candidates(), avoid ? [avoid] : []);
    return formatTicket({ home: self, witness, issuedAtMs: this.options.clock.wallMs() });
  }

  private findPeer(vmId: string): ReachablePeer | undefined {
    const member = findMember(this.controlPlane.state, vmId);
    if (!member || !this.session.isServing(member)) return undefined;
    return { ...member, endpoint: member.peerEndpoint };
  }

  private findPeerEndpoint(vmId: string, incarnation: string): Endpoint | undefined {
    const current = findMember(this.controlPlane.state, vmId);
    if (current?.incarnation === incarnation) return current.peerEndpoint;
    const former = this.session.lease
      .unsettledMembers()
      .find((member) => member.vmId === vmId && member.incarnation === incarnation);
    return former?.peerEndpoint ?? current?.peerEndpoint;
  }

  private isRosterMember(formatted: string): boolean {
    const roster = this.session.lease.currentRoster;
    return roster?.members.some((member) => formatMember(member) === formatted) ?? false;
  }

  private async waitUntilIdle(): Promise<boolean> {
    const endsAtMs = this.now() + SHUTDOWN_DRAIN_TIMEOUT_MS;
    while (this.callers.inFlight + this.forwardServer.inFlight + this.orders.inFlight > 0) {
      if (this.now() > endsAtMs) return false;
      await sleep(MAINTENANCE_INTERVAL_MS / 4);
    }
    return true;
  }
}
