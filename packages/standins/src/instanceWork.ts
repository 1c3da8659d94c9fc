import type { Clock, RandomSource } from '@bronzelift/common';

import type { INSTANCE_DEFAULTS } from './constants.js';
import { ColdStart } from './coldStart.js';
import type { RunRegistry } from './runRegistry.js';
import { drawServiceMs } from './serviceTime.js';
import type { ColdOverload, InstanceOptions, LoadState } from './types.js';

/** Instance options with a value for every optional field. */
export type InstanceSettings = Required<InstanceOptions> & {
  readonly [K in keyof typeof INSTANCE_DEFAULTS]: number;
};

/** Reason why a request was not run. */
export type RefusalCode = 'overloaded' | 'deadline-passed' | 'draining' | 'failing';

/** Request that an instance executes, with callbacks for its progress. */
export interface Job {
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
  /** Unix ms after which the request must not start. */
  readonly deadlineMs: number;
  readonly refuse: (code: RefusalCode) => void;
  readonly complete: (serviceUs: number) => void;
  /** Called once when half of the service time has passed. */
  readonly onHalfway?: () => void;
}

interface Run {
  readonly job: Job;
  readonly startedAtMs: number;
  /** Time that does not count as service time: probe and connection costs, and stalls. */
  waitedMs: number;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Simulates how an instance executes requests: slots, queue, cold start, stalls, freezes, and
 * the time that probes and new connections cost.
 */
export class InstanceWork {
  readonly counts = {
    started: 0,
    served: 0,
    cancelled: 0,
    shed: 0,
    refusedForDeadline: 0,
    refusedForDraining: 0,
    failedFast: 0,
    probes: 0,
    probeMs: 0,
    connectionMs: 0,
    maxInFlight: 0,
    coldOverloads: 0,
    unannouncedColdOverloads: 0,
  };

  lastArrivalAtMs: number | undefined;

  lastStartAtMs: number | undefined;

  slowdownFactor = 1;

  draining = false;

  isFailingFast = false;

  private readonly cold: ColdStart;

  private readonly running = new Map<Job, Run>();

  private queue: Job[] = [];

  private isFrozen = false;

  private deferredActions: (() => void)[] = [];

  private busyUntilMs = 0;

  private stalledUntilMs = 0;

  private constructor(
    private readonly settings: InstanceSettings,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly registry: RunRegistry,
    public bootId: string,
  ) {
    this.cold = ColdStart.create(settings, clock.monotonicMs());
    if (!settings.startsCold) this.cold.becomeWarm();
  }

  /** Creates the simulation of an instance that has just started. */
  static create(
    settings: InstanceSettings,
    clock: Clock,
    random: RandomSource,
    registry: RunRegistry,
    bootId: string,
  ): InstanceWork {
    return new InstanceWork(settings, clock, random, registry, bootId);
  }

  /** Number of requests that are running or queued. */
  get inFlight(): number {
    return this.running.size + this.queue.length;
  }

  /** Actual load state; a misreported one may differ. */
  get state(): LoadState {
    if (this.draining) return 'draining';
    return this.cold.isCold ? 'cold' : 'warm';
  }

  /** Runs, queues or refuses a request; a frozen instance does so after it is unfrozen. */
  submit(job: Job): void {
    this.runWhenNotFrozen(() => this.handleArrival(job));
  }

  /** Drops a queued request or stops a running one. */
  cancel(job: Job): void {
    this.runWhenNotFrozen(() => this.handleCancel(job));
  }

  /** Charges the cost of a probe and calls `respond` once the instance is not busy. */
  probe(respond: () => void): void {
    this.runWhenNotFrozen(() => {
      this.counts.probes += 1;
      this.counts.probeMs += this.settings.probeCostMs;
      this.addBusyTime(this.settings.probeCostMs);
      setTimeout(() => this.runWhenNotFrozen(respond), this.pendingDelayMs());
    });
  }

  /** Charges the cost of a new connection. */
  acceptConnection(): void {
    this.counts.connectionMs += this.settings.connectionCostMs;
    this.addBusyTime(this.settings.connectionCostMs);
  }

  /** Simulates a restart: discards all work and makes the instance cold. */
  restart(bootId: string): void {
    this.running.forEach((run) => clearTimeout(run.timer));
    this.running.clear();
    this.queue = [];
    this.deferredActions = [];
    this.isFrozen = false;
    this.draining = false;
    this.busyUntilMs = 0;
    this.stalledUntilMs = 0;
    this.bootId = bootId;
    this.cold.becomeCold('start', this.clock.monotonicMs());
  }

  /** Makes the instance cold without a change of its boot id. */
  becomeCold(): void {
    this.cold.becomeCold('unannounced', this.clock.monotonicMs());
  }

  /** Makes the instance warm immediately. */
  becomeWarm(): void {
    this.cold.becomeWarm();
  }

  /** Stops processing requests, cancellations and probes until `unfreeze`. */
  freeze(): void {
    this.isFrozen = true;
  }

  /** Resumes; first executes the actions that were deferred while frozen, in order. */
  unfreeze(): void {
    this.isFrozen = false;
    const { deferredActions: actions } = this;
    this.deferredActions = [];
    actions.forEach((action) => this.runWhenNotFrozen(action));
  }

  /** Cancels the timers of all runs. */
  close(): void {
    this.running.forEach((run) => clearTimeout(run.timer));
  }

  private runWhenNotFrozen(action: () => void): void {
    if (this.isFrozen) this.deferredActions.push(action);
    else action();
  }

  private handleArrival(job: Job): void {
    const nowMs = this.clock.wallMs();
    this.lastArrivalAtMs = nowMs;
    this.registry.recordArrival(this.settings.failureDomainId, nowMs);
    if (this.isFailingFast) {
      this.counts.failedFast += 1;
      job.refuse('failing');
      return;
    }
    if (this.draining) {
      this.counts.refusedForDraining += 1;
      job.refuse('draining');
      return;
    }
    if (this.refusePastDeadline(job)) return;
    this.recordColdOverload(this.inFlight + 1);
    if (this.running.size < this.settings.slots) {
      this.start(job);
    } else if (this.queue.length < this.settings.maxQueue) {
      this.queue.push(job);
    } else {
      this.counts.shed += 1;
      job.refuse('overloaded');
    }
    this.counts.maxInFlight = Math.max(this.counts.maxInFlight, this.inFlight);
  }

  private refusePastDeadline(job: Job): boolean {
    if (this.clock.wallMs() < job.deadlineMs) return false;
    this.counts.refusedForDeadline += 1;
    job.refuse('deadline-passed');
    return true;
  }

  /** Records a cold overload and stalls the instance, if `inFlight` exceeds its limit. */
  private recordColdOverload(inFlight: number): void {
    const { bearable } = this.cold;
    const nowMs = this.clock.monotonicMs();
    if (inFlight <= bearable || this.cold.isInGrace(nowMs)) return;
    const { cause, sinceColdMs } = this.cold.describe(nowMs);
    const overload: ColdOverload = {
      instanceId: this.settings.instanceId,
      bootId: this.bootId,
      atMs: this.clock.wallMs(),
      inFlight,
      bearable,
      cause,
      sinceColdMs,
    };
    this.registry.recordOverload(overload);
    if (cause === 'start') this.counts.coldOverloads += 1;
    else this.counts.unannouncedColdOverloads += 1;
    this.stalledUntilMs = Math.max(this.stalledUntilMs, nowMs + this.settings.stallMs);
  }

  private start(job: Job): void {
    const startedAtMs = this.clock.wallMs();
    this.counts.started += 1;
    this.lastStartAtMs = startedAtMs;
    this.registry.recordStart(this.settings.failureDomainId, startedAtMs);
    if (job.idempotencyKey !== undefined) {
      const { instanceId } = this.settings;
      const { requestId } = job;
      const run = { instanceId, bootId: this.bootId, startedAtMs, requestId };
      this.registry.recordRun(job.idempotencyKey, run);
    }
    const waitedMs = this.pendingDelayMs();
    const run: Run = {
      job,
      startedAtMs: this.clock.monotonicMs(),
      waitedMs,
      timer: undefined,
    };
    this.running.set(job, run);
    const { meanServiceMs, serviceSigma } = this.settings;
    const factor = this.slowdownFactor * this.cold.serviceFactor;
    const serviceMs = factor * drawServiceMs(this.random, meanServiceMs, serviceSigma);
    run.timer = setTimeout(() => this.handleHalfway(run, serviceMs / 2), waitedMs + serviceMs / 2);
  }

  private handleHalfway(run: Run, remainingMs: number): void {
    run.job.onHalfway?.();
    if (!this.running.has(run.job)) return;
    this.continueAfterStall(run, () => {
      const next = run;
      next.timer = setTimeout(
        () => this.continueAfterStall(run, () => this.finish(run)),
        remainingMs,
      );
    });
  }

  /** Continues a run at once, or after the current freeze and stall have ended. */
  private continueAfterStall(run: Run, proceed: () => void): void {
    if (this.isFrozen) {
      this.deferredActions.push(() => this.continueAfterStall(run, proceed));
      return;
    }
    const stallMs = this.stalledUntilMs - this.clock.monotonicMs();
    if (stallMs <= 0) {
      proceed();
      return;
    }
    const waiting = run;
    waiting.waitedMs += stallMs;
    waiting.timer = setTimeout(() => this.continueAfterStall(run, proceed), stallMs);
  }

  private finish(run: Run): void {
    if (!this.running.delete(run.job)) return;
    this.counts.served += 1;
    this.cold.recordServed();
    const elapsedMs = this.clock.monotonicMs() - run.startedAtMs;
    run.job.complete(Math.max(0, Math.round((elapsedMs - run.waitedMs) * 1000)));
    this.startQueued();
  }

  private handleCancel(job: Job): void {
    const run = this.running.get(job);
    if (run) {
      clearTimeout(run.timer);
      this.running.delete(job);
      this.counts.cancelled += 1;
      this.startQueued();
    } else if (this.queue.includes(job)) {
      this.queue = this.queue.filter((queued) => queued !== job);
      this.counts.cancelled += 1;
    }
  }

  private startQueued(): void {
    while (this.running.size < this.settings.slots) {
      const next = this.queue.shift();
      if (!next) return;
      if (!this.refusePastDeadline(next)) this.start(next);
    }
  }

  /** Extends the time during which the instance is busy with probes and new connections. */
  private addBusyTime(costMs: number): void {
    this.busyUntilMs = Math.max(this.clock.monotonicMs(), this.busyUntilMs) + costMs;
  }

  /** Calculates how long probes, new connections and a stall delay a run that starts now. */
  private pendingDelayMs(): number {
    return Math.max(0, Math.max(this.busyUntilMs, this.stalledUntilMs) - this.clock.monotonicMs());
  }
}
