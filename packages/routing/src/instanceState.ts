import type { InstanceId } from '@bronzelift/common';

import {
  BASE_EJECTION_MS,
  EJECTION_BACKOFF_RESET_MS,
  FAILURE_DECAY_MS,
  LATENCY_DECAY_MS,
  LATENCY_WEIGHT,
  MAX_EJECTION_MS,
  MAX_FAILURE_DOUBLINGS,
} from './constants.js';

/** Ejection of an instance; from `trialAtMs` on it receives one trial request at a time. */
export interface Ejection {
  readonly trialAtMs: number;
  /** Start of the trial request in flight, if any. */
  trialStartedAtMs: number | undefined;
}

/** Latency, failures, attempts in flight and ejection of one instance. */
export class InstanceState {
  /** Exponentially weighted latency; undefined before the first response. */
  latencyMs: number | undefined;

  samples = 0;

  /** Consecutive responses that were slow compared with the service's median. */
  consecutiveSlow = 0;

  consecutiveFailures = 0;

  ejection: Ejection | undefined;

  private lastEjectionMs = 0;

  private lastEjectedAtMs = -Infinity;

  private lastResponseAtMs = 0;

  private lastFailureAtMs = 0;

  private readonly startTimesMs = new Map<number, number>();

  private lastAttemptId = 0;

  private constructor(readonly instanceId: InstanceId) {}

  static create(instanceId: InstanceId): InstanceState {
    return new InstanceState(instanceId);
  }

  get inFlight(): number {
    return this.startTimesMs.size;
  }

  /** Records an attempt in flight; returns its id for `endAttempt`. */
  beginAttempt(nowMs: number): number {
    this.lastAttemptId += 1;
    this.startTimesMs.set(this.lastAttemptId, nowMs);
    return this.lastAttemptId;
  }

  /** Ends an attempt; returns its start time, or undefined if it has already ended. */
  endAttempt(start: number): number | undefined {
    const startedAtMs = this.startTimesMs.get(start);
    this.startTimesMs.delete(start);
    return startedAtMs;
  }

  /** Updates the mean latency and ends a series of failures. */
  recordResponse(latencyMs: number, nowMs: number, isSlow: boolean): void {
    this.samples += 1;
    this.consecutiveSlow = isSlow ? this.consecutiveSlow + 1 : 0;
    this.consecutiveFailures = 0;
    this.lastResponseAtMs = nowMs;
    this.latencyMs =
      this.latencyMs === undefined
        ? latencyMs
        : this.latencyMs + LATENCY_WEIGHT * (latencyMs - this.latencyMs);
  }

  recordFailure(nowMs: number): void {
    this.consecutiveFailures += 1;
    this.lastFailureAtMs = nowMs;
  }

  /** Clears latency and failures; keeps the ejection and the attempts in flight. */
  reset(): void {
    this.latencyMs = undefined;
    this.samples = 0;
    this.consecutiveSlow = 0;
    this.consecutiveFailures = 0;
  }

  /**
   * Ejects the instance; returns the interval until the first trial, which doubles if the last
   * ejection was recent.
   */
  eject(nowMs: number, jitter: number): number {
    const isRecent = nowMs - this.lastEjectedAtMs < EJECTION_BACKOFF_RESET_MS;
    const plannedMs = isRecent ? this.lastEjectionMs * 2 : BASE_EJECTION_MS;
    this.lastEjectionMs = Math.min(plannedMs, MAX_EJECTION_MS);
    this.lastEjectedAtMs = nowMs;
    this.ejection = {
      trialAtMs: nowMs + this.lastEjectionMs * jitter,
      trialStartedAtMs: undefined,
    };
    return this.lastEjectionMs;
  }

  /** Ends the ejection and clears the count of failures. */
  readmit(): void {
    this.ejection = undefined;
    this.consecutiveFailures = 0;
  }

  /** Expected latency of the next request; latency above `usualMs` decays with its age. */
  expectedLatencyMs(nowMs: number, usualMs: number): number {
    const excessMs = Math.max((this.latencyMs ?? usualMs) - usualMs, 0);
    const decay = Math.exp(-(nowMs - this.lastResponseAtMs) / LATENCY_DECAY_MS);
    const baseMs = Math.min(this.latencyMs ?? usualMs, usualMs);
    return Math.max(baseMs + excessMs * decay, this.oldestAgeMs(nowMs));
  }

  /** Cost factor of an instance that fails but is not ejected; decays with time. */
  failureFactor(nowMs: number): number {
    const doublings = Math.min(this.consecutiveFailures, MAX_FAILURE_DOUBLINGS);
    const decayedDoublings = (nowMs - this.lastFailureAtMs) / FAILURE_DECAY_MS;
    return 2 ** Math.max(doublings - decayedDoublings, 0);
  }

  /** Age of the oldest attempt in flight; reveals a stall before a response arrives. */
  private oldestAgeMs(nowMs: number): number {
    const [oldestMs] = this.startTimesMs.values();
    return oldestMs === undefined ? 0 : nowMs - oldestMs;
  }
}
