import { assertNever } from '@bronzelift/common';

import { AdmissionEntry } from './admissionEntry.js';
import type { EntryContext } from './admissionEntry.js';
import {
  DEFAULT_MAX_QUEUED,
  DEFAULT_SERVICE_TIME_MS,
  MAX_DISPLACED_PER_ORDER,
  MIN_EXPIRY_INTERVAL_MS,
  MIN_WAIT_MS,
  ORDER_SHARE_WEIGHT,
  SERVICE_TIME_WEIGHT,
} from './constants.js';
import { createLaneQueue } from './createLaneQueue.js';
import { decideAdmission, isLookupTooLate, predictWait } from './decideAdmission.js';
import { LanePriority } from './laneQueue.js';
import { RetryAfterEstimator } from './retryAfterEstimator.js';
import type {
  AdmissionOptions,
  AdmissionRequest,
  AdmissionResult,
  AdmissionStats,
  AdmissionView,
  RefusalCode,
  ScheduleTimer,
} from './types.js';
import { scheduleTimeout, updateMean } from './utils.js';
import { WaitingLists } from './waitingLists.js';

/** Queue of requests of one service for the slots of this entry VM; deadlines bound the wait. */
export class AdmissionQueue {
  private readonly queue;

  private readonly waiting: WaitingLists;

  private readonly schedule: ScheduleTimer;

  private readonly entryContext: EntryContext;

  private meanServiceTimeMs: number;

  private orderShare = 0;

  private usableSlots = 0;

  private lastUsableSlots = 0;

  private slotsLostAtMs = -Infinity;

  private readonly refusals: RetryAfterEstimator;

  private lastId = 0;

  private expiry: { readonly atMs: number; readonly cancel: () => void } | undefined;

  private constructor(private readonly options: AdmissionOptions) {
    const { queue, lanes } = createLaneQueue();
    this.queue = queue;
    this.waiting = WaitingLists.create(options.maxQueued ?? DEFAULT_MAX_QUEUED);
    this.schedule = options.schedule ?? scheduleTimeout;
    this.refusals = RetryAfterEstimator.create(options.clock, options.random);
    this.meanServiceTimeMs = options.initialServiceTimeMs ?? DEFAULT_SERVICE_TIME_MS;
    this.entryContext = {
      now: () => options.clock.monotonicMs(),
      createRetryAfterMs: (code, predictedWaitMs) => this.createRetryAfterMs(code, predictedWaitMs),
      onLeave: (entry, hasStarted) => {
        this.waiting.delete(entry);
        if (!hasStarted) lanes.remove(entry.id);
      },
      onViolation: options.onViolation,
    };
  }

  /** The queue starts without usable slots; `setUsableSlots` adds them. */
  static create(options: AdmissionOptions): AdmissionQueue {
    return new AdmissionQueue(options);
  }

  /**
   * Sets the number of usable slots. Running tasks continue; a decrease only delays later starts.
   */
  setUsableSlots(count: number): void {
    if (count === this.usableSlots) return;
    if (count === 0) {
      this.slotsLostAtMs = this.entryContext.now();
      this.lastUsableSlots = this.usableSlots;
      this.usableSlots = 0;
      // p-queue requires a concurrency of at least 1, so the queue is paused instead.
      this.queue.pause();
      return;
    }
    const isDecrease = count < this.usableSlots;
    this.usableSlots = count;
    this.queue.concurrency = count;
    this.queue.start();
    if (isDecrease) this.displaceLateLookups(Infinity);
  }

  /** Runs a task when a slot is free, or refuses it with the result `not-run`. Never rejects. */
  admit<T>(request: AdmissionRequest, task: () => Promise<T>): Promise<AdmissionResult<T>> {
    return new Promise((resolve) => {
      this.lastId += 1;
      const entry = AdmissionEntry.create(String(this.lastId), request, this.entryContext, resolve);
      const run = (): Promise<void> => this.run(entry, task, resolve);
      if (request.signal?.aborted) {
        entry.refuse('cancelled', 0);
        return;
      }
      const decision = decideAdmission(this.view(), request);
      switch (decision.kind) {
        case 'refuse':
          entry.refuse(decision.code, decision.predictedWaitMs);
          return;
        case 'start':
          this.enqueue(entry, run);
          return;
        case 'displace-lookup':
          this.waiting.newestLookup()?.refuse('displaced', decision.predictedWaitMs);
          this.enqueueWaiting(entry, run, request.signal);
          return;
        case 'wait':
          this.enqueueWaiting(entry, run, request.signal);
          return;
        default:
          assertNever(decision);
      }
    });
  }

  /** Refuses all waiting requests, for example when the process stops. */
  refuseWaiting(code: RefusalCode): void {
    const predictedWaitMs = predictWait(this.view(), false);
    for (const entry of this.waiting.all()) entry.refuse(code, predictedWaitMs);
  }

  /** Slots, queue lengths and predicted wait, for the status page. */
  stats(): AdmissionStats {
    const view = this.view();
    return {
      usableSlots: view.usableSlots,
      running: view.running,
      queuedOrders: view.queuedOrders,
      queuedLookups: view.queuedLookups,
      meanServiceTimeMs: view.meanServiceTimeMs,
      predictedWaitMs: predictWait(view, false),
    };
  }

  private enqueueWaiting(
    entry: AdmissionEntry,
    run: () => Promise<void>,
    callerSignal: AbortSignal | undefined,
  ): void {
    this.waiting.add(entry);
    if (callerSignal !== undefined) entry.watchCaller(callerSignal);
    this.enqueue(entry, run);
    this.scheduleExpiry(entry.deadlineAtMs);
    if (entry.isOrder) this.displaceLateLookups(MAX_DISPLACED_PER_ORDER);
  }

  private enqueue(entry: AdmissionEntry, run: () => Promise<void>): void {
    const priority = entry.isOrder ? LanePriority.order : LanePriority.lookup;
    // `run` never rejects: it resolves the promise of `admit` itself, also if the task fails.
    this.queue.add(run, { id: entry.id, priority });
  }

  private async run<T>(
    entry: AdmissionEntry,
    task: () => Promise<T>,
    resolve: (result: AdmissionResult<T>) => void,
  ): Promise<void> {
    const startedAtMs = this.entryContext.now();
    if (this.isTooLate(entry, startedAtMs)) {
      entry.refuse('deadline-exceeded', 0);
      return;
    }
    entry.start();
    this.orderShare = updateMean(this.orderShare, Number(entry.isOrder), ORDER_SHARE_WEIGHT);
    const waitedMs = startedAtMs - entry.arrivedAtMs;
    try {
      resolve({ kind: 'completed', value: await task(), waitedMs });
    } catch (error) {
      resolve({ kind: 'failed', error, waitedMs });
    }
    const serviceTimeMs = this.entryContext.now() - startedAtMs;
    this.meanServiceTimeMs = updateMean(this.meanServiceTimeMs, serviceTimeMs, SERVICE_TIME_WEIGHT);
  }

  /**
   * Whether a request is too late to be started. If other requests wait, or if this one has waited,
   * the time until its deadline must exceed the mean service time: otherwise it would most likely
   * be cut off at its deadline, after it has occupied the slot, with an unknown outcome and the
   * loss of the connection.
   */
  private isTooLate(entry: AdmissionEntry, nowMs: number): boolean {
    const isContended = this.waiting.orderCount + this.waiting.lookupCount > 1;
    const hasWaited = nowMs - entry.arrivedAtMs > MIN_WAIT_MS;
    const requiredMs = isContended || hasWaited ? this.meanServiceTimeMs : 0;
    return nowMs + requiredMs >= entry.deadlineAtMs;
  }

  /**
   * Refuses lookups that can no longer end in time because orders joined or slots were lost, so
   * that their callers do not wait until the deadline. Orders keep waiting: slots may become usable
   * again.
   */
  private displaceLateLookups(limit: number): void {
    for (let displaced = 0; displaced < limit; displaced++) {
      const newest = this.waiting.newestLookup();
      const view = this.view();
      if (newest === undefined || !isLookupTooLate(view, newest.deadlineAtMs)) return;
      newest.refuse('displaced', predictWait(view, false));
    }
  }

  private scheduleExpiry(deadlineAtMs: number): void {
    if (this.expiry !== undefined && this.expiry.atMs <= deadlineAtMs) return;
    this.expiry?.cancel();
    const remainingMs = Math.ceil(deadlineAtMs - this.entryContext.now());
    const cancel = this.schedule(Math.max(remainingMs, MIN_EXPIRY_INTERVAL_MS), () => {
      this.expiry = undefined;
      this.refuseExpired();
    });
    this.expiry = { atMs: deadlineAtMs, cancel };
  }

  private refuseExpired(): void {
    const nowMs = this.entryContext.now();
    let nextDeadlineAtMs = Infinity;
    for (const entry of this.waiting.all()) {
      if (entry.deadlineAtMs <= nowMs) entry.refuse('deadline-exceeded', 0);
      else nextDeadlineAtMs = Math.min(nextDeadlineAtMs, entry.deadlineAtMs);
    }
    if (nextDeadlineAtMs < Infinity) this.scheduleExpiry(nextDeadlineAtMs);
  }

  /**
   * Calculates the Retry-After of a refusal, and counts the refused request as work that its caller
   * will send again.
   */
  private createRetryAfterMs(code: RefusalCode, predictedWaitMs: number): number {
    // A disconnected caller does not retry; an immediate request is tried elsewhere.
    if (code === 'cancelled' || code === 'no-free-slot') return 0;
    const workMs = this.meanServiceTimeMs / Math.max(this.usableSlots, 1);
    return this.refusals.refuse(predictedWaitMs, workMs);
  }

  private view(): AdmissionView {
    const hasSlots = this.usableSlots > 0;
    const nowMs = this.entryContext.now();
    return {
      nowMs,
      usableSlots: this.usableSlots,
      lastUsableSlots: hasSlots ? this.usableSlots : this.lastUsableSlots,
      withoutSlotsForMs: hasSlots ? 0 : nowMs - this.slotsLostAtMs,
      running: this.queue.pending,
      queuedOrders: this.waiting.orderCount,
      queuedLookups: this.waiting.lookupCount,
      meanServiceTimeMs: this.meanServiceTimeMs,
      orderShare: this.orderShare,
      maxQueued: this.waiting.maxQueued,
    };
  }
}
