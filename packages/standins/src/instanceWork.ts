import type { Clock, RandomSource } from '@bronzelift/common';

import type { INSTANCE_DEFAULTS } from './constants.js';
import { ColdStart } from './coldStart.js';
import type { RunRegistry } from './runRegistry.js';
import { drawServiceMs } from './serviceTime.js';
import type { ColdOverload, InstanceOptions, LoadState } from './types.js';

/** Options of an instance with all defaults filled in. */
export type InstanceSettings = Required<InstanceOptions> & {
  readonly [K in keyof typeof INSTANCE_DEFAULTS]: number;
};

/** Why a request was not run. */
export type RefusalCode = 'overloaded' | 'deadline-passed' | 'draining' | 'failing';

/** One request for work, with what is to be done as it proceeds. */
export interface Job {
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
  /** Unix ms after which the request must not start. */
  readonly deadlineMs: number;
  readonly refuse: (code: RefusalCode) => void;
  readonly complete: (serviceUs: number) => void;
  /** Called once in the middle of the run. */
  readonly halfway?: () => void;
}

interface Run {
  readonly job: Job;
  readonly startedAtMs: number;
  /** Part of the run that was not service: overhead before it and stalls. */
  waitedMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Work of one instance: slots, queue, cold start, stalls, freezes and costs of measuring. */
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

  slowFactor = 1;

  draining = false;

  failingFast = false;

  private readonly cold: ColdStart;

  private readonly running = new Map<Job, Run>();

  private queue: Job[] = [];

  private frozen = false;

  private deferred: (() => void)[] = [];

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

  /** Creates the work of an instance that has just started. */
  static create(
    settings: InstanceSettings,
    clock: Clock,
    random: RandomSource,
    registry: RunRegistry,
    bootId: string,
  ): InstanceWork {
    return new InstanceWork(settings, clock, random, registry, bootId);
  }

  /** Requests running or queued. */
  get inFlight(): number {
    return this.running.size + this.queue.length;
  }

  /** Truthful load state. */
  get state(): LoadState {
    if (this.draining) return 'draining';
    return this.cold.isCold ? 'cold' : 'warm';
  }

  /** Runs, queues or refuses a request. */
  submit(job: Job): void {
    this.whenThawed(() => this.arrive(job));
  }

  /** Drops a queued request or stops a running one. */
  cancel(job: Job): void {
    this.whenThawed(() => this.cancelNow(job));
  }

  /** Spends the instance time of a probe, then calls back. */
  probe(respond: () => void): void {
    this.whenThawed(() => {
      this.counts.probes += 1;
      this.counts.probeMs += this.settings.probeCostMs;
      this.spend(this.settings.probeCostMs);
      setTimeout(() => this.whenThawed(respond), this.pendingDelayMs());
    });
  }

  /** Spends the instance time of a new connection. */
  acceptConnection(): void {
    this.counts.connectionMs += this.settings.connectionCostMs;
    this.spend(this.settings.connectionCostMs);
  }

  /** Starts again: all work is lost and the instance is cold. */
  restart(bootId: string): void {
    this.running.forEach((run) => clearTimeout(run.timer));
    this.running.clear();
    this.queue = [];
    this.deferred = [];
    this.frozen = false;
    this.draining = false;
    this.busyUntilMs = 0;
    this.stalledUntilMs = 0;
    this.bootId = bootId;
    this.cold.becomeCold('start', this.clock.monotonicMs());
  }

  /** Becomes cold without notice. */
  becomeCold(): void {
    this.cold.becomeCold('unannounced', this.clock.monotonicMs());
  }

  /** Becomes warm at once. */
  becomeWarm(): void {
    this.cold.becomeWarm();
  }

  /** Stops doing anything. */
  freeze(): void {
    this.frozen = true;
  }

  /** Resumes, first with what arrived and ended in the meantime. */
  unfreeze(): void {
    this.frozen = false;
    const { deferred } = this;
    this.deferred = [];
    deferred.forEach((action) => this.whenThawed(action));
  }

  /** Stops all timers of runs. */
  close(): void {
    this.running.forEach((run) => clearTimeout(run.timer));
  }

  private whenThawed(action: () => void): void {
    if (this.frozen) this.deferred.push(action);
    else action();
  }

  private arrive(job: Job): void {
    const nowMs = this.clock.wallMs();
    this.lastArrivalAtMs = nowMs;
    this.registry.recordArrival(this.settings.failureDomainId, nowMs);
    if (this.failingFast) {
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
    this.noteColdOverload(this.inFlight + 1);
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

  /** Records more work than a cold instance bears and stalls; what is in flight counts too. */
  private noteColdOverload(inFlight: number): void {
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
    const factor = this.slowFactor * this.cold.serviceFactor;
    const serviceMs = factor * drawServiceMs(this.random, meanServiceMs, serviceSigma);
    run.timer = setTimeout(() => this.halfway(run, serviceMs / 2), waitedMs + serviceMs / 2);
  }

  private halfway(run: Run, remainingMs: number): void {
    run.job.halfway?.();
    if (!this.running.has(run.job)) return;
    this.waitOutStall(run, () => {
      const next = run;
      next.timer = setTimeout(() => this.waitOutStall(run, () => this.finish(run)), remainingMs);
    });
  }

  /** Continues a run at once, or after the stall and the freeze in force. */
  private waitOutStall(run: Run, proceed: () => void): void {
    if (this.frozen) {
      this.deferred.push(() => this.waitOutStall(run, proceed));
      return;
    }
    const stallMs = this.stalledUntilMs - this.clock.monotonicMs();
    if (stallMs <= 0) {
      proceed();
      return;
    }
    const waiting = run;
    waiting.waitedMs += stallMs;
    waiting.timer = setTimeout(() => this.waitOutStall(run, proceed), stallMs);
  }

  private finish(run: Run): void {
    if (!this.running.delete(run.job)) return;
    this.counts.served += 1;
    this.cold.recordServed();
    const elapsedMs = this.clock.monotonicMs() - run.startedAtMs;
    run.job.complete(Math.max(0, Math.round((elapsedMs - run.waitedMs) * 1000)));
    this.startQueued();
  }

  private cancelNow(job: Job): void {
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

  /** Adds to the time the instance spends on probes and new connections. */
  private spend(costMs: number): void {
    this.busyUntilMs = Math.max(this.clock.monotonicMs(), this.busyUntilMs) + costMs;
  }

  /** Delay of work that starts now: measuring under way, and the stall. */
  private pendingDelayMs(): number {
    return Math.max(0, Math.max(this.busyUntilMs, this.stalledUntilMs) - this.clock.monotonicMs());
  }
}
