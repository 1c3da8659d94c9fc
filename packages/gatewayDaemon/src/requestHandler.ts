import type { BackendAttempt, BackendRequest } from '@bronzelift/backend-client';
import { assertNever, createLinkedAbort, settlesWithin } from '@bronzelift/common';
import type { Clock, InstanceId, RandomSource, ServiceName } from '@bronzelift/common';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { WeightedSplit, decideRetry, observeAttempt, planHedge } from '@bronzelift/routing';

import {
  ANSWER_MARGIN_MS,
  GOOD_SLOWDOWN,
  HEDGE_HOLD_MS,
  HEDGE_SLOW_FACTOR,
  HOLD_SHARE,
  MAX_TRIED,
  MIN_OFFER_SHARE,
  PROBE_TIMEOUT_MS,
  RETRY_AFTER_MIN_SHARE,
  RETRY_AFTER_TIME_SHARE,
  RETRY_AFTER_WITHOUT_STATE_MS,
  RETRY_HOLD_MS,
  RETURN_PRIORITY,
  SLOW_WORK_UTILIZATION,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { FoundInstance, InstanceFinder, SearchMiss } from './instanceFinder.js';
import type { Prober } from './prober.js';
import { RequestLog } from './requestLog.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import { Work } from './work.js';
import type { CallerRequest, FailureReason, GatewayAnswer, RefusalReason, Route } from './types.js';

/** Parameters of the request path. */
export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly state: ControlState;
  readonly finder: InstanceFinder;
  readonly prober: Prober;
  readonly findService: (name: ServiceName) => ServiceRuntime | undefined;
}

/** A send and how it ended. */
interface Sent {
  readonly attempt: BackendAttempt;
  readonly found: FoundInstance;
}

const isConnectFailure = (reason: string): boolean =>
  reason === 'connect-failed' || reason === 'connect-timeout';

const isServerError = (attempt: BackendAttempt): boolean =>
  attempt.kind === 'answered' && attempt.response.status >= 500;

/** Carries requests to instances: places, sends, repeats, hedges, refuses. */
export class RequestHandler {
  private readonly splits = new WeakMap<Route, WeightedSplit>();

  private readonly requestLog: RequestLog;

  private constructor(private readonly options: RequestHandlerOptions) {
    const { log, state } = options;
    this.requestLog = RequestLog.create(log, () => state.configuration?.version);
  }

  /** Creates the request path. */
  static create(options: RequestHandlerOptions): RequestHandler {
    return new RequestHandler(options);
  }

  /** Answers one request. Never rejects. */
  async handle(request: CallerRequest, host: string | undefined): Promise<GatewayAnswer> {
    const { state, findService } = this.options;
    if (!state.isComplete) return this.refuseWithoutState(request);
    const route = state.routes.find(host, request.path);
    if (route === undefined) {
      this.requestLog.notFound(request, host);
      return { kind: 'not-found' };
    }
    const service = findService(this.splitOf(route).next() ?? '');
    if (service === undefined) return this.refuseWithoutState(request);
    service.retries.addRequest();
    const waitMs = Math.min(request.callerWaitMs, route.timeoutMs);
    const waitedBeforeMs = service.waitedBeforeMs(route, request.callerWaitMs);
    const work = Work.create({
      request,
      route,
      service,
      deadlineAtMs: request.arrivedAtMs + waitMs,
      objectiveAtMs: request.arrivedAtMs + route.latencyObjectiveMs - waitedBeforeMs,
      hasReturned: waitedBeforeMs > 0,
    });
    return this.run(work);
  }

  private splitOf(route: Route): WeightedSplit {
    const known = this.splits.get(route);
    if (known !== undefined) return known;
    const split = WeightedSplit.create(route.parts, this.options.random.next());
    this.splits.set(route, split);
    return split;
  }

  private async run(work: Work): Promise<GatewayAnswer> {
    const { route, request } = work;
    for (;;) {
      const holdMs = work.tried.size === 0 ? route.latencyObjectiveMs * HOLD_SHARE : RETRY_HOLD_MS;
      // Slow work holds its slot for several times as long; under load that slot serves others.
      const acceptsSlow = work.service.utilization < SLOW_WORK_UTILIZATION;
      const found = await this.search(work, holdMs, acceptsSlow);
      if (typeof found === 'string') return this.answerMiss(work, found);
      if (this.isTokenOffer(work)) {
        found.release();
        return this.endWithoutOffer(work);
      }
      const sent = route.isIdempotent
        ? await this.sendWithHedge(work, found)
        : await this.send(work, found, request.signal);
      const answer = this.conclude(work, sent);
      if (answer !== 'retry') return answer;
      this.options.metrics
        .counter('bronzelift_retries_total', { service: work.service.name })
        .increment();
    }
  }

  /** Searches in the order of urgency; a request whose wait is over gets its answer at once. */
  private async search(
    work: Work,
    holdMs: number,
    acceptsSlow: boolean,
  ): Promise<FoundInstance | SearchMiss> {
    const { route, service, request } = work;
    const holdUntilMs = Math.min(this.now() + holdMs, work.deadlineAtMs);
    const search = {
      service,
      route,
      excluded: work.tried,
      objectiveAtMs: work.objectiveAtMs,
      deadlineAtMs: work.deadlineAtMs,
      holdUntilMs,
      acceptsSlow,
      signal: request.signal,
    };
    const priority = (work.hasReturned ? RETURN_PRIORITY : 0) - route.priority;
    return service.searches.add(() => this.options.finder.find(search), { priority });
  }

  /** Whether so little time is left that a send would only pretend to be one. */
  private isTokenOffer({ route, deadlineAtMs }: Work): boolean {
    return deadlineAtMs - this.now() < route.latencyObjectiveMs * MIN_OFFER_SHARE;
  }

  private endWithoutOffer(work: Work): GatewayAnswer {
    return work.mayHaveRun ? this.fail(work, 'timeout') : this.refuse(work, 'expired');
  }

  /** One send on one instance. Never rejects. */
  private async send(work: Work, found: FoundInstance, signal: AbortSignal): Promise<Sent> {
    const { service, route } = work;
    const { instance } = found;
    work.tried.add(instance.id);
    const isTrial = service.selector.isTrialDue(instance.id);
    const handle = service.selector.begin({ instanceId: instance.id, isTrial });
    this.requestLog.sent(work, found, this.now());
    const attempt = await instance.send(
      this.toBackendRequest(work, instance.id),
      route.isIdempotent,
      signal,
    );
    found.release();
    work.noteAttempt(attempt);
    this.observe(work, { attempt, found });
    handle.end(
      isServerError(attempt) && !route.isIdempotent
        ? { kind: 'answered', latencyMs: attempt.durationMs }
        : observeAttempt(attempt),
    );
    return { attempt, found };
  }

  private toBackendRequest(
    { request, deadlineAtMs }: Work,
    expectedInstanceId: InstanceId,
  ): BackendRequest {
    const { clock } = this.options;
    const timeoutMs = Math.max(deadlineAtMs - this.now(), 1);
    return {
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      requestId: request.requestId,
      deadlineAtWallMs: clock.wallMs() + timeoutMs - ANSWER_MARGIN_MS,
      timeoutMs,
      expectedInstanceId,
    };
  }

  /** What an attempt says about load, pace and health of its instance. */
  private observe({ route, service }: Work, { attempt, found }: Sent): void {
    const { instance, slowdown } = found;
    switch (attempt.kind) {
      case 'answered': {
        const { status, load } = attempt.response;
        if (load.inFlight !== undefined) service.observeLoad(instance);
        instance.noteOutcome(status >= 500);
        if (status >= 500) return;
        const usualMs = service.workMs(route) * Math.max(slowdown, 1);
        if (!instance.isCold) instance.speed.observe(attempt.durationMs, usualMs);
        service.observeWork(route, attempt.durationMs, slowdown);
        return;
      }
      case 'refused':
        if (attempt.response.load.inFlight !== undefined) service.observeLoad(instance);
        if (this.isOther(attempt, instance.id)) instance.markReplaced();
        instance.noteOutcome(true);
        return;
      case 'not-sent':
        // A limit of our own or a caller that left says nothing about the instance.
        instance.noteOutcome(isConnectFailure(attempt.reason));
        return;
      case 'failed-after-send':
        if (attempt.reason !== 'cancelled') instance.noteOutcome(true);
        else if (attempt.durationMs > found.expectedMs * HEDGE_SLOW_FACTOR) {
          // A hedge won although this attempt had long enough: the instance may hang.
          instance.noteOutcome(true);
        }
        return;
      case 'too-large':
        return;
      default:
        assertNever(attempt);
    }
  }

  /** Whether another instance refused because it has the address now. */
  // eslint-disable-next-line class-methods-use-this -- kept beside its only use
  private isOther(attempt: BackendAttempt, expectedId: InstanceId): boolean {
    if (attempt.kind !== 'refused') return false;
    const { instanceId } = attempt.response.load;
    return instanceId !== undefined && instanceId !== expectedId;
  }

  /** A second attempt elsewhere when the first takes unusually long; the loser is cancelled. */
  private async sendWithHedge(work: Work, found: FoundInstance): Promise<Sent> {
    const { request, service, route } = work;
    const firstAbort = createLinkedAbort(request.signal);
    const first = this.send(work, found, firstAbort.signal);
    const { checkAfterMs, hedgeAfterMs } = planHedge({
      expectedMs: found.expectedMs,
      workMs: service.workMs(route),
      objectiveLeftMs: work.objectiveAtMs - this.now(),
    });
    const startedAtMs = this.now();
    const mayHedge = (): boolean =>
      work.tried.size < route.maxAttempts &&
      !request.signal.aborted &&
      service.retries.available >= 1;
    if (await settlesWithin(first, checkAfterMs)) return first;
    if (!mayHedge()) return first;
    if (checkAfterMs < hedgeAfterMs && !(await this.hasSlowed(work, found))) {
      const leftMs = startedAtMs + hedgeAfterMs - this.now();
      if (await settlesWithin(first, leftMs)) return first;
      if (!mayHedge()) return first;
    }
    const second = await this.search(work, HEDGE_HOLD_MS, false);
    if (typeof second === 'string') return first;
    const isDone = await settlesWithin(first, 0);
    if (isDone || this.isTokenOffer(work) || !service.retries.take()) {
      second.release();
      return first;
    }
    this.options.metrics.counter('bronzelift_hedges_total', { service: service.name }).increment();
    const secondAbort = createLinkedAbort(request.signal);
    const hedge = this.send(work, second, secondAbort.signal);
    const earlier = await Promise.race([
      first.then((sent) => ({ sent, other: hedge, otherAbort: secondAbort })),
      hedge.then((sent) => ({ sent, other: first, otherAbort: firstAbort })),
    ]);
    const { attempt } = earlier.sent;
    const isAnswer = attempt.kind === 'answered' && !isServerError(attempt);
    if (!isAnswer) return earlier.other;
    earlier.otherAbort.abort();
    return earlier.sent;
  }

  /** Whether the instance of an attempt works slowly now, or does not say. */
  private async hasSlowed({ service }: Work, { instance }: FoundInstance): Promise<boolean> {
    const probe = this.options.prober.probe(service, instance);
    if (!(await settlesWithin(probe, PROBE_TIMEOUT_MS))) return true;
    return (instance.report?.slowdown ?? 1) > GOOD_SLOWDOWN;
  }

  /** Decides what follows an attempt. */
  private conclude(work: Work, { attempt, found }: Sent): GatewayAnswer | 'retry' {
    const { request, route, service } = work;
    const hasAttempts = work.sends < route.maxAttempts && work.tried.size < MAX_TRIED;
    const isRepeatable = isServerError(attempt) && route.isIdempotent && hasAttempts;
    const outcome = isRepeatable ? ({ kind: 'failed-after-send' } as const) : attempt;
    const decision = decideRetry(outcome, {
      isOrder: !route.isIdempotent,
      mayHaveRun: work.mayHaveRun,
      remainingMs: work.deadlineAtMs - this.now(),
      expectedLatencyMs: service.workMs(route),
      hasAlternative: hasAttempts,
      isCallerPresent: !request.signal.aborted,
      takeRetryToken: () => service.retries.take(),
    });
    this.requestLog.ended(work, attempt, found, decision.kind);
    switch (decision.kind) {
      case 'retry':
        return 'retry';
      case 'pass-answer':
        return this.pass(work, attempt);
      case 'answer-not-run':
        return this.refuse(work, 'shed');
      case 'answer-unknown':
        if (isRepeatable) return this.pass(work, attempt);
        return this.fail(work, this.explainFailure(work, attempt));
      default:
        return assertNever(decision);
    }
  }

  // eslint-disable-next-line class-methods-use-this -- kept beside its only use
  private explainFailure({ request }: Work, attempt: BackendAttempt): FailureReason {
    if (request.signal.aborted) return 'caller-gone';
    if (attempt.kind === 'too-large') return 'too-large';
    const isTimeout = attempt.kind === 'failed-after-send' && attempt.reason === 'timeout';
    return isTimeout ? 'timeout' : 'instance-failed';
  }

  private pass(work: Work, attempt: BackendAttempt): GatewayAnswer {
    if (attempt.kind !== 'answered') return this.fail(work, 'instance-failed');
    const { status, headers, body } = attempt.response;
    this.count(work, status >= 500 ? 'instance-error' : 'answered');
    return { kind: 'answered', status, headers, body };
  }

  private answerMiss(work: Work, miss: SearchMiss): GatewayAnswer {
    if (work.mayHaveRun) return this.fail(work, 'instance-failed');
    switch (miss) {
      case 'caller-gone':
        return this.fail(work, 'caller-gone');
      case 'no-instance':
      case 'overloaded':
        return this.refuse(work, miss);
      default:
        return assertNever(miss);
    }
  }

  /** Refuses a request that no instance has run, with a time at which it may find a slot. */
  private refuse(work: Work, reason: RefusalReason): GatewayAnswer {
    const { route, service } = work;
    const workMs = service.workMs(route);
    const predictedWaitMs = route.latencyObjectiveMs * RETRY_AFTER_MIN_SHARE;
    const leftMs = Math.max(work.deadlineAtMs - this.now(), 0);
    const pacedMs = service.refusals.refuse(predictedWaitMs, workMs / this.countSlots(service));
    const retryAfterMs = Math.min(pacedMs, leftMs * RETRY_AFTER_TIME_SHARE);
    this.requestLog.refused(work, reason, retryAfterMs, this.now());
    this.count(work, `refused-${reason}`);
    return { kind: 'refused', reason, retryAfterMs };
  }

  private fail(work: Work, reason: FailureReason): GatewayAnswer {
    const { lastAnswer } = work;
    // An instance's own failure tells the caller more than that there was no other instance.
    if (lastAnswer !== undefined) return this.pass(work, lastAnswer);
    this.requestLog.failed(work, reason, this.now());
    this.count(work, `failed-${reason}`);
    return { kind: 'failed', reason };
  }

  private refuseWithoutState(request: CallerRequest): GatewayAnswer {
    this.requestLog.withoutState(request);
    const retryAfterMs = RETRY_AFTER_WITHOUT_STATE_MS * (1 + this.options.random.next());
    return { kind: 'refused', reason: 'no-state', retryAfterMs };
  }

  // eslint-disable-next-line class-methods-use-this -- kept beside its only use
  private countSlots(service: ServiceRuntime): number {
    let slots = 0;
    for (const { record } of service.instances) slots += record.slots;
    return Math.max(slots, 1);
  }

  private count({ request, route, service }: Work, outcome: string): void {
    const { metrics } = this.options;
    const labels = { service: service.name, outcome };
    metrics.counter('bronzelift_requests_total', labels).increment();
    metrics
      .histogram('bronzelift_request_ms', { service: service.name, route: route.name })
      .recordMs(this.now() - request.arrivedAtMs);
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
