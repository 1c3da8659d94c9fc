import PQueue from 'p-queue';

import { RetryAfterEstimator } from '@bronzelift/admission';
import type { BackendDialect, BufferBudget } from '@bronzelift/backend-client';
import type { Clock, InstanceId, RandomSource } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { InstanceSelector, MeanSlowdown, Reachability, RetryBudget } from '@bronzelift/routing';
import type { EjectionChange, ReachabilityState } from '@bronzelift/routing';
import {
  ADVERTISED_RATE_PER_SHARER,
  COLD_RATE_PER_SHARER,
  PROBE_RATE_DIVISION,
  SharedRateLimit,
} from '@bronzelift/slots';
import type { SharedRate } from '@bronzelift/slots';

import {
  CONNECTION_SHARE,
  LONGEST_TIMEOUT_DECAY,
  INITIAL_WORK_SHARE,
  MAX_CONNECTIONS_PER_INSTANCE,
  MAX_CONCURRENT_SEARCHES,
  MIN_CONNECTIONS_PER_INSTANCE,
  MIN_EARLIER_WAIT_MS,
  RETRY_RATIO_SHARE,
  RETRY_SLACK_SHARE,
  SILENT_TRIAL_INTERVAL_MS,
  UTILIZATION_WEIGHT,
  WORK_WEIGHT,
} from './constants.js';
import { InstanceRuntime } from './instanceRuntime.js';
import type { InstanceRecord, Route, ServicePolicy, SystemBounds } from './types.js';

/** Dependencies of a ServiceRuntime and the limits that entry VMs share. */
export interface ServiceRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly dialect: BackendDialect;
  /** Limits the bytes of responses that the process buffers. */
  readonly bufferBudget: BufferBudget;
  readonly bounds: SystemBounds;
  /** Local address of connections to instances; undefined to let the system choose it. */
  readonly localAddress?: string | undefined;
  /** Number of entry VMs that share the budgets of the system. */
  readonly countSharers: () => number;
  /**
   * Number of entry VMs, at most `maxSharers`, that may send to an instance with a limited request
   * rate and divide this rate among them; 0 if this one may not.
   */
  readonly countInstanceSharers: (record: InstanceRecord, maxSharers: number) => number;
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
  /** Called for each response with the monotonic time at which its request was sent. */
  readonly onResponse: (instance: InstanceRuntime, sentAtMs: number) => void;
  /** Called when this entry VM begins or ceases to reach the instances of the service. */
  readonly onReachabilityChange: (service: ServiceRuntime) => void;
  /** Called when a response of an instance begins, changes or ends a limit on its requests. */
  readonly onLimitChange: (instance: InstanceRuntime) => void;
}

/**
 * State of one service in this entry VM: instances, budgets, and moving averages of load and work
 * time.
 */
export class ServiceRuntime {
  readonly selector: InstanceSelector;

  readonly meanSlowdown = MeanSlowdown.create();

  readonly refusals: RetryAfterEstimator;

  /** Queue of searches for an instance; searches of more urgent requests run first. */
  readonly searches = new PQueue({ concurrency: MAX_CONCURRENT_SEARCHES });

  private readonly instancesById = new Map<InstanceId, InstanceRuntime>();

  private readonly reachability: Reachability;

  private knownReachability: ReachabilityState = 'reached';

  private readonly retryBudget: RetryBudget;

  private readonly probeLimit: SharedRateLimit;

  /** Moving average of each route's work time without slowdown. */
  private readonly workMsByRoute = new Map<string, number>();

  /** Longest timeout of each route's callers, which is the timeout of a first attempt. */
  private readonly longestTimeoutMsByRoute = new Map<string, number>();

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
    this.refusals = RetryAfterEstimator.create(clock, random);
    this.reachability = Reachability.create(clock, () => this.instancesById.size);
    this.probeLimit = SharedRateLimit.create(clock, PROBE_RATE_DIVISION);
    this.retryBudget = RetryBudget.create(
      options.bounds.retryRatio * RETRY_RATIO_SHARE,
      this.calculateRetryShare(),
    );
  }

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

  /**
   * Priority of the most urgent requests that the service receives; a lower number is more urgent.
   */
  get topPriority(): number {
    return this.currentTopPriority;
  }

  /** Applies a changed policy and the routes that lead to the service. */
  setPolicy(policy: ServicePolicy | undefined, routes: readonly Route[]): void {
    this.currentPolicy = policy;
    this.currentTopPriority = Math.min(...routes.map(({ priority }) => priority));
    // Instances are often registered before the policy that limits their connections arrives.
    this.sweep();
  }

  /** Moving average of the share of slots in use, from the instances' load reports; 0 to 1. */
  get utilization(): number {
    return this.currentUtilization;
  }

  /**
   * Whether instances report their load; without reports a probe shows only that an instance
   * responds.
   */
  get reportsLoad(): boolean {
    return this.hasLoadReports;
  }

  get instances(): Iterable<InstanceRuntime> {
    return this.instancesById.values();
  }

  /** Whether this entry VM reaches the instances. */
  get reachabilityState(): ReachabilityState {
    return this.reachability.state;
  }

  /** Time since the last response of any instance; Infinity before the first one. */
  get responseAgeMs(): number {
    return this.reachability.responseAgeMs;
  }

  /** Number of registered instances. */
  get size(): number {
    return this.instancesById.size;
  }

  /** Detects a change of reachability, also one by the time that has passed. */
  updateReachability(): void {
    const { state } = this.reachability;
    if (state === this.knownReachability) return;
    this.options.log.warn(LogComponent.route, 'reachability of instances changed', {
      service: this.name,
      from: this.knownReachability,
      to: state,
      instances: this.instancesById.size,
    });
    this.knownReachability = state;
    this.options.onReachabilityChange(this);
  }

  /** Finds a registered instance. */
  find(id: InstanceId): InstanceRuntime | undefined {
    return this.instancesById.get(id);
  }

  /**
   * Applies a new or changed registration; a new process under the same id starts with fresh state.
   */
  setInstance(record: InstanceRecord): void {
    const former = this.instancesById.get(record.id);
    if (former?.isSameProcess(record)) {
      former.update(record);
      return;
    }
    former?.close();
    const { clock, dialect, bufferBudget, onViolation, onResponse, onLimitChange } = this.options;
    const runtime = InstanceRuntime.create(record, {
      clock,
      dialect,
      bufferBudget,
      maxConnections: this.calculateConnectionShare(),
      localAddress: this.options.localAddress,
      onViolation,
      onResponse,
      onLimitChange,
      onEvidence: ({ id }, evidence) => {
        if (!this.instancesById.has(id)) return;
        this.reachability.record(id, evidence);
        this.updateReachability();
      },
    });
    this.instancesById.set(record.id, runtime);
    this.updateSelector();
    if (former !== undefined) this.selector.resetInstance(record.id);
  }

  /** Removes an instance; its requests in flight still finish. */
  removeInstance(id: InstanceId): void {
    this.instancesById.get(id)?.close();
    this.instancesById.delete(id);
    this.reachability.forget(id);
    this.updateSelector();
  }

  /** Closes idle connections, and applies the current connection limit to all instances. */
  sweep(): void {
    const maxConnections = this.calculateConnectionShare();
    for (const instance of this.instancesById.values()) instance.sweep(maxConnections);
  }

  /** Retry budget of this entry VM: its share of the retries allowed to the whole system. */
  get retries(): RetryBudget {
    this.retryBudget.setBurst(this.calculateRetryShare());
    return this.retryBudget;
  }

  /**
   * Time until the limits of an instance allow `arrivals` requests or probes of this entry VM; 0 if
   * they allow them now, Infinity if this entry VM has no share.
   */
  calculateWaitMs(instance: InstanceRuntime, arrivals = 1): number {
    const coldWaitMs = instance.calculateColdWaitMs(this.calculateColdRate(instance));
    const advertisedRate = this.calculateAdvertisedRate(instance);
    const limitWaitMs = instance.calculateLimitWaitMs(advertisedRate, arrivals);
    return Math.max(coldWaitMs, limitWaitMs, instance.pauseLeftMs);
  }

  /** Begins a request to an instance; the returned function must be called when it has ended. */
  beginRequest(instance: InstanceRuntime): () => void {
    return instance.beginRequest(
      this.calculateColdRate(instance),
      this.calculateAdvertisedRate(instance),
    );
  }

  /** Counts a probe against the limits that an instance states; false if they allow none now. */
  tryTakeLimitToken(instance: InstanceRuntime): boolean {
    if (instance.pauseLeftMs > 0) return false;
    const rate = this.calculateAdvertisedRate(instance);
    if (instance.calculateLimitWaitMs(rate, 1) > 0) return false;
    instance.spendLimitToken(rate);
    return true;
  }

  /** Whether a request may be sent although no instance responds; true once per interval. */
  tryTakeSilentTrial(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.silentTrialAtMs < SILENT_TRIAL_INTERVAL_MS) return false;
    this.silentTrialAtMs = nowMs;
    return true;
  }

  /** Takes one probe from this entry VM's share of the probe budget; false if it is used up. */
  tryTakeProbe(): boolean {
    const { bounds, countSharers } = this.options;
    const ratePerS = bounds.probesPerS * this.instancesById.size;
    const rate = { ratePerS, sharers: countSharers() };
    if (!this.probeLimit.hasToken(rate)) return false;
    this.probeLimit.spendToken(rate);
    return true;
  }

  /** Estimates the time that a request of a route takes without slowdown. */
  estimateWorkMs(route: Route): number {
    return this.workMsByRoute.get(route.name) ?? route.latencyObjectiveMs * INITIAL_WORK_SHARE;
  }

  /**
   * Estimates the time that a caller spent on earlier attempts, from its shorter timeout; 0 for a
   * first attempt.
   */
  estimateEarlierWaitMs(route: Route, callerWaitMs: number): number {
    if (!Number.isFinite(callerWaitMs)) return 0;
    const formerLongestMs = this.longestTimeoutMsByRoute.get(route.name) ?? callerWaitMs;
    // The longest timeout decays, so that one caller with a long timeout does not make all others
    // look as if they had been refused.
    const longestMs = Math.max(
      formerLongestMs + LONGEST_TIMEOUT_DECAY * (callerWaitMs - formerLongestMs),
      callerWaitMs,
    );
    this.longestTimeoutMsByRoute.set(route.name, longestMs);
    const waitedMs = longestMs - callerWaitMs;
    return waitedMs < MIN_EARLIER_WAIT_MS ? 0 : Math.min(waitedMs, route.latencyObjectiveMs);
  }

  /**
   * Updates the work time of a route with the duration of a request, corrected for the slowdown.
   */
  recordWork(route: Route, tookMs: number, slowdown: number): void {
    const formerMs = this.estimateWorkMs(route);
    const normalizedMs = Math.min(tookMs / Math.max(slowdown, 1), route.latencyObjectiveMs);
    this.workMsByRoute.set(route.name, formerMs + WORK_WEIGHT * (normalizedMs - formerMs));
  }

  /** Updates utilization and usual slowdown with the latest load report of an instance. */
  recordLoad(instance: InstanceRuntime): void {
    const { report } = instance;
    if (report === undefined) return;
    this.hasLoadReports = true;
    this.meanSlowdown.record(report.slowdown);
    const share = Math.min((report.running + report.waiting) / Math.max(report.slots, 1), 1);
    this.currentUtilization += UTILIZATION_WEIGHT * (share - this.currentUtilization);
  }

  /** Closes the connections of all instances; requests in flight still finish. */
  close(): void {
    for (const instance of this.instancesById.values()) instance.close();
  }

  /** Request rate that a cold instance accepts, and the number of entry VMs that share it. */
  private calculateColdRate(instance: InstanceRuntime): SharedRate {
    const ratePerS = this.currentPolicy?.coldRequestsPerS ?? 0;
    if (!instance.isCold) return { ratePerS, sharers: 0 };
    const maxSharers = Math.floor(ratePerS / COLD_RATE_PER_SHARER);
    const sharers = this.options.countInstanceSharers(instance.record, maxSharers);
    return { ratePerS, sharers };
  }

  /** Request rate that an instance advertises, and the number of entry VMs that share it. */
  private calculateAdvertisedRate(instance: InstanceRuntime): SharedRate {
    const ratePerS = instance.maxRequestsPerS;
    if (ratePerS === undefined) return { ratePerS: 0, sharers: 0 };
    const maxSharers = 1 + Math.floor(ratePerS / ADVERTISED_RATE_PER_SHARER);
    return { ratePerS, sharers: this.options.countInstanceSharers(instance.record, maxSharers) };
  }

  private updateSelector(): void {
    this.selector.setInstances([...this.instancesById.keys()]);
  }

  private calculateConnectionShare(): number {
    const total = (this.currentPolicy?.maxConnections ?? 0) * CONNECTION_SHARE;
    const share = Math.floor(total / this.options.countSharers());
    return Math.min(Math.max(share, MIN_CONNECTIONS_PER_INSTANCE), MAX_CONNECTIONS_PER_INSTANCE);
  }

  private calculateRetryShare(): number {
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
