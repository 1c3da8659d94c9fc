import type { BackendAttempt, BackendRequest } from '@bronzelift/backend-client';
import { assertNever, createLinkedAbort, settlesWithin } from '@bronzelift/common';
import type { Clock, InstanceId, RandomSource, ServiceName } from '@bronzelift/common';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { WeightedSplit, decideRetry, toAttemptObservation, planHedge } from '@bronzelift/routing';

import {
  RESPONSE_MARGIN_MS,
  MAX_GOOD_SLOWDOWN,
  HEDGE_SEARCH_MS,
  HEDGE_SLOW_FACTOR,
  SEARCH_TIME_SHARE,
  MAX_TRIED_INSTANCES,
  MIN_REMAINING_SHARE,
  PROBE_WAIT_MS,
  QUARANTINE_RETRY_AFTER_MS,
  RETRY_AFTER_MIN_SHARE,
  RETRY_AFTER_MAX_SHARE,
  RETRY_AFTER_WITHOUT_STATE_MS,
  RETRY_SEARCH_MS,
  CALLER_RETRY_PRIORITY_BOOST,
  MAX_SLOW_INSTANCE_UTILIZATION,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { CrashGuard } from './crashGuard.js';
import type { FoundInstance, InstanceFinder, SearchFailure } from './instanceFinder.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { Prober } from './prober.js';
import { RequestLog } from './requestLog.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { RequestForwarder } from './requestForwarder.js';
import { RequestContext } from './requestContext.js';
import type { CallerRequest, FailureReason, GatewayAnswer, RefusalReason, Route } from './types.js';

/** Dependencies of a RequestHandler. */
export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly state: ControlState;
  readonly finder: InstanceFinder;
  readonly prober: Prober;
  readonly crashes: CrashGuard;
  readonly forwarder: RequestForwarder;
  /** Monotonic time until which requests can be handled; Infinity unless a stop is in progress. */
  readonly servesUntilMs: () => number;
  readonly findService: (name: ServiceName) => ServiceRuntime | undefined;
}

/** An attempt with the instance that it was sent to. */
interface EndedAttempt {
  readonly attempt: BackendAttempt;
  readonly found: FoundInstance;
}

const MS_PER_S = 1_000;

const isConnectFailure = (reason: string): boolean =>
  reason === 'connect-failed' || reason === 'connect-timeout';

/** Whether the connection of an attempt was lost before the whole response had arrived. */
const isConnectionLost = (attempt: BackendAttempt): boolean =>
  attempt.kind === 'failed-after-send' &&
  (attempt.reason === 'reset' || attempt.reason === 'cut-short');

const isServerError = (attempt: BackendAttempt): boolean =>
  attempt.kind === 'answered' && attempt.response.status >= 500;

/** Handles callers' requests: selects an instance, sends, retries and hedges, or refuses. */
export class RequestHandler {
  private readonly splits = new WeakMap<Route, WeightedSplit>();

  private readonly requestLog: RequestLog;

  private constructor(private readonly options: RequestHandlerOptions) {
    const { log, state } = options;
    this.requestLog = RequestLog.create(log, () => state.configuration?.version);
  }

  static create(options: RequestHandlerOptions): RequestHandler {
    return new RequestHandler(options);
  }

  /** Handles one request from route lookup to response. Never rejects. */
  async handle(request: CallerRequest, host: string | undefined): Promise<GatewayAnswer> {
    const { state, findService } = this.options;
    if (!state.isComplete) return this.refuseUnknownState(request);
    const route = state.routes.find(host, request.path);
    if (route === undefined) {
      this.requestLog.notFound(request, host);
      return { kind: 'not-found' };
    }
    const service = findService(this.selectService(route, request));
    if (service === undefined) return this.refuseUnknownState(request);
    // The member that received a forwarded request from its caller has counted it.
    if (request.forwardedService === undefined) service.retries.recordRequest();
    const waitMs = Math.min(request.callerWaitMs, route.timeoutMs);
    const earlierWaitMs = service.estimateEarlierWaitMs(route, request.callerWaitMs);
    const context = RequestContext.create({
      request,
      route,
      service,
      deadlineAtMs: request.arrivedAtMs + waitMs,
      objectiveAtMs: request.arrivedAtMs + route.latencyObjectiveMs - earlierWaitMs,
      isCallerRetry: earlierWaitMs > 0,
    });
    if (this.isQuarantined(context)) return this.answerQuarantined(context);
    if (this.outlivesProcess(context)) return this.refuseWhileStopping(context);
    return this.run(context);
  }

  /** A forwarded request keeps the service that its first member has selected. */
  private selectService(route: Route, { forwardedService }: CallerRequest): ServiceName {
    const isPart = route.parts.some(({ service }) => service === forwardedService);
    if (forwardedService !== undefined && isPart) return forwardedService;
    return this.findOrCreateSplit(route).next() ?? '';
  }

  private findOrCreateSplit(route: Route): WeightedSplit {
    const existing = this.splits.get(route);
    if (existing !== undefined) return existing;
    const split = WeightedSplit.create(route.parts, this.options.random.next());
    this.splits.set(route, split);
    return split;
  }

  private async run(context: RequestContext): Promise<GatewayAnswer> {
    const { route, request } = context;
    if (context.service.reachabilityState === 'unreached') {
      const answer = await this.tryForward(context);
      if (answer !== undefined) return answer;
    }
    for (;;) {
      const searchMs =
        context.triedInstances.size === 0
          ? route.latencyObjectiveMs * SEARCH_TIME_SHARE
          : RETRY_SEARCH_MS;
      // A request at a slow instance occupies its slot several times as long; under load that slot
      // is left to other requests.
      const acceptsSlow = context.service.utilization < MAX_SLOW_INSTANCE_UTILIZATION;
      const found = await this.search(context, searchMs, acceptsSlow);
      if (typeof found === 'string') {
        return (await this.tryForward(context)) ?? this.answerSearchFailure(context, found);
      }
      // Another entry VM may have reported a crash during the search.
      if (this.isQuarantined(context)) {
        found.release();
        return this.answerQuarantined(context);
      }
      if (this.hasTooLittleTime(context)) {
        found.release();
        return this.endWithoutSend(context);
      }
      // A stop may have begun during the search.
      if (!context.mayHaveRun && this.outlivesProcess(context)) {
        found.release();
        return this.refuseWhileStopping(context);
      }
      const ended = route.isIdempotent
        ? await this.sendWithHedge(context, found)
        : await this.send(context, found, request.signal);
      if (ended.attempt.kind === 'not-sent') {
        const forwarded = await this.tryForward(context);
        if (forwarded !== undefined) return forwarded;
      }
      const answer = this.decideAfterAttempt(context, ended);
      if (answer !== 'retry') return answer;
      this.options.metrics
        .counter('bronzelift_retries_total', { service: context.service.name })
        .increment();
    }
  }

  /**
   * Forwards a request that certainly has not run to a member that reaches the instances; undefined
   * if this entry VM reaches them or no other one can handle the request.
   */
  private async tryForward(context: RequestContext): Promise<GatewayAnswer | undefined> {
    const { request, service, isForwarded, sentAttemptCount } = context;
    if (isForwarded || sentAttemptCount > 0 || request.signal.aborted) return undefined;
    if (service.reachabilityState === 'reached') return undefined;
    const outcome = await this.options.forwarder.forward(context);
    switch (outcome.kind) {
      case 'answered':
        this.count(context, `forwarded-${outcome.answer.kind}`);
        return outcome.answer;
      case 'unknown':
        context.recordUnknownForward();
        return this.fail(context, outcome.isTimeout ? 'timeout' : 'instance-failed');
      case 'not-sent':
        return undefined;
      default:
        return assertNever(outcome);
    }
  }

  private isQuarantined({ fingerprint }: RequestContext): boolean {
    return this.options.crashes.judge(fingerprint) === 'quarantined';
  }

  private answerQuarantined(context: RequestContext): GatewayAnswer {
    if (context.mayHaveRun) return this.fail(context, 'instance-failed');
    this.requestLog.refused(context, 'quarantined', QUARANTINE_RETRY_AFTER_MS, this.now());
    this.count(context, 'refused-quarantined');
    return {
      kind: 'refused',
      reason: 'quarantined',
      retryAfterMs: QUARANTINE_RETRY_AFTER_MS,
    };
  }

  /** Whether this entry VM may end while an instance still works on the request. */
  private outlivesProcess({ deadlineAtMs }: RequestContext): boolean {
    return deadlineAtMs > this.options.servesUntilMs();
  }

  /** Refuses a request that another entry VM can serve at once. */
  private refuseWhileStopping(context: RequestContext): GatewayAnswer {
    this.requestLog.refused(context, 'stopping', 0, this.now());
    this.count(context, 'refused-stopping');
    return { kind: 'refused', reason: 'stopping', retryAfterMs: 0 };
  }

  /** Searches for an instance; searches that have to queue run in order of priority. */
  private async search(
    context: RequestContext,
    searchMs: number,
    acceptsSlow: boolean,
  ): Promise<FoundInstance | SearchFailure> {
    const { route, service, request } = context;
    const searchUntilMs = Math.min(this.now() + searchMs, context.deadlineAtMs);
    const search = {
      service,
      route,
      excluded: context.triedInstances,
      objectiveAtMs: context.objectiveAtMs,
      deadlineAtMs: context.deadlineAtMs,
      searchUntilMs,
      acceptsSlow,
      signal: request.signal,
    };
    const priority = (context.isCallerRetry ? CALLER_RETRY_PRIORITY_BOOST : 0) - route.priority;
    return service.searches.add(() => this.options.finder.find(search), { priority });
  }

  /** Whether too little time is left for a useful response. */
  private hasTooLittleTime({ route, deadlineAtMs }: RequestContext): boolean {
    return deadlineAtMs - this.now() < route.latencyObjectiveMs * MIN_REMAINING_SHARE;
  }

  private endWithoutSend(context: RequestContext): GatewayAnswer {
    return context.mayHaveRun ? this.fail(context, 'timeout') : this.refuse(context, 'expired');
  }

  /** Makes one attempt at one instance. Never rejects. */
  private async send(
    context: RequestContext,
    found: FoundInstance,
    signal: AbortSignal,
  ): Promise<EndedAttempt> {
    const { service, route } = context;
    const { instance } = found;
    context.triedInstances.add(instance.id);
    const isTrial = service.selector.isTrialDue(instance.id);
    const handle = service.selector.begin({ instanceId: instance.id, isTrial });
    this.requestLog.sent(context, found, this.now());
    if (instance.maxRequestsPerS !== undefined) {
      this.options.metrics
        .counter('bronzelift_limited_arrivals_total', { service: service.name, kind: 'request' })
        .increment();
    }
    const attempt = await instance.send(
      this.toBackendRequest(context, instance.id),
      route.isIdempotent,
      signal,
    );
    found.release();
    context.recordAttempt(attempt);
    if (attempt.kind === 'answered' && !isServerError(attempt)) {
      this.options.crashes.recordCompletion(context.fingerprint);
    }
    if (isConnectionLost(attempt) && (await instance.hasEnded())) {
      this.recordInstanceEnd(context, instance);
    }
    this.recordOutcome(context, { attempt, found });
    handle.end(
      isServerError(attempt) && !route.isIdempotent
        ? { kind: 'answered', latencyMs: attempt.durationMs }
        : toAttemptObservation(attempt),
    );
    return { attempt, found };
  }

  /** Records that an instance has ended while it ran a request. */
  private recordInstanceEnd(context: RequestContext, instance: InstanceRuntime): void {
    const { service, fingerprint } = context;
    this.requestLog.instanceEnded(context, instance.id, fingerprint);
    this.options.crashes.recordCrash(fingerprint, instance);
    this.options.metrics
      .counter('bronzelift_runs_ended_by_crash_total', { service: service.name })
      .increment();
  }

  private toBackendRequest(
    { request, deadlineAtMs }: RequestContext,
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
      deadlineAtWallMs: clock.wallMs() + timeoutMs - RESPONSE_MARGIN_MS,
      timeoutMs,
      expectedInstanceId,
    };
  }

  /** Updates load, slowdown and failure share from the outcome of an attempt. */
  private recordOutcome(
    { route, service }: RequestContext,
    { attempt, found }: EndedAttempt,
  ): void {
    const { instance, slowdown } = found;
    switch (attempt.kind) {
      case 'answered': {
        const { status, load } = attempt.response;
        if (load.inFlight !== undefined) service.recordLoad(instance);
        instance.recordOutcome(status >= 500);
        if (status >= 500) return;
        const usualMs = service.estimateWorkMs(route) * Math.max(slowdown, 1);
        if (!instance.isCold) instance.learnedSlowdown.recordResponse(attempt.durationMs, usualMs);
        service.recordWork(route, attempt.durationMs, slowdown);
        return;
      }
      case 'refused':
        if (attempt.response.load.inFlight !== undefined) service.recordLoad(instance);
        if (this.isFromOtherInstance(attempt, instance.id)) instance.markReplaced();
        instance.recordOutcome(true);
        return;
      case 'not-sent':
        // A limit of this process or a caller that disconnected is no evidence against the
        // instance.
        instance.recordOutcome(isConnectFailure(attempt.reason));
        return;
      case 'failed-after-send':
        if (attempt.reason !== 'cancelled') instance.recordOutcome(true);
        else if (attempt.durationMs > found.expectedMs * HEDGE_SLOW_FACTOR) {
          // The other attempt received its response first although this one had enough time: the
          // instance of this one may hang.
          instance.recordOutcome(true);
        }
        return;
      case 'too-large':
        if (!attempt.isLengthDeclared) instance.recordOutcome(true);
        return;
      default:
        assertNever(attempt);
    }
  }

  /** Whether the refusal came from another instance that now has the address. */
  // eslint-disable-next-line class-methods-use-this -- placed next to its caller
  private isFromOtherInstance(attempt: BackendAttempt, expectedId: InstanceId): boolean {
    if (attempt.kind !== 'refused') return false;
    const { instanceId } = attempt.response.load;
    return instanceId !== undefined && instanceId !== expectedId;
  }

  /**
   * Sends a hedged request to another instance when the first attempt takes unusually long, and
   * cancels the slower one.
   */
  private async sendWithHedge(
    context: RequestContext,
    found: FoundInstance,
  ): Promise<EndedAttempt> {
    const { request, service, route } = context;
    const firstAbort = createLinkedAbort(request.signal);
    const first = this.send(context, found, firstAbort.signal);
    const { checkAfterMs, hedgeAfterMs } = planHedge({
      expectedMs: found.expectedMs,
      workMs: service.estimateWorkMs(route),
      objectiveLeftMs: context.objectiveAtMs - this.now(),
    });
    const startedAtMs = this.now();
    const mayHedge = (): boolean =>
      context.triedInstances.size < route.maxAttempts &&
      !request.signal.aborted &&
      service.retries.available >= 1;
    if (await settlesWithin(first, checkAfterMs)) return first;
    if (!mayHedge()) return first;
    if (checkAfterMs < hedgeAfterMs && !(await this.isSlowNow(context, found))) {
      const leftMs = startedAtMs + hedgeAfterMs - this.now();
      if (await settlesWithin(first, leftMs)) return first;
      if (!mayHedge()) return first;
    }
    const second = await this.search(context, HEDGE_SEARCH_MS, false);
    if (typeof second === 'string') return first;
    const hasFirstEnded = await settlesWithin(first, 0);
    if (hasFirstEnded || this.hasTooLittleTime(context) || !service.retries.takeToken()) {
      second.release();
      return first;
    }
    this.options.metrics.counter('bronzelift_hedges_total', { service: service.name }).increment();
    const secondAbort = createLinkedAbort(request.signal);
    const hedge = this.send(context, second, secondAbort.signal);
    const winner = await Promise.race([
      first.then((ended) => ({ ended, other: hedge, otherAbort: secondAbort })),
      hedge.then((ended) => ({ ended, other: first, otherAbort: firstAbort })),
    ]);
    const { attempt } = winner.ended;
    const isUsableResponse = attempt.kind === 'answered' && !isServerError(attempt);
    if (!isUsableResponse) return winner.other;
    winner.otherAbort.abort();
    return winner.ended;
  }

  /** Whether the instance of an attempt is slow now, or does not respond to a probe. */
  private async isSlowNow(
    { service }: RequestContext,
    { instance }: FoundInstance,
  ): Promise<boolean> {
    const probe = this.options.prober.probe(service, instance);
    if (!(await settlesWithin(probe, PROBE_WAIT_MS))) return true;
    return (instance.report?.slowdown ?? 1) > MAX_GOOD_SLOWDOWN;
  }

  /** Decides whether an attempt's outcome is returned to the caller or the request is retried. */
  private decideAfterAttempt(
    context: RequestContext,
    { attempt, found }: EndedAttempt,
  ): GatewayAnswer | 'retry' {
    const { request, route, service } = context;
    const { crashes } = this.options;
    const hasAttemptsLeft =
      context.sentAttemptCount < route.maxAttempts &&
      context.triedInstances.size < MAX_TRIED_INSTANCES &&
      (!isConnectionLost(attempt) || crashes.judge(context.fingerprint) === 'unsuspected');
    const isRetryable = isServerError(attempt) && route.isIdempotent && hasAttemptsLeft;
    const outcome = isRetryable ? ({ kind: 'failed-after-send' } as const) : attempt;
    const decision = decideRetry(outcome, {
      isOrder: !route.isIdempotent,
      mayHaveRun: context.mayHaveRun,
      remainingMs: context.deadlineAtMs - this.now(),
      expectedLatencyMs: service.estimateWorkMs(route),
      hasAlternative: hasAttemptsLeft,
      isCallerPresent: !request.signal.aborted,
      takeRetryToken: () => service.retries.takeToken(),
    });
    this.requestLog.ended(context, attempt, found, decision.kind);
    switch (decision.kind) {
      case 'retry':
        return 'retry';
      case 'pass-answer':
        return this.passResponse(context, attempt);
      case 'answer-not-run':
        return this.refuse(context, 'shed');
      case 'answer-unknown':
        if (isRetryable) return this.passResponse(context, attempt);
        return this.fail(context, this.explainFailure(context, attempt));
      default:
        return assertNever(decision);
    }
  }

  // eslint-disable-next-line class-methods-use-this -- placed next to its caller
  private explainFailure({ request }: RequestContext, attempt: BackendAttempt): FailureReason {
    if (request.signal.aborted) return 'caller-gone';
    if (attempt.kind === 'too-large') return 'too-large';
    const isTimeout = attempt.kind === 'failed-after-send' && attempt.reason === 'timeout';
    return isTimeout ? 'timeout' : 'instance-failed';
  }

  private passResponse(context: RequestContext, attempt: BackendAttempt): GatewayAnswer {
    if (attempt.kind !== 'answered') return this.fail(context, 'instance-failed');
    const { status, headers, body } = attempt.response;
    this.count(context, status >= 500 ? 'instance-error' : 'answered');
    return { kind: 'answered', status, headers, body };
  }

  private answerSearchFailure(context: RequestContext, failure: SearchFailure): GatewayAnswer {
    if (context.mayHaveRun) return this.fail(context, 'instance-failed');
    switch (failure) {
      case 'caller-gone':
        return this.fail(context, 'caller-gone');
      case 'no-instance':
      case 'overloaded':
        return this.refuse(context, failure);
      default:
        return assertNever(failure);
    }
  }

  /**
   * Refuses a request that no instance has run, with a Retry-After after which a slot may be free.
   */
  private refuse(context: RequestContext, reason: RefusalReason): GatewayAnswer {
    const { route, service } = context;
    const workMs = service.estimateWorkMs(route);
    const predictedWaitMs = route.latencyObjectiveMs * RETRY_AFTER_MIN_SHARE;
    const leftMs = Math.max(context.deadlineAtMs - this.now(), 0);
    const spreadRetryAfterMs = service.refusals.refuse(
      predictedWaitMs,
      workMs / this.countSlots(service, workMs),
    );
    const retryAfterMs = Math.min(spreadRetryAfterMs, leftMs * RETRY_AFTER_MAX_SHARE);
    this.requestLog.refused(context, reason, retryAfterMs, this.now());
    this.count(context, `refused-${reason}`);
    return { kind: 'refused', reason, retryAfterMs };
  }

  private fail(context: RequestContext, reason: FailureReason): GatewayAnswer {
    const { lastResponse } = context;
    // The error response of an instance tells the caller more than a generic failure.
    if (lastResponse !== undefined) return this.passResponse(context, lastResponse);
    this.requestLog.failed(context, reason, this.now());
    this.count(context, `failed-${reason}`);
    return { kind: 'failed', reason };
  }

  private refuseUnknownState(request: CallerRequest): GatewayAnswer {
    this.requestLog.withoutState(request);
    const retryAfterMs = RETRY_AFTER_WITHOUT_STATE_MS * (1 + this.options.random.next());
    return { kind: 'refused', reason: 'no-state', retryAfterMs };
  }

  /** Slots of a service; an instance that limits its requests keeps only some of its slots busy. */
  // eslint-disable-next-line class-methods-use-this -- placed next to its caller
  private countSlots(service: ServiceRuntime, workMs: number): number {
    let slots = 0;
    for (const { record, maxRequestsPerS = Infinity } of service.instances) {
      slots += Math.min(record.slots, (maxRequestsPerS * workMs) / MS_PER_S);
    }
    return Math.max(slots, 1);
  }

  private count({ request, route, service }: RequestContext, outcome: string): void {
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
