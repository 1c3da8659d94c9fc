import type { BackendAttempt, BackendRequest } from '@bronzelift/backend-client';
import type { Clock, FailureDomainId, Incarnation, RandomSource, VmId } from '@bronzelift/common';
import { assertNever, createLinkedAbort, settlesWithin } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { decideRetry } from '@bronzelift/routing';

import { spreadRetryAfterMs } from './callerRequest.js';
import { MAX_ATTEMPTS, MAX_FORWARDS, SLOT_POLL_INTERVAL_MS } from './constants.js';
import type { ForwardTarget, PeerForwarder } from './peerForwarder.js';
import type { SendGate } from './sendGate.js';
import type { ReservedSlot, ServiceRuntime } from './serviceRuntime.js';
import type { OrderSendGuard, WorkRequest, WorkResult } from './types.js';

/** A member that requests can be forwarded to. */
export interface ReachablePeer extends ForwardTarget {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly failureDomainId: FailureDomainId;
}

/** Clock, shared components and lookups that a request runner uses. */
export interface RequestRunnerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly gate: SendGate;
  readonly forwarder: PeerForwarder;
  readonly findService: (name: string) => ServiceRuntime | undefined;
  readonly findPeer: (vmId: VmId) => ReachablePeer | undefined;
}

const ALLOW_ALL_SENDS: OrderSendGuard = { beforeSend: () => true, recordNotRun: () => {} };

const toResult = (attempt: BackendAttempt): WorkResult => {
  switch (attempt.kind) {
    case 'answered': {
      const { status, headers, body } = attempt.response;
      return { kind: 'answered', status, headers, body };
    }
    case 'too-large':
      return { kind: 'unknown', code: 'answer-too-large' };
    case 'failed-after-send':
      return { kind: 'unknown', code: attempt.reason === 'timeout' ? 'timeout' : 'backend-failed' };
    case 'refused':
    case 'not-sent':
      return { kind: 'not-run', code: 'overloaded', retryAfterMs: 0 };
    default:
      return assertNever(attempt);
  }
};

/** Runs requests on slots of this entry VM, at a peer, or after waiting in the queue. */
export class RequestRunner {
  private constructor(private readonly options: RequestRunnerOptions) {}

  static create(options: RequestRunnerOptions): RequestRunner {
    return new RequestRunner(options);
  }

  /** Runs one request; never rejects. The guard of an order is checked before each send. */
  async run(work: WorkRequest, guard: OrderSendGuard = ALLOW_ALL_SENDS): Promise<WorkResult> {
    const service = this.options.findService(work.service);
    if (!service) return this.refuse('unknown-service');
    service.retryBudget.recordRequest();
    service.hedgeBudget.recordRequest();
    const closedReason = this.options.gate.closedReason();
    const hasOwnSlot = !closedReason && service.freeSlots(work.isOrder) > 0;
    if (!hasOwnSlot && work.mayForward) {
      const forwarded = await this.forward(work, service, guard);
      if (forwarded) return forwarded;
    }
    if (closedReason) {
      this.options.log.warn(LogComponent.admit, 'refused: requests may not be sent now', {
        request: work.requestId,
        reason: closedReason,
      });
      return this.refuse('not-ready');
    }
    if (!service.hasAvailableInstance) return this.refuse('no-capacity');
    if (work.isOrder || !work.mayForward) return this.admit(work, service, guard);
    return this.runWithSpillover(work, service);
  }

  private refuse(code: string): WorkResult {
    return { kind: 'not-run', code, retryAfterMs: spreadRetryAfterMs(this.options.random) };
  }

  /**
   * Runs a lookup here and, if there is no response after half of its time and the retry budget
   * allows a retry, also at a peer. All connections to a failure domain can become silent at once,
   * and waiting for one of them would use up all of the time. The first attempt continues, because
   * its request may only be slow.
   */
  private async runWithSpillover(work: WorkRequest, service: ServiceRuntime): Promise<WorkResult> {
    const localAbort = createLinkedAbort(work.signal);
    const local = this.admit({ ...work, signal: localAbort.signal }, service, ALLOW_ALL_SENDS);
    const halfTimeMs = (work.deadlineAtMs - this.options.clock.monotonicMs()) / 2;
    if (await settlesWithin(local, halfTimeMs)) return local;
    if (!service.retryBudget.takeToken()) return local;
    const peerAbort = createLinkedAbort(work.signal);
    const peer = this.forward({ ...work, signal: peerAbort.signal }, service, ALLOW_ALL_SENDS);
    const earlier = await Promise.race([
      local.then((result) => ({ result, otherAbort: peerAbort })),
      peer.then((result) => ({ result, otherAbort: localAbort })),
    ]);
    if (earlier.result?.kind === 'answered') {
      earlier.otherAbort.abort();
      return earlier.result;
    }
    const results = [await local, await peer].filter((result) => result !== undefined);
    // The result is not-run only if neither of the two may have run.
    return (
      results.find(({ kind }) => kind === 'answered') ??
      results.find(({ kind }) => kind !== 'not-run') ??
      results[0]!
    );
  }

  private async admit(
    work: WorkRequest,
    service: ServiceRuntime,
    guard: OrderSendGuard,
  ): Promise<WorkResult> {
    const admission = await service.queue.admit(
      {
        isOrder: work.isOrder,
        deadlineAtMs: work.deadlineAtMs,
        signal: work.signal,
        isImmediate: !work.mayForward && !work.mayWait,
      },
      () => this.attemptUntilDone(work, service, guard),
    );
    switch (admission.kind) {
      case 'completed':
        return admission.value;
      case 'failed':
        return { kind: 'unknown', code: 'backend-failed' };
      case 'not-run': {
        const code = admission.code === 'deadline-exceeded' ? 'deadline-passed' : admission.code;
        this.options.log.info(LogComponent.admit, 'refused', {
          request: work.requestId,
          service: work.service,
          code,
          retryAfterMs: Math.round(admission.retryAfterMs),
        });
        return { kind: 'not-run', code, retryAfterMs: admission.retryAfterMs };
      }
      default:
        return assertNever(admission);
    }
  }

  /** Tries instances until the request has a response, within its deadline and the retry budget. */
  private async attemptUntilDone(
    work: WorkRequest,
    service: ServiceRuntime,
    guard: OrderSendGuard,
  ): Promise<WorkResult> {
    const tried = new Set<string>();
    let mayHaveRun = false;
    for (let attempts = 1; ; attempts++) {
      const chosen = await this.acquireSlot(work, service, tried);
      if (!chosen)
        return mayHaveRun ? { kind: 'unknown', code: 'timeout' } : this.refuse('overloaded');
      tried.add(chosen.reservation.runtime.id);
      const attempt = work.isOrder
        ? await this.attempt(work, service, chosen, guard, work.signal)
        : await this.makeHedgedAttempt(work, service, chosen, tried);
      if (attempt === 'closed') {
        return mayHaveRun ? { kind: 'unknown', code: 'timeout' } : this.refuse('not-ready');
      }
      mayHaveRun ||= attempt.kind === 'failed-after-send' || attempt.kind === 'too-large';
      const decision = decideRetry(attempt, {
        isOrder: work.isOrder,
        mayHaveRun,
        remainingMs: work.deadlineAtMs - this.options.clock.monotonicMs(),
        expectedLatencyMs: chosen.expectedLatencyMs,
        hasAlternative: attempts < MAX_ATTEMPTS,
        isCallerPresent: !work.signal.aborted,
        takeRetryToken: () => service.retryBudget.takeToken(),
      });
      switch (decision.kind) {
        case 'pass-answer':
          return toResult(attempt);
        case 'retry':
          this.options.metrics
            .counter('bronzelift_retries_total', { service: work.service })
            .increment();
          continue;
        case 'answer-unknown':
          return toResult(attempt).kind === 'unknown'
            ? toResult(attempt)
            : { kind: 'unknown', code: 'backend-failed' };
        case 'answer-not-run':
          return this.refuse('overloaded');
        default:
          return assertNever(decision);
      }
    }
  }

  private async acquireSlot(
    work: WorkRequest,
    service: ServiceRuntime,
    tried: ReadonlySet<string>,
  ): Promise<ReservedSlot | undefined> {
    for (;;) {
      const chosen =
        service.reserveSlot(work.isOrder, tried) ??
        (tried.size > 0 ? service.reserveSlot(work.isOrder, new Set()) : undefined);
      if (chosen) return chosen;
      const remainingMs = work.deadlineAtMs - this.options.clock.monotonicMs();
      if (remainingMs <= 0 || work.signal.aborted) return undefined;
      await service.waitForSlot(Math.min(remainingMs, SLOT_POLL_INTERVAL_MS));
    }
  }

  /** Makes one attempt on a reserved slot; returns `closed` if the request must not be sent. */
  private async attempt(
    work: WorkRequest,
    service: ServiceRuntime,
    chosen: ReservedSlot,
    guard: OrderSendGuard,
    signal: AbortSignal,
  ): Promise<BackendAttempt | 'closed'> {
    let endedAttempt: BackendAttempt | undefined;
    try {
      const refusal = await chosen.reservation.runtime.connect(chosen.reservation, signal);
      if (refusal) {
        endedAttempt = {
          kind: 'not-sent',
          reason: 'connect-failed',
          detail: refusal,
          durationMs: 0,
        };
        return endedAttempt;
      }
      // No await between these checks and the write, so that they still hold at the write.
      const sendWindowMs = this.options.gate.remainingMs();
      if (sendWindowMs <= 0) return 'closed';
      if (!chosen.reservation.runtime.maySend(chosen.reservation)) {
        endedAttempt = {
          kind: 'not-sent',
          reason: 'connection-closed',
          detail: 'slot lost',
          durationMs: 0,
        };
        return endedAttempt;
      }
      if (!guard.beforeSend()) return 'closed';
      this.logRoute(work, chosen);
      endedAttempt = await chosen.reservation.runtime.send(
        chosen.reservation,
        this.toBackendRequest(work, sendWindowMs),
        signal,
      );
      if (endedAttempt.kind === 'not-sent' || endedAttempt.kind === 'refused') guard.recordNotRun();
      return endedAttempt;
    } finally {
      service.finish(chosen, endedAttempt);
    }
  }

  /** Makes an attempt for a lookup, and a hedged one at another instance if it is slow. */
  private async makeHedgedAttempt(
    work: WorkRequest,
    service: ServiceRuntime,
    chosen: ReservedSlot,
    tried: Set<string>,
  ): Promise<BackendAttempt | 'closed'> {
    const firstAbort = createLinkedAbort(work.signal);
    const first = this.attempt(work, service, chosen, ALLOW_ALL_SENDS, firstAbort.signal);
    const delayMs = service.hedgeBudget.delayMs();
    if (delayMs === undefined) return first;
    const isDone = await settlesWithin(first, delayMs);
    if (isDone) return first;
    const second =
      service.freeSlots() > 0 && service.hedgeBudget.takeToken()
        ? service.reserveSlot(false, tried)
        : undefined;
    if (!second) return first;
    tried.add(second.reservation.runtime.id);
    this.options.metrics.counter('bronzelift_hedges_total', { service: work.service }).increment();
    const secondAbort = createLinkedAbort(work.signal);
    const hedge = this.attempt(work, service, second, ALLOW_ALL_SENDS, secondAbort.signal);
    return this.raceAttempts(first, firstAbort, hedge, secondAbort);
  }

  /** Returns the attempt that has a response first and cancels the other. */
  // eslint-disable-next-line class-methods-use-this -- kept beside its only use
  private async raceAttempts(
    first: Promise<BackendAttempt | 'closed'>,
    firstAbort: AbortController,
    hedge: Promise<BackendAttempt | 'closed'>,
    hedgeAbort: AbortController,
  ): Promise<BackendAttempt | 'closed'> {
    const isAnswer = (attempt: BackendAttempt | 'closed'): boolean =>
      attempt !== 'closed' && attempt.kind === 'answered';
    const earlier = await Promise.race([
      first.then((attempt) => ({ attempt, other: hedge, otherAbort: hedgeAbort })),
      hedge.then((attempt) => ({ attempt, other: first, otherAbort: firstAbort })),
    ]);
    if (!isAnswer(earlier.attempt)) return earlier.other;
    earlier.otherAbort.abort();
    return earlier.attempt;
  }

  /** Forwards a request to peers with free slots; undefined if none of them ran it. */
  private async forward(
    work: WorkRequest,
    service: ServiceRuntime,
    guard: OrderSendGuard,
  ): Promise<WorkResult | undefined> {
    const excluded = new Set<VmId>();
    const hasNoSlots = service.queue.stats().usableSlots === 0;
    for (let tries = 0; tries < MAX_FORWARDS; tries++) {
      const selection = service.forwardSelector.select(excluded);
      if (!selection) return undefined;
      if (selection.reason === 'unknown-load' && !hasNoSlots) return undefined;
      excluded.add(selection.vmId);
      const peer = this.options.findPeer(selection.vmId);
      if (!peer) continue;
      if (!guard.beforeSend()) return this.refuse('not-ready');
      this.options.log.info(LogComponent.forward, 'forwarded to peer', {
        request: work.requestId,
        service: work.service,
        peer: peer.vmId,
        reason: selection.reason,
      });
      service.forwardSelector.recordForwarded(peer.vmId);
      const { result, freeSlots } = await this.options.forwarder.forward(peer, work, hasNoSlots);
      if (freeSlots !== undefined) service.forwardSelector.report(peer.vmId, freeSlots);
      if (result.kind === 'not-run') {
        guard.recordNotRun();
        if (hasNoSlots && tries === MAX_FORWARDS - 1) return result;
        continue;
      }
      if (result.kind === 'unknown' && !work.isOrder && service.retryBudget.takeToken()) continue;
      return result;
    }
    return undefined;
  }

  private logRoute(work: WorkRequest, chosen: ReservedSlot): void {
    this.options.log.info(LogComponent.route, 'sent to instance', {
      request: work.requestId,
      service: work.service,
      instance: chosen.reservation.runtime.id,
      slot: chosen.reservation.slot,
      reason: chosen.reason,
      expectedMs: Math.round(chosen.expectedLatencyMs),
    });
  }

  private toBackendRequest(work: WorkRequest, sendWindowMs: number): BackendRequest {
    const { clock } = this.options;
    const remainingMs = Math.max(1, work.deadlineAtMs - clock.monotonicMs());
    const timeoutMs = Math.min(remainingMs, sendWindowMs);
    return {
      method: work.method,
      path: work.path,
      headers: work.headers,
      body: work.body,
      requestId: work.requestId,
      deadlineAtWallMs: Math.floor(clock.wallMs() + timeoutMs),
      timeoutMs: remainingMs,
      idempotencyKey: work.idempotencyKey,
      callDepth: work.callDepth + 1,
    };
  }
}
