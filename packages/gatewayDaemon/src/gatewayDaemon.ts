import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { BufferBudget, MAX_BUFFERED_RESPONSE_BYTES } from '@bronzelift/backend-client';
import type { BackendDialect } from '@bronzelift/backend-client';
import { StepError, createIncarnation, describeError, formatEndpoint } from '@bronzelift/common';
import type { Clock, Endpoint, RandomSource, ServiceName } from '@bronzelift/common';
import { DecisionLog, LogComponent, Metrics } from '@bronzelift/observability';

import {
  LOG_CLOSE_TIMEOUT_MS,
  LOG_FLUSH_INTERVAL_MS,
  STOP_CHECK_INTERVAL_MS,
  STOP_ACCEPT_MS,
  STOP_RESERVE_MS,
  STOP_RESPONSE_MARGIN_MS,
  SWEEP_INTERVAL_MS,
} from './constants.js';
import { ControlPlane } from './controlPlane.js';
import { ControlState } from './controlState.js';
import type { InstanceChangeSource } from './controlState.js';
import { CrashGuard } from './crashGuard.js';
import { createDirectoryServer, createReadinessServer } from './directoryServer.js';
import { CallerServer } from './callerServer.js';
import { ForwardReceiver } from './forwardReceiver.js';
import { InstanceFinder } from './instanceFinder.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import { LeftOutRecords } from './leftOutRecords.js';
import { LimitExchange } from './limitExchange.js';
import { MemberTable } from './memberTable.js';
import type { MemberStatus, OwnMember } from './memberTable.js';
import { Prober } from './prober.js';
import { ReachMonitor } from './reachMonitor.js';
import { RequestForwarder } from './requestForwarder.js';
import { RequestHandler } from './requestHandler.js';
import { ServiceRuntime } from './serviceRuntime.js';
import { StateFreshness } from './stateFreshness.js';
import { StateGauges } from './stateGauges.js';
import { formatPosition } from './storePosition.js';
import type {
  ControlStore,
  GatewayConfiguration,
  GatewayProtocol,
  GatewaySettings,
  InstanceRecord,
  Route,
} from './types.js';

/** Settings and platform adapters of a GatewayDaemon. */
export interface GatewayDaemonOptions {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ControlStore;
  readonly protocol: GatewayProtocol;
  readonly dialect: BackendDialect;
  /** Port on which metrics are served; undefined to serve none. */
  readonly metricsPort: number | undefined;
}

const listen = async (server: Server, endpoint: Endpoint, step: string): Promise<void> => {
  server.listen(endpoint.port, endpoint.host);
  try {
    await once(server, 'listening');
  } catch (error) {
    throw StepError.create(step, formatEndpoint(endpoint), describeError(error), error);
  }
};

/**
 * The daemon of an entry VM on a platform with a shared store. The platform's backend servers
 * verify that a request names them as its target, refuse what exceeds their capacity, and report
 * their load.
 */
export class GatewayDaemon {
  private readonly log: DecisionLog;

  private readonly metrics = Metrics.create();

  private readonly incarnation: string;

  private readonly bufferBudget = BufferBudget.create(MAX_BUFFERED_RESPONSE_BYTES);

  private readonly services = new Map<ServiceName, ServiceRuntime>();

  /** Service of each instance, to detect an instance that has moved to another service. */
  private readonly serviceOfInstance = new Map<string, ServiceName>();

  private readonly leftOut: LeftOutRecords;

  private readonly state: ControlState;

  private readonly members: MemberTable;

  private readonly limits: LimitExchange;

  private readonly crashes: CrashGuard;

  private readonly freshness: StateFreshness;

  private readonly control: ControlPlane;

  private readonly gauges: StateGauges;

  private readonly callerServer: CallerServer;

  private readonly prober: Prober;

  private readonly reach: ReachMonitor;

  private readonly forwarder: RequestForwarder;

  private readonly forwards: ForwardReceiver;

  private readonly servers: Server[] = [];

  private sweepTimer: NodeJS.Timeout | undefined;

  private isStopping = false;

  /** Monotonic time until which requests can be handled. */
  private servesUntilMs = Infinity;

  private constructor(private readonly options: GatewayDaemonOptions) {
    const { clock, random, settings, protocol, store } = options;
    this.log = DecisionLog.create({ clock, flushIntervalMs: LOG_FLUSH_INTERVAL_MS });
    this.incarnation = createIncarnation(clock, random);
    this.freshness = StateFreshness.create({ clock, log: this.log });
    this.leftOut = LeftOutRecords.create({ clock, log: this.log, metrics: this.metrics });
    this.state = ControlState.create(clock, {
      onConfiguration: (configuration) => this.applyConfiguration(configuration),
      onDomains: (domainsOut) => {
        this.log.info(LogComponent.config, 'failure domains out of service', {
          domains: domainsOut.join(','),
          revision: formatPosition(this.state.revision),
        });
      },
      onInstances: (changed, removed, source) => this.applyInstances(changed, removed, source),
      onRetained: (entries) => {
        this.log.info(LogComponent.backend, 'removed instances kept for renewal', {
          instances: entries.length,
          first: entries[0]!.id,
          forMs: Math.round(entries[0]!.retainForMs),
        });
      },
      onUnreadable: (key, problem) => this.leftOut.record(key, problem),
    });
    this.members = MemberTable.create({
      clock,
      random,
      regionOfDomain: settings.regionOfDomain,
      own: () => this.ownMember(),
    });
    this.limits = LimitExchange.create({
      log: this.log,
      findInstance: (id) => this.findInstance(id),
      listInstances: () => [...this.services.values()].flatMap(({ instances }) => [...instances]),
    });
    this.crashes = CrashGuard.create({
      clock,
      log: this.log,
      metrics: this.metrics,
      send: (message, hosts) => this.control.sendToMembers(message, hosts),
    });
    this.control = ControlPlane.create({
      clock,
      random,
      log: this.log,
      metrics: this.metrics,
      settings,
      store,
      state: this.state,
      members: this.members,
      limits: this.limits,
      crashes: this.crashes,
      freshness: this.freshness,
      onForward: (message, response) => this.forwards.answer(message, response),
      onMemberHeard: () => {
        if (this.reach.unreachedServices.length > 0) this.reach.update();
      },
      ownStatus: () => this.ownStatus(),
    });
    this.prober = Prober.create({ clock, log: this.log, metrics: this.metrics });
    this.reach = ReachMonitor.create({
      clock,
      random,
      log: this.log,
      members: this.members,
      prober: this.prober,
      services: this.services,
      onChange: () => this.control.sendHeartbeat(),
    });
    this.forwarder = RequestForwarder.create({
      clock,
      log: this.log,
      metrics: this.metrics,
      members: this.members,
      settings,
      configurationVersion: () => this.state.configurationVersion,
    });
    const handler = this.createHandler();
    this.forwards = ForwardReceiver.create({
      clock,
      metrics: this.metrics,
      handler,
      isReady: () => this.isReady,
      configurationVersion: () => this.state.configurationVersion,
      findService: (name) => this.services.get(name),
    });
    this.gauges = StateGauges.create({
      clock,
      log: this.log,
      metrics: this.metrics,
      state: this.state,
      members: this.members,
      control: this.control,
      freshness: this.freshness,
      services: this.services,
      countInFlight: () => this.inFlight,
    });
    this.callerServer = CallerServer.create({
      clock,
      log: this.log,
      protocol,
      handler,
      isStopping: () => this.isStopping,
    });
  }

  /** Creates a daemon without opening ports; call `start`. */
  static create(options: GatewayDaemonOptions): GatewayDaemon {
    return new GatewayDaemon(options);
  }

  /** Opens all ports and starts all tasks; rejects with a StepError if a port cannot be opened. */
  async start(): Promise<void> {
    const { settings, metricsPort } = this.options;
    this.log.start();
    this.log.info(LogComponent.daemon, 'started', {
      vm: settings.vmId,
      incarnation: this.incarnation,
      domain: settings.failureDomainId,
    });
    const directory = {
      protocol: this.options.protocol,
      members: this.members,
      isReady: () => this.isReady,
      maxTtlMs: settings.bounds.maxAddressTtlMs,
    };
    const readinessServer = createReadinessServer(directory);
    const directoryServer = createDirectoryServer(directory);
    this.servers.push(this.callerServer.server, readinessServer, directoryServer);
    await Promise.all([
      listen(this.callerServer.server, settings.callerEndpoint, 'open port for callers'),
      listen(readinessServer, settings.readinessEndpoint, 'open port for readiness'),
      listen(directoryServer, settings.directoryEndpoint, 'open port for addresses'),
      this.control.start(),
    ]);
    if (metricsPort !== undefined) await this.serveMetrics(metricsPort);
    this.reach.start();
    let dueAtMs = this.options.clock.monotonicMs() + SWEEP_INTERVAL_MS;
    this.sweepTimer = setInterval(() => {
      const nowMs = this.options.clock.monotonicMs();
      this.gauges.recordTimerDelay(nowMs - dueAtMs);
      dueAtMs = nowMs + SWEEP_INTERVAL_MS;
      for (const service of this.services.values()) service.sweep();
    }, SWEEP_INTERVAL_MS);
  }

  /** Number of requests without a complete response, of callers and of other members. */
  get inFlight(): number {
    return this.callerServer.inFlight + this.forwards.inFlight;
  }

  private get hasUnfinishedRequests(): boolean {
    return this.inFlight + this.callerServer.unsettledConnections > 0;
  }

  /**
   * Logs that a reload was requested; the settings stay, because addresses and ids of a running
   * process cannot change.
   */
  reload(): void {
    this.log.info(LogComponent.daemon, 'reload requested', { effect: 'settings kept' });
  }

  /**
   * Planned shutdown: this VM is first removed from the address lists for callers; requests in
   * flight, and those that arrive meanwhile, still finish.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { clock, settings } = this.options;
    const startedAtMs = clock.monotonicMs();
    this.log.info(LogComponent.daemon, 'stopping', { inFlight: this.inFlight });
    this.control.sendHeartbeat();
    const limitMs = settings.bounds.stopGraceMs - STOP_RESERVE_MS;
    this.servesUntilMs = startedAtMs + limitMs - STOP_RESPONSE_MARGIN_MS;
    await this.wait(Math.min(STOP_ACCEPT_MS, limitMs));
    await this.callerServer.stopAccepting();
    while (this.hasUnfinishedRequests && clock.monotonicMs() - startedAtMs < limitMs) {
      await this.wait(STOP_CHECK_INTERVAL_MS);
      await this.callerServer.readArrived();
    }
    // Nothing that arrives from here on is read.
    this.callerServer.server.closeAllConnections();
    this.releaseResources();
    this.log.info(LogComponent.daemon, 'stopped', {
      inFlight: this.inFlight,
      tookMs: clock.monotonicMs() - startedAtMs,
    });
    await this.log.close(LOG_CLOSE_TIMEOUT_MS);
  }

  /** Ends all tasks at once, for example after a failed start; requests in flight are cut off. */
  abort(): void {
    this.isStopping = true;
    this.releaseResources();
    for (const server of this.servers) server.closeAllConnections();
  }

  private releaseResources(): void {
    this.control.stop();
    clearInterval(this.sweepTimer);
    this.reach.stop();
    for (const service of this.services.values()) service.close();
    for (const server of this.servers) server.close();
  }

  private get isReady(): boolean {
    return this.state.isComplete && !this.isStopping && !this.reach.isIsolated;
  }

  private ownMember(): OwnMember {
    const { settings } = this.options;
    const phase = this.state.isComplete ? 'ready' : 'starting';
    return {
      vmId: settings.vmId,
      failureDomainId: settings.failureDomainId,
      callerEndpoint: settings.callerEndpoint,
      phase: this.isStopping ? 'leaving' : phase,
      isCutOff: this.reach.isCutOff,
    };
  }

  private ownStatus(): MemberStatus {
    return {
      ...this.ownMember(),
      incarnation: this.incarnation,
      isStoreFailing: this.members.isOwnStoreFailing,
      isReader: this.control.isReader,
      storeReadAgeMs: this.control.storeReadAgeMs,
      operatorRevision: this.state.revision,
      configurationVersion: this.state.configurationVersion,
      instancePosition: this.state.nextInstancePosition ?? -1,
      instanceDigest: this.state.digest,
      quarantineDigest: this.crashes.digest,
      unreachedServices: this.reach.unreachedServices,
    };
  }

  private createHandler(): RequestHandler {
    const { clock, random, settings } = this.options;
    const { log, metrics, state, prober } = this;
    const finder = InstanceFinder.create({
      clock,
      random,
      ownDomainId: settings.failureDomainId,
      prober,
      isDomainOut: (id) => state.isDomainOut(id),
      isRegionAllowed: (id, { allowedRegions }) =>
        allowedRegions.length === 0 ||
        allowedRegions.includes(settings.regionOfDomain.get(id) ?? ''),
    });
    return RequestHandler.create({
      clock,
      random,
      log,
      metrics,
      state,
      finder,
      prober,
      crashes: this.crashes,
      forwarder: this.forwarder,
      servesUntilMs: () => this.servesUntilMs,
      findService: (name) => this.services.get(name),
    });
  }

  private applyConfiguration(configuration: GatewayConfiguration): void {
    const { version, routes, services, limits } = configuration;
    const routesOfService = new Map<ServiceName, Route[]>();
    for (const route of routes) {
      for (const { service } of route.parts) {
        const serviceRoutes = routesOfService.get(service) ?? [];
        serviceRoutes.push(route);
        routesOfService.set(service, serviceRoutes);
      }
    }
    const policies = new Map(services.map((policy) => [policy.name, policy]));
    for (const name of new Set([...policies.keys(), ...routesOfService.keys()])) {
      this.findOrCreateService(name).setPolicy(policies.get(name), routesOfService.get(name) ?? []);
    }
    this.callerServer.setLimits(limits);
    this.gauges.recordConfigurationChange();
    this.log.info(LogComponent.config, 'configuration in force', {
      version,
      revision: formatPosition(this.state.revision),
      routes: routes.length,
      ...this.freshness.describe(),
    });
    this.control.sendHeartbeat();
  }

  private applyInstances(
    changed: readonly InstanceRecord[],
    removed: readonly string[],
    source: InstanceChangeSource,
  ): void {
    for (const id of removed) {
      const service = this.serviceOfInstance.get(id);
      if (service !== undefined) this.services.get(service)?.removeInstance(id);
      this.serviceOfInstance.delete(id);
      this.log.info(LogComponent.backend, 'instance gone', {
        instance: id,
        source,
        ...this.freshness.describe(),
      });
    }
    for (const record of changed) {
      const formerService = this.serviceOfInstance.get(record.id);
      if (formerService !== undefined && formerService !== record.service) {
        this.services.get(formerService)?.removeInstance(record.id);
      }
      this.serviceOfInstance.set(record.id, record.service);
      this.findOrCreateService(record.service).setInstance(record);
      this.log.info(LogComponent.backend, 'instance registered', {
        instance: record.id,
        service: record.service,
        address: formatEndpoint(record.endpoint),
        domain: record.failureDomainId,
        draining: record.isDraining,
        coldForMs: Math.round(record.coldForMs),
        source,
        ...(record.isDraining ? this.freshness.describe() : {}),
      });
    }
  }

  private findInstance(id: string): InstanceRuntime | undefined {
    const service = this.serviceOfInstance.get(id);
    return service === undefined ? undefined : this.services.get(service)?.find(id);
  }

  private findOrCreateService(name: ServiceName): ServiceRuntime {
    const existing = this.services.get(name);
    if (existing !== undefined) return existing;
    const { clock, random, dialect, settings } = this.options;
    const created = ServiceRuntime.create(name, undefined, {
      clock,
      random,
      log: this.log,
      metrics: this.metrics,
      dialect,
      bufferBudget: this.bufferBudget,
      bounds: settings.bounds,
      localAddress: settings.backendLocalAddress,
      countSharers: () => this.members.countSharers(),
      countInstanceSharers: ({ id, failureDomainId }, maxSharers) =>
        this.members.countInstanceSharers(id, failureDomainId, maxSharers),
      onViolation: (invariant, detail) => {
        this.log.error(LogComponent.invariant, invariant, { detail });
      },
      onReachabilityChange: () => this.reach.update(),
      onResponse: (instance, sentAtMs) => this.crashes.recordResponse(instance, sentAtMs),
      onLimitChange: (instance) => {
        this.control.sendLimits([this.limits.recordChange(instance)]);
      },
    });
    this.services.set(name, created);
    return created;
  }

  private async serveMetrics(port: number): Promise<void> {
    const server = createServer((_message, response) => {
      this.gauges.update();
      response.setHeader('content-type', 'text/plain; version=0.0.4');
      response.end(this.metrics.formatPrometheus());
    });
    try {
      await listen(server, { host: this.options.settings.host, port }, 'open port for metrics');
      this.servers.push(server);
    } catch (error) {
      this.log.warn(LogComponent.daemon, 'metrics not served', { error: describeError(error) });
    }
  }

  // eslint-disable-next-line class-methods-use-this -- placed next to its callers
  private wait(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
  }
}
