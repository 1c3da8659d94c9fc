import { assertNever } from '@bronzelift/common';
import type { Clock, InstanceId, RandomSource } from '@bronzelift/common';

import {
  COST_TOLERANCE,
  DEFAULT_LATENCY_MS,
  EJECTED_SHARE_DIVISOR,
  EJECTION_JITTER,
  FAILURES_UNTIL_EJECTION,
  MEDIAN_MAX_AGE_MS,
  MIN_LATENCY_SAMPLES,
  MIN_CONSECUTIVE_SLOW,
  SLOW_FACTOR,
  SLOW_MARGIN_MS,
  TRIAL_TIMEOUT_MS,
} from './constants.js';
import { InstanceState } from './instanceState.js';
import type {
  AttemptHandle,
  AttemptObservation,
  Candidate,
  EjectionChange,
  FailureKind,
  InstanceHealth,
  SelectOptions,
  Selection,
} from './types.js';
import { calculateMedian, pickByTwoChoices } from './utils.js';

/** Dependencies and ejection options of the selector of one service. */
export interface InstanceSelectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Whether slow instances are ejected; default true. Not useful where responses report the
   * slowdown: there every instance is slow at times, and placement avoids it only while it is slow.
   */
  readonly ejectsSlow?: boolean;
  readonly onEjectionChange?: (change: EjectionChange) => void;
}

/** Selects the instance of one service that is expected to respond first; ejects failing ones. */
export class InstanceSelector {
  private readonly states = new Map<InstanceId, InstanceState>();

  private median: { readonly atMs: number; readonly valueMs: number | undefined } | undefined;

  private constructor(private readonly options: InstanceSelectorOptions) {}

  static create(options: InstanceSelectorOptions): InstanceSelector {
    return new InstanceSelector(options);
  }

  /** Sets the instances of the service, in all failure domains. */
  setInstances(instanceIds: readonly InstanceId[]): void {
    const listed = new Set(instanceIds);
    for (const formerId of this.states.keys())
      if (!listed.has(formerId)) this.states.delete(formerId);
    for (const instanceId of listed) {
      if (!this.states.has(instanceId))
        this.states.set(instanceId, InstanceState.create(instanceId));
    }
    this.median = undefined;
    this.enforceEjectionLimit();
  }

  /** Clears an instance's latency and failures, for example after its process has restarted. */
  resetInstance(instanceId: InstanceId): void {
    this.states.get(instanceId)?.reset();
  }

  /** Whether requests are sent to an instance; false while it is ejected. */
  isUsable(instanceId: InstanceId): boolean {
    const state = this.states.get(instanceId);
    return state !== undefined && state.ejection === undefined;
  }

  /** Whether an ejected instance should receive a trial request now. */
  isTrialDue(instanceId: InstanceId): boolean {
    const ejection = this.states.get(instanceId)?.ejection;
    if (ejection === undefined || ejection.trialAtMs > this.now()) return false;
    const { trialStartedAtMs } = ejection;
    return trialStartedAtMs === undefined || this.now() - trialStartedAtMs >= TRIAL_TIMEOUT_MS;
  }

  /** Number of consecutive failures of an instance; 0 after a response. */
  consecutiveFailures(instanceId: InstanceId): number {
    return this.states.get(instanceId)?.consecutiveFailures ?? 0;
  }

  /** Selects one of the instances with free slots; undefined if none may be used. */
  select(candidates: readonly Candidate[], options: SelectOptions): Selection | undefined {
    const free = candidates.filter(
      ({ instanceId, freeSlots }) =>
        freeSlots > 0 && this.states.has(instanceId) && !options.excluded?.has(instanceId),
    );
    const trial = options.isOrder ? undefined : this.findTrial(free);
    if (trial !== undefined) return this.toSelection(trial, 'trial');
    const usable = free.filter(({ instanceId }) => this.isUsable(instanceId));
    const chosen = this.pick(usable);
    if (chosen !== undefined) {
      return this.toSelection(chosen, usable.length === 1 ? 'only-candidate' : 'lower-cost');
    }
    const ejected = options.allowsEjected ? this.pick(free) : undefined;
    return ejected && this.toSelection(ejected, 'last-resort');
  }

  /** Records the start of an attempt at the selected instance. */
  begin(selection: Pick<Selection, 'instanceId' | 'isTrial'>): AttemptHandle {
    const { instanceId, isTrial } = selection;
    const state = this.states.get(instanceId);
    if (state === undefined) return { instanceId, end: () => {} };
    const start = state.beginAttempt(this.now());
    const testedEjection = isTrial ? state.ejection : undefined;
    if (testedEjection !== undefined) testedEjection.trialStartedAtMs = this.now();
    const end = (observation: AttemptObservation): void => {
      if (state.endAttempt(start) === undefined) return;
      const isTrialOver = testedEjection !== undefined && state.ejection === testedEjection;
      if (isTrialOver) testedEjection.trialStartedAtMs = undefined;
      // The instance may have been removed during the attempt, or removed and listed again.
      if (this.states.get(instanceId) === state)
        this.handleObservation(state, observation, isTrialOver);
    };
    return { instanceId, end };
  }

  /** Ejection state and latency of all instances, for the status page. */
  listHealth(): InstanceHealth[] {
    return [...this.states.values()].map((state) => ({
      instanceId: state.instanceId,
      latencyMs: state.latencyMs ?? 0,
      inFlight: state.inFlight,
      isEjected: state.ejection !== undefined,
      consecutiveFailures: state.consecutiveFailures,
    }));
  }

  /** Median latency of the service's instances; undefined before the first response. */
  medianLatencyMs(): number | undefined {
    const nowMs = this.now();
    if (this.median === undefined || nowMs - this.median.atMs >= MEDIAN_MAX_AGE_MS) {
      const latenciesMs = [...this.states.values()].flatMap(({ latencyMs }) => latencyMs ?? []);
      this.median = { atMs: nowMs, valueMs: calculateMedian(latenciesMs) };
    }
    return this.median.valueMs;
  }

  private handleObservation(
    state: InstanceState,
    observation: AttemptObservation,
    isTrialOver: boolean,
  ): void {
    switch (observation.kind) {
      case 'answered':
        this.handleResponse(state, observation.latencyMs, isTrialOver);
        return;
      case 'failed':
        this.handleFailure(state, observation.failure, isTrialOver);
        return;
      case 'abandoned':
        return;
      default:
        assertNever(observation);
    }
  }

  private handleResponse(state: InstanceState, latencyMs: number, isTrialOver: boolean): void {
    // The latency from before the ejection would eject the instance again at once.
    if (isTrialOver) state.reset();
    state.recordResponse(latencyMs, this.now(), this.isSlow(latencyMs));
    const { samples, consecutiveSlow } = state;
    const isSlowSeries = samples >= MIN_LATENCY_SAMPLES && consecutiveSlow >= MIN_CONSECUTIVE_SLOW;
    if ((isTrialOver || isSlowSeries) && this.isSlow(state.latencyMs!)) this.eject(state, 'slow');
    else if (isTrialOver) this.readmit(state, 'trial-succeeded');
  }

  private handleFailure(state: InstanceState, failure: FailureKind, isTrialOver: boolean): void {
    state.recordFailure(this.now());
    const reachesEjectionLimit = state.consecutiveFailures >= FAILURES_UNTIL_EJECTION[failure];
    if (isTrialOver || reachesEjectionLimit) this.eject(state, failure);
  }

  private isSlow(latencyMs: number): boolean {
    if (this.options.ejectsSlow === false) return false;
    const medianMs = this.medianLatencyMs();
    if (medianMs === undefined) return false;
    return latencyMs > medianMs * SLOW_FACTOR && latencyMs > medianMs + SLOW_MARGIN_MS;
  }

  private eject(state: InstanceState, reason: FailureKind | 'slow'): void {
    const nowMs = this.now();
    const isTrialOver = state.ejection !== undefined && state.ejection.trialAtMs <= nowMs;
    if (state.ejection !== undefined && !isTrialOver) return;
    if (state.ejection === undefined && this.countEjected() >= this.maxEjected()) return;
    const jitter = 1 + EJECTION_JITTER * (2 * this.options.random.next() - 1);
    const intervalMs = state.eject(nowMs, jitter);
    this.options.onEjectionChange?.({
      instanceId: state.instanceId,
      change: 'ejected',
      reason,
      intervalMs,
    });
  }

  private readmit(state: InstanceState, reason: 'trial-succeeded' | 'limit'): void {
    state.readmit();
    const { instanceId } = state;
    this.options.onEjectionChange?.({ instanceId, change: 'readmitted', reason, intervalMs: 0 });
  }

  /** Readmits instances when a smaller service has more ejected ones than the limit. */
  private enforceEjectionLimit(): void {
    for (const state of this.states.values()) {
      if (this.countEjected() <= this.maxEjected()) return;
      if (state.ejection !== undefined) this.readmit(state, 'limit');
    }
  }

  private countEjected(): number {
    let ejected = 0;
    for (const state of this.states.values()) if (state.ejection !== undefined) ejected += 1;
    return ejected;
  }

  private maxEjected(): number {
    return Math.floor(this.states.size / EJECTED_SHARE_DIVISOR);
  }

  private findTrial(free: readonly Candidate[]): Candidate | undefined {
    return free.find(({ instanceId }) => this.isTrialDue(instanceId));
  }

  private pick(candidates: readonly Candidate[]): Candidate | undefined {
    const isBetter = (candidate: Candidate, other: Candidate): boolean =>
      this.calculateCost(candidate) < this.calculateCost(other) * (1 - COST_TOLERANCE);
    return pickByTwoChoices(this.options.random, candidates, isBetter);
  }

  private calculateCost({ instanceId, freeSlots }: Candidate): number {
    const state = this.states.get(instanceId)!;
    const usedShare = state.inFlight / (state.inFlight + freeSlots);
    const failureFactor = state.failureFactor(this.now());
    return this.expectedLatencyMs(instanceId) * (1 + usedShare) * failureFactor;
  }

  private expectedLatencyMs(instanceId: InstanceId): number {
    const usualMs = this.medianLatencyMs() ?? DEFAULT_LATENCY_MS;
    return this.states.get(instanceId)!.expectedLatencyMs(this.now(), usualMs);
  }

  private toSelection({ instanceId }: Candidate, reason: Selection['reason']): Selection {
    const expectedLatencyMs = this.expectedLatencyMs(instanceId);
    return { instanceId, expectedLatencyMs, isTrial: reason === 'trial', reason };
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
