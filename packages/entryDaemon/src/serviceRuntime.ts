import { AdmissionQueue } from '@bronzelift/admission';
import type { BackendAttempt } from '@bronzelift/backend-client';
import type { Clock, FailureDomainId, RandomSource } from '@bronzelift/common';
import type { ServiceConfiguration } from '@bronzelift/configuration';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import { ForwardSelector, HedgeBudget, InstanceSelector, RetryBudget } from '@bronzelift/routing';
import type { AttemptHandle, AttemptObservation, FailureKind } from '@bronzelift/routing';

import type { InstanceRuntime, SlotReservation } from './instanceRuntime.js';

/** Configuration and shared components of a service at this entry VM. */
export interface ServiceRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
  readonly configuration: ServiceConfiguration;
  readonly log: DecisionLog;
  readonly invariants: Invariants;
}

/** A reserved slot, and how its instance was selected. */
export interface ReservedSlot {
  readonly reservation: SlotReservation;
  readonly attempt: AttemptHandle;
  readonly expectedLatencyMs: number;
  readonly reason: string;
}

const MIN_SERVER_ERROR_STATUS = 500;

const FAILURE_KINDS = {
  timeout: 'timeout',
  reset: 'reset',
  'cut-short': 'cut-short',
  mismatched: 'mismatched',
  malformed: 'mismatched',
} as const satisfies Record<string, FailureKind>;

/** Converts the result of an attempt to an observation about its instance. */
export const observeAttempt = (attempt: BackendAttempt): AttemptObservation => {
  switch (attempt.kind) {
    case 'answered':
      return attempt.response.status >= MIN_SERVER_ERROR_STATUS
        ? { kind: 'failed', failure: 'server-error' }
        : { kind: 'answered', latencyMs: attempt.durationMs };
    case 'too-large':
      return attempt.isLengthDeclared
        ? { kind: 'answered', latencyMs: attempt.durationMs }
        : { kind: 'failed', failure: FAILURE_KINDS.malformed };
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
        : { kind: 'failed', failure: FAILURE_KINDS[attempt.reason] };
    default:
      return { kind: 'abandoned' };
  }
};

/** State of one service at this entry VM: instances, queue, selectors and budgets. */
export class ServiceRuntime {
  readonly queue: AdmissionQueue;

  readonly instanceSelector: InstanceSelector;

  readonly forwardSelector: ForwardSelector;

  readonly retryBudget = RetryBudget.create();

  readonly hedgeBudget: HedgeBudget;

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
    this.instanceSelector = InstanceSelector.create({
      clock,
      random,
      onEjectionChange: (change) =>
        log.info(LogComponent.route, `instance ${change.change}`, {
          instance: change.instanceId,
          reason: change.reason,
          intervalMs: Math.round(change.intervalMs),
        }),
    });
    this.forwardSelector = ForwardSelector.create({ clock, random, ownDomainId });
    this.hedgeBudget = HedgeBudget.create(clock);
  }

  /** Creates a service; its instances are set later with `setInstances`. */
  static create(options: ServiceRuntimeOptions): ServiceRuntime {
    return new ServiceRuntime(options);
  }

  get name(): string {
    return this.currentConfiguration.name;
  }

  get configuration(): ServiceConfiguration {
    return this.currentConfiguration;
  }

  /** Applies the settings of the service from a newer configuration. */
  configure(configuration: ServiceConfiguration): void {
    this.currentConfiguration = configuration;
  }

  /** Replaces the instances among which requests are distributed. */
  setInstances(instances: readonly InstanceRuntime[]): void {
    this.instances = instances;
    this.instanceSelector.setInstances(instances.map(({ id }) => id));
  }

  /** Updates the number of usable slots and wakes requests that wait for one. */
  refresh(isSending: boolean): void {
    const usable = this.instances.reduce((sum, instance) => sum + instance.usableSlotCount, 0);
    this.queue.setUsableSlots(isSending ? usable : 0);
    this.wakeWaiters();
  }

  /** Number of slots that a request could use now. */
  freeSlots(isOrder = false): number {
    return this.instances.reduce((sum, instance) => sum + instance.freeSlots(isOrder), 0);
  }

  /** Whether any instance accepts requests, whichever entry VM holds its slots. */
  get hasAvailableInstance(): boolean {
    return this.instances.some((instance) => instance.isAvailable);
  }

  /** Selects an instance and reserves one of its slots; undefined if no slot is free. */
  reserveSlot(isOrder: boolean, excluded: ReadonlySet<string>): ReservedSlot | undefined {
    const candidates = this.instances
      .map((instance) => ({ instanceId: instance.id, freeSlots: instance.freeSlots(isOrder) }))
      .filter(({ freeSlots }) => freeSlots > 0);
    const selection =
      this.instanceSelector.select(candidates, { isOrder, excluded }) ??
      this.instanceSelector.select(candidates, { isOrder, excluded, allowsEjected: true });
    if (!selection) return undefined;
    const runtime = this.instances.find(({ id }) => id === selection.instanceId)!;
    const reservation = runtime.reserve(isOrder);
    if (!reservation) return undefined;
    const { expectedLatencyMs, reason } = selection;
    return {
      reservation,
      attempt: this.instanceSelector.begin(selection),
      expectedLatencyMs,
      reason,
    };
  }

  /** Waits until a slot may have become free, for at most `limitMs`. */
  waitForSlot(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      this.waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Resumes all requests that wait for a slot. */
  wakeWaiters(): void {
    if (this.waiters.length === 0) return;
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  /** Ends an attempt: records what it shows about the instance and releases the slot. */
  finish(chosen: ReservedSlot, attempt: BackendAttempt | undefined): void {
    const observation = attempt ? observeAttempt(attempt) : { kind: 'abandoned' as const };
    chosen.attempt.end(observation);
    if (observation.kind === 'answered') this.hedgeBudget.recordLatency(observation.latencyMs);
    chosen.reservation.release();
  }
}
