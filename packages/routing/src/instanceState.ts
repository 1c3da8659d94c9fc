import type { InstanceId } from '@bronzelift/common';

import {
  BASE_EJECTION_MS,
  EJECTION_MEMORY_MS,
  FAILURE_DECAY_MS,
  LATENCY_DECAY_MS,
  LATENCY_WEIGHT,
  MAX_EJECTION_MS,
  MAX_FAILURE_DOUBLINGS,
} from './constants.js';

/** Ejection of an instance: no requests but single trials from `trialAtMs` on. */
export interface Ejection {
  readonly trialAtMs: number;
  /** Start of the trial in flight. */
  trialStartedAtMs: number | undefined;
}

/** What is known of one instance. */
export class InstanceState {
  /** Exponentially weighted latency; undefined before the first response. */
  latencyMs: number | undefined;

  samples = 0;

  /** Responses in a row that were slow for the service. */
  slowInRow = 0;

  consecutiveFailures = 0;

  ejection: Ejection | undefined;

  private lastEjectionMs = 0;

  private lastEjectedAtMs = -Infinity;

  private lastAnswerAtMs = 0;

  private lastFailureAtMs = 0;

  private readonly startsMs = new Map<number, number>();

  private lastStart = 0;

  private constructor(readonly instanceId: InstanceId) {}

  /** Creates the state of an instance of which nothing is known. */
  static create(instanceId: InstanceId): InstanceState {
    return new InstanceState(instanceId);
  }

  get inFlight(): number {
    return this.startsMs.size;
  }

  /** Notes an attempt in flight; the result names it for `end`. */
  begin(nowMs: number): number {
    this.lastStart += 1;
    this.startsMs.set(this.lastStart, nowMs);
    return this.lastStart;
  }

  /** Ends an attempt; returns its start, or undefined when it has ended before. */
  end(start: number): number | undefined {
    const startedAtMs = this.startsMs.get(start);
    this.startsMs.delete(start);
    return startedAtMs;
  }

  /** Counts a response. */
  addAnswer(latencyMs: number, nowMs: number, isSlow: boolean): void {
    this.samples += 1;
    this.slowInRow = isSlow ? this.slowInRow + 1 : 0;
    this.consecutiveFailures = 0;
    this.lastAnswerAtMs = nowMs;
    this.latencyMs =
      this.latencyMs === undefined
        ? latencyMs
        : this.latencyMs + LATENCY_WEIGHT * (latencyMs - this.latencyMs);
  }

  /** Counts a failure. */
  addFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    this.lastFailureAtMs = nowMs;
  }

  /** Forgets latency and failures. */
  reset(): void {
    this.latencyMs = undefined;
    this.samples = 0;
    this.slowInRow = 0;
    this.consecutiveFailures = 0;
  }

  /** Ejects the instance; returns the interval, which doubles while ejections follow each other. */
  eject(nowMs: number, jitter: number): number {
    const isRecent = nowMs - this.lastEjectedAtMs < EJECTION_MEMORY_MS;
    const plannedMs = isRecent ? this.lastEjectionMs * 2 : BASE_EJECTION_MS;
    this.lastEjectionMs = Math.min(plannedMs, MAX_EJECTION_MS);
    this.lastEjectedAtMs = nowMs;
    this.ejection = {
      trialAtMs: nowMs + this.lastEjectionMs * jitter,
      trialStartedAtMs: undefined,
    };
    return this.lastEjectionMs;
  }

  /** Ends the ejection. */
  readmit(): void {
    this.ejection = undefined;
    this.consecutiveFailures = 0;
  }

  /** Latency expected of the next request; an old excess over `usualMs` counts less. */
  expectedLatencyMs(nowMs: number, usualMs: number): number {
    const excessMs = Math.max((this.latencyMs ?? usualMs) - usualMs, 0);
    const decay = Math.exp(-(nowMs - this.lastAnswerAtMs) / LATENCY_DECAY_MS);
    const baseMs = Math.min(this.latencyMs ?? usualMs, usualMs);
    return Math.max(baseMs + excessMs * decay, this.oldestAgeMs(nowMs));
  }

  /** Factor on the cost of an instance that fails but cannot be ejected; halves with time. */
  failureFactor(nowMs: number): number {
    const doublings = Math.min(this.consecutiveFailures, MAX_FAILURE_DOUBLINGS);
    const forgotten = (nowMs - this.lastFailureAtMs) / FAILURE_DECAY_MS;
    return 2 ** Math.max(doublings - forgotten, 0);
  }

  /** Age of the attempt that is in flight for longest; shows a stall before any response does. */
  private oldestAgeMs(nowMs: number): number {
    const [oldestMs] = this.startsMs.values();
    return oldestMs === undefined ? 0 : nowMs - oldestMs;
  }
}
