import PQueue from 'p-queue';

import { RefusalPacer } from '@bronzelift/admission';
import type { BackendDialect } from '@bronzelift/backend-client';
import type { Clock, InstanceId, RandomSource } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { InstanceSelector, RetryBudget, UsualSlowdown } from '@bronzelift/routing';
import type { EjectionChange } from '@bronzelift/routing';
import { COLD_RATE_PER_SHARER, PROBE_RATE_DIVISION, SharedRateLimit } from '@bronzelift/slots';
import type { SharedRate } from '@bronzelift/slots';

import {
  CONNECTION_SHARE,
  FULL_WAIT_FADE,
  INITIAL_WORK_SHARE,
  MAX_CONNECTIONS_PER_INSTANCE,
  MAX_SEARCHES,
  MIN_CONNECTIONS_PER_INSTANCE,
  MIN_WAITED_BEFORE_MS,
  RETRY_RATIO_SHARE,
  RETRY_SLACK_SHARE,
  SILENT_TRIAL_MS,
  UTILIZATION_WEIGHT,
  WORK_WEIGHT,
} from './constants.js';
import { InstanceRuntime } from './instanceRuntime.js';
import type { InstanceRecord, Route, ServicePolicy, SystemBounds } from './types.js';

/** Parameters of what an entry VM keeps of one service. */
export interface ServiceRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly dialect: BackendDialect;
  readonly bounds: SystemBounds;
  /** Entry VMs that share budgets. */
  readonly countSharers: () => number;
  /** Entry VMs that share a cold instance; 0 when this one is not among them. */
  readonly countColdSharers: (record: InstanceRecord, maxSharers: number) => number;
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
}

/** What this entry VM keeps of one service. */
export class ServiceRuntime {
  readonly selector: InstanceSelector;

  readonly usualSlowdown = UsualSlowdown.create();

  readonly refusals: RefusalPacer;

  /** Searches for an instance; the more urgent requests search first. */
  readonly searches = new PQueue({ concurrency: MAX_SEARCHES });

  private readonly instancesById = new Map<InstanceId, InstanceRuntime>();

  private readonly retryBudget: RetryBudget;

  private readonly probeLimit: SharedRateLimit;

  /** Time that the requests of a route take at usual pace. */
  private readonly workMsOfRoute = new Map<string, number>();

  /** Longest wait of callers by route: the wait of those that ask for the first time. */
  private readonly fullWaitMsOfRoute = new Map<string, number>();

  private currentUtilization = 0;

  private silentTrialAtMs = -Infinity;

  private hasLoadReports = false;

  private currentTopPriority = 0;

  private constructor(
    readonly name: string,
    private currentPolicy: ServicePolicy | undefined,
    private readonly options: ServiceRuntimeOptions,
  ) {
    const { clock, random } = options;
    this.selector = InstanceSelector.create({
      clock,
      random,
      ejectsSlow: false,
      onEjectionChange: (change) => this.logEjection(change),
    });
    this.refusals = RefusalPacer.create(clock, random);
    this.probeLimit = SharedRateLimit.create(clock, PROBE_RATE_DIVISION);
    this.retryBudget = RetryBudget.create(
      options.bounds.retryRatio * RETRY_RATIO_SHARE,
      this.shareOfRetries(),
    );
  }

  /** Creates the runtime of a service without instances. */
  static create(
    name: string,
    policy: ServicePolicy | undefined,
    options: ServiceRuntimeOptions,
  ): ServiceRuntime {
    return new ServiceRuntime(name, policy, options);
  }

  get policy(): ServicePolicy | undefined {
    return this.currentPolicy;
  }

  /** Rank of the most urgent requests that the service receives. */
  get topPriority(): number {
    return this.currentTopPriority;
  }

  /** Takes over a changed policy and the routes that lead to the service. */
  setPolicy(policy: ServicePolicy | undefined, routes: readonly Route[]): void {
    this.currentPolicy = policy;
    this.currentTopPriority = Math.min(...routes.map(({ priority }) => priority));
    // Instances are often known before the policy that limits their connections.
    this.sweep();
  }

  /** Shares of slots in use as instances stated them, smoothed; 0 to 1. */
  get utilization(): number {
    return this.currentUtilization;
  }

  /** Whether instances state their load; without it a probe says little. */
  get statesLoad(): boolean {
    return this.hasLoadReports;
  }

  get instances(): Iterable<InstanceRuntime> {
    return this.instancesById.values();
  }

  /** Finds an instance that is still registered. */
  find(id: InstanceId): InstanceRuntime | undefined {
    return this.instancesById.get(id);
  }

  /** Takes over a new or changed registration. */
  setInstance(record: InstanceRecord): void {
    const known = this.instancesById.get(record.id);
    if (known?.isSameProcess(record)) {
      known.update(record);
      return;
    }
    known?.close();
    const { clock, dialect, onViolation } = this.options;
    const runtime = InstanceRuntime.create(record, {
      clock,
      dialect,
      maxConnections: this.connectionShare(),
      onViolation,
    });
    this.instancesById.set(record.id, runtime);
    this.updateSelector();
    if (known !== undefined) this.selector.resetInstance(record.id);
  }

  /** Forgets an instance; its requests in flight are finished. */
  removeInstance(id: InstanceId): void {
    this.instancesById.get(id)?.close();
    this.instancesById.delete(id);
    this.updateSelector();
  }

  /** Closes idle connections. */
  sweep(): void {
    const maxConnections = this.connectionShare();
    for (const instance of this.instancesById.values()) instance.sweep(maxConnections);
  }

  /** Retry budget of this entry VM: its share of what the whole system may repeat. */
  get retries(): RetryBudget {
    this.retryBudget.setBurst(this.shareOfRetries());
    return this.retryBudget;
  }

  /** Share of this entry VM in what a cold instance bears. */
  coldLimit(instance: InstanceRuntime): SharedRate {
    const ratePerS = this.currentPolicy?.coldRequestsPerS ?? 0;
    if (!instance.isCold) return { ratePerS, sharers: 0 };
    const maxSharers = Math.floor(ratePerS / COLD_RATE_PER_SHARER);
    const sharers = this.options.countColdSharers(instance.record, maxSharers);
    return { ratePerS, sharers };
  }

  /** Whether a request may be sent although no instance answers; once in SILENT_TRIAL_MS. */
  takeSilentTrial(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.silentTrialAtMs < SILENT_TRIAL_MS) return false;
    this.silentTrialAtMs = nowMs;
    return true;
  }

  /** Takes a probe from this entry VM's share of what the instances bear; false when it is spent. */
  tryProbe(): boolean {
    const { bounds, countSharers } = this.options;
    const ratePerS = bounds.probesPerS * this.instancesById.size;
    const rate = { ratePerS, sharers: countSharers() };
    if (!this.probeLimit.isOpen(rate)) return false;
    this.probeLimit.spend(rate);
    return true;
  }

  /** Time that a request of a route takes at usual pace. */
  workMs(route: Route): number {
    return this.workMsOfRoute.get(route.name) ?? route.latencyObjectiveMs * INITIAL_WORK_SHARE;
  }

  /** Time that a caller spent on earlier tries; 0 for a first try. */
  waitedBeforeMs(route: Route, callerWaitMs: number): number {
    if (!Number.isFinite(callerWaitMs)) return 0;
    const knownMs = this.fullWaitMsOfRoute.get(route.name) ?? callerWaitMs;
    // The longest wait fades, so that one patient caller does not make all others seem refused.
    const fullMs = Math.max(knownMs + FULL_WAIT_FADE * (callerWaitMs - knownMs), callerWaitMs);
    this.fullWaitMsOfRoute.set(route.name, fullMs);
    const waitedMs = fullMs - callerWaitMs;
    return waitedMs < MIN_WAITED_BEFORE_MS ? 0 : Math.min(waitedMs, route.latencyObjectiveMs);
  }

  /** Counts the time that a request took, reduced to usual pace. */
  observeWork(route: Route, tookMs: number, slowdown: number): void {
    const known = this.workMs(route);
    const normalizedMs = Math.min(tookMs / Math.max(slowdown, 1), route.latencyObjectiveMs);
    this.workMsOfRoute.set(route.name, known + WORK_WEIGHT * (normalizedMs - known));
  }

  /** Counts a stated load. */
  observeLoad(instance: InstanceRuntime): void {
    const { report } = instance;
    if (report === undefined) return;
    this.hasLoadReports = true;
    this.usualSlowdown.observe(report.slowdown);
    const share = Math.min((report.running + report.waiting) / Math.max(report.slots, 1), 1);
    this.currentUtilization += UTILIZATION_WEIGHT * (share - this.currentUtilization);
  }

  /** Closes idle connections; requests in flight are finished. */
  close(): void {
    for (const instance of this.instancesById.values()) instance.close();
  }

  private updateSelector(): void {
    this.selector.setInstances([...this.instancesById.keys()]);
  }

  private connectionShare(): number {
    const total = (this.currentPolicy?.maxConnections ?? 0) * CONNECTION_SHARE;
    const share = Math.floor(total / this.options.countSharers());
    return Math.min(Math.max(share, MIN_CONNECTIONS_PER_INSTANCE), MAX_CONNECTIONS_PER_INSTANCE);
  }

  private shareOfRetries(): number {
    const { retrySlack } = this.options.bounds;
    const share = (retrySlack * RETRY_SLACK_SHARE) / this.options.countSharers();
    return Math.max(Math.floor(share), 1);
  }

  private logEjection({ instanceId, change, reason, intervalMs }: EjectionChange): void {
    const { log, metrics } = this.options;
    log.info(LogComponent.route, `instance ${change}`, {
      service: this.name,
      instance: instanceId,
      reason,
      intervalMs: Math.round(intervalMs),
    });
    metrics
      .counter('bronzelift_ejections_total', { service: this.name, change, reason })
      .increment();
  }
}
