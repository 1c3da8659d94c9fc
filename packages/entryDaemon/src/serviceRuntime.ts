import { AdmissionQueue } from '@bronzelift/admission';
import type { BackendAttempt } from '@bronzelift/backend-client';
import type { Clock, FailureDomainId, RandomSource } from '@bronzelift/common';
import type { ServiceConfiguration } from '@bronzelift/configuration';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import { ForwardSelector, HedgeBudget, InstanceSelector, RetryBudget } from '@bronzelift/routing';
import type { AttemptHandle, AttemptObservation, FailureKind } from '@bronzelift/routing';

import type { InstanceRuntime, SlotUse } from './instanceRuntime.js';

/** Parameters of a service at this entry VM. */
export interface ServiceRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
  readonly configuration: ServiceConfiguration;
  readonly log: DecisionLog;
  readonly invariants: Invariants;
}

/** A slot with the choice that led to it. */
export interface ChosenSlot {
  readonly use: SlotUse;
  readonly attempt: AttemptHandle;
  readonly expectedLatencyMs: number;
  readonly reason: string;
}

const SERVER_ERROR = 500;

const FAILURE_OF_REASON = {
  timeout: 'timeout',
  reset: 'reset',
  'cut-short': 'cut-short',
  mismatched: 'mismatched',
  malformed: 'mismatched',
} as const satisfies Record<string, FailureKind>;

/** What an attempt says about the instance. */
export const observeAttempt = (attempt: BackendAttempt): AttemptObservation => {
  switch (attempt.kind) {
    case 'answered':
      return attempt.response.status >= SERVER_ERROR
        ? { kind: 'failed', failure: 'server-error' }
        : { kind: 'answered', latencyMs: attempt.durationMs };
    case 'too-large':
      return { kind: 'answered', latencyMs: attempt.durationMs };
    case 'refused':
      return { kind: 'failed', failure: 'refused' };
    case 'not-sent': {
      const isConnectFailure =
        attempt.reason === 'connect-failed' || attempt.reason === 'connect-timeout';
      return isConnectFailure
        ? { kind: 'failed', failure: 'connect-failed' }
        : { kind: 'abandoned' };
    }
    case 'failed-after-send':
      return attempt.reason === 'cancelled'
        ? { kind: 'abandoned' }
        : { kind: 'failed', failure: FAILURE_OF_REASON[attempt.reason] };
    default:
      return { kind: 'abandoned' };
  }
};

/** One service as this entry VM serves it: instances, queue, choices and budgets. */
export class ServiceRuntime {
  readonly queue: AdmissionQueue;

  readonly selector: InstanceSelector;

  readonly peers: ForwardSelector;

  readonly retries = RetryBudget.create();

  readonly hedges: HedgeBudget;

  private instances: readonly InstanceRuntime[] = [];

  private waiters: (() => void)[] = [];

  private currentConfiguration: ServiceConfiguration;

  private constructor(readonly options: ServiceRuntimeOptions) {
    this.currentConfiguration = options.configuration;
    const { clock, random, ownDomainId, invariants, log } = options;
    this.queue = AdmissionQueue.create({
      clock,
      random,
      onViolation: (name, detail) => invariants.report(name, detail),
    });
    this.selector = InstanceSelector.create({
      clock,
      random,
      onEjectionChange: (change) =>
        log.info(LogComponent.route, `instance ${change.change}`, {
          instance: change.instanceId,
          reason: change.reason,
          intervalMs: Math.round(change.intervalMs),
        }),
    });
    this.peers = ForwardSelector.create({ clock, random, ownDomainId });
    this.hedges = HedgeBudget.create(clock);
  }

  /** Creates a service without instances. */
  static create(options: ServiceRuntimeOptions): ServiceRuntime {
    return new ServiceRuntime(options);
  }

  get name(): string {
    return this.currentConfiguration.name;
  }

  get configuration(): ServiceConfiguration {
    return this.currentConfiguration;
  }

  /** Takes the settings of the service in a newer configuration. */
  configure(configuration: ServiceConfiguration): void {
    this.currentConfiguration = configuration;
  }

  /** Sets the instances of the service. */
  setInstances(instances: readonly InstanceRuntime[]): void {
    this.instances = instances;
    this.selector.setInstances(instances.map(({ id }) => id));
  }

  /** Recounts usable slots and wakes requests that wait for one. */
  refresh(isSending: boolean): void {
    const usable = this.instances.reduce((sum, one) => sum + one.usableCount, 0);
    this.queue.setUsableSlots(isSending ? usable : 0);
    this.wake();
  }

  /** Slots that a request could take now. */
  freeSlots(isOrder = false): number {
    return this.instances.reduce((sum, one) => sum + one.freeSlots(isOrder), 0);
  }

  /** Whether any instance of the service may take work, wherever its slots are held. */
  get hasAvailableInstance(): boolean {
    return this.instances.some((one) => one.isAvailable);
  }

  /** Chooses an instance and reserves a slot of it; undefined when none is free. */
  choose(isOrder: boolean, excluded: ReadonlySet<string>): ChosenSlot | undefined {
    const candidates = this.instances
      .map((one) => ({ instanceId: one.id, freeSlots: one.freeSlots(isOrder) }))
      .filter(({ freeSlots }) => freeSlots > 0);
    const selection =
      this.selector.select(candidates, { isOrder, excluded }) ??
      this.selector.select(candidates, { isOrder, excluded, isLastResort: true });
    if (!selection) return undefined;
    const runtime = this.instances.find(({ id }) => id === selection.instanceId)!;
    const use = runtime.reserve(isOrder);
    if (!use) return undefined;
    const { expectedLatencyMs, reason } = selection;
    return { use, attempt: this.selector.begin(selection), expectedLatencyMs, reason };
  }

  /** Waits until a slot may have become free, at most for a duration in milliseconds. */
  waitForSlot(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Wakes requests that wait for a slot. */
  wake(): void {
    if (this.waiters.length === 0) return;
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Ends an attempt: takes its observation and releases the slot. */
  finish(chosen: ChosenSlot, attempt: BackendAttempt | undefined): void {
    const observation = attempt ? observeAttempt(attempt) : { kind: 'abandoned' as const };
    chosen.attempt.end(observation);
    if (observation.kind === 'answered') this.hedges.addLatency(observation.latencyMs);
    chosen.use.release();
  }
}
