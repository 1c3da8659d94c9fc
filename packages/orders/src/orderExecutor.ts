import { assertNever, formatMember } from '@bronzelift/common';

import { DEADLINE_GRACE_MS, OrderCode, REFUSAL_RETRY_AFTER_MS } from './constants.js';
import { Attempt } from './orderContext.js';
import { hashRequest, notRun, toStorableAnswer, unknown, unknownFinal } from './utils.js';

import type { AttemptResult, IncarnationState, OrderDependencies } from './orderContext.js';
import type { ReportOutbox } from './reportOutbox.js';
import type {
  CompletionReport,
  OrderAnswer,
  OrderKey,
  OrderRequest,
  RunBasis,
  RunResult,
  SendGuard,
} from './types.js';

type RunPermission =
  | { readonly kind: 'run'; readonly basis: RunBasis }
  | { readonly kind: 'refused'; readonly code: string }
  | { readonly kind: 'taken-over' };

/** Codes for which a retry with the same key fails too, so that the caller gets a new ticket. */
const CODES_WITH_NEW_TICKET: ReadonlySet<string> = new Set([
  OrderCode.ticketExpired,
  OrderCode.witnessSilent,
  OrderCode.witnessFull,
]);

/** Runs orders for one incarnation of a member, as their home or after a takeover as witness. */
export class OrderExecutor {
  private constructor(
    private readonly dependencies: OrderDependencies,
    private readonly outbox: ReportOutbox,
    private readonly incarnationState: IncarnationState,
  ) {}

  static create(
    dependencies: OrderDependencies,
    outbox: ReportOutbox,
    incarnationState: IncarnationState,
  ): OrderExecutor {
    return new OrderExecutor(dependencies, outbox, incarnationState);
  }

  /** Starts the order, waits for its attempt in flight or returns its stored answer. */
  async execute(key: OrderKey, request: OrderRequest): Promise<AttemptResult> {
    if (this.isDiscarded()) return unknown(OrderCode.evicted);
    // No caller waits for a late copy, and storing a refusal would delay the caller's next attempt.
    if (this.isTooLate(request)) return unknown(OrderCode.deadline);
    const requestHash = hashRequest(request);
    const beginResult = this.incarnationState.registry.begin(key, requestHash);
    switch (beginResult.kind) {
      case 'start':
        this.startAttempt(key, request, requestHash, beginResult);
        return this.waitForAttempt(key, request);
      case 'join':
        return this.waitForAttempt(key, request);
      case 'answer':
        return this.toUnknownWithoutLease(this.withNewTicket(key, beginResult.answer));
      case 'ask-witness':
        return 'ask-witness';
      default:
        return assertNever(beginResult);
    }
  }

  /** Answers the callers of all attempts after the member has learned of its eviction. */
  discard(): void {
    this.incarnationState.abort.abort();
    for (const attempt of this.incarnationState.attempts.values()) {
      attempt.result.resolve(this.toDiscardedAnswer(attempt));
    }
  }

  private isDiscarded(): boolean {
    return this.incarnationState.abort.signal.aborted;
  }

  /** Starts an attempt that continues when the caller disconnects, because retries can join it. */
  private startAttempt(
    key: OrderKey,
    request: OrderRequest,
    requestHash: string,
    beginResult: { attempt: number; takenOver: boolean },
  ): void {
    const attempt = Attempt.create(key, beginResult.attempt);
    if (beginResult.takenOver) attempt.allow('taken-over');
    this.incarnationState.attempts.set(key.text, attempt);
    this.runAttempt(attempt, request, requestHash)
      .catch(() => this.settle(attempt, { kind: 'unknown', code: OrderCode.internal }, requestHash))
      .then((result) => attempt.result.resolve(result))
      .finally(() => this.incarnationState.attempts.delete(key.text));
  }

  private async waitForAttempt(key: OrderKey, request: OrderRequest): Promise<AttemptResult> {
    const attempt = this.incarnationState.attempts.get(key.text);
    if (attempt === undefined) return unknown(OrderCode.internal);
    const remainingMs = Math.max(0, request.deadlineAtMs - this.dependencies.clock.wallMs());
    const timeoutAbort = new AbortController();
    const timeout = this.dependencies
      .sleep(remainingMs + DEADLINE_GRACE_MS, timeoutAbort.signal)
      .then(() => unknown(OrderCode.deadline));
    const result = await Promise.race([attempt.result.promise, timeout]);
    timeoutAbort.abort();
    return result;
  }

  private async runAttempt(
    attempt: Attempt,
    request: OrderRequest,
    requestHash: string,
  ): Promise<AttemptResult> {
    if (attempt.basis === undefined) {
      const permission = await this.obtainPermission(attempt, request, requestHash);
      if (permission.kind === 'taken-over') return this.endTakenOverAttempt(attempt);
      if (permission.kind === 'refused') return this.settleNotRun(attempt, permission.code);
      if (this.isDiscarded()) return this.settleNotRun(attempt, OrderCode.evicted);
      attempt.allow(permission.basis);
      this.incarnationState.registry.startRun(attempt.key, attempt.number, permission.basis);
    }
    const guard = this.createGuard(attempt, request);
    const { signal } = this.incarnationState.abort;
    const result = await this.dependencies.runner.run({ ...request, guard }, signal);
    return this.settle(attempt, result, requestHash);
  }

  private async obtainPermission(
    attempt: Attempt,
    request: OrderRequest,
    requestHash: string,
  ): Promise<RunPermission> {
    const { key, number } = attempt;
    const { witness } = key.ticket;
    const { knowledge, transport } = this.dependencies;
    if (witness === undefined || knowledge.isGone(witness)) return this.permitWithoutGrant();
    if (this.isTooLate(request)) return { kind: 'refused', code: OrderCode.deadline };
    if (knowledge.isSilent(witness)) return { kind: 'refused', code: OrderCode.witnessSilent };
    const result = await transport.claim(witness, { key, requestHash, attempt: number });
    switch (result) {
      case 'granted':
        return { kind: 'run', basis: 'granted' };
      case 'taken-over':
        return { kind: 'taken-over' };
      case 'full':
        return { kind: 'refused', code: OrderCode.witnessFull };
      case 'wrong-incarnation':
        return this.permitWithoutGrant();
      case 'unavailable':
        if (await knowledge.confirmGone(witness)) return this.permitWithoutGrant();
        return { kind: 'refused', code: OrderCode.witnessSilent };
      default:
        return assertNever(result);
    }
  }

  /**
   * Permits a run without a grant when there is no witness that could run the order. A witness can
   * have taken the key over only after the eviction of this member, which then holds no lease.
   */
  private permitWithoutGrant(): RunPermission {
    const { knowledge, onViolation } = this.dependencies;
    const { member } = this.incarnationState;
    if (this.isDiscarded()) return { kind: 'refused', code: OrderCode.evicted };
    if (knowledge.isGone(member) && knowledge.holdsLease()) {
      onViolation(
        'order-at-most-once',
        `${formatMember(member)} runs an order without a grant after its eviction`,
      );
      return { kind: 'refused', code: OrderCode.evicted };
    }
    return { kind: 'run', basis: 'alone' };
  }

  private endTakenOverAttempt(attempt: Attempt): AttemptResult {
    const { knowledge, onViolation } = this.dependencies;
    if (!this.isDiscarded() && knowledge.holdsLease()) {
      onViolation(
        'order-at-most-once',
        `${attempt.key.text} was taken over while its home held the lease`,
      );
    }
    this.incarnationState.registry.abandon(attempt.key, attempt.number);
    return 'ask-witness';
  }

  private createGuard(attempt: Attempt, request: OrderRequest): SendGuard {
    const { registry } = this.incarnationState;
    const { key, number } = attempt;
    return {
      beforeSend: () => {
        if (this.isDiscarded() || this.isTooLate(request)) return false;
        if (!this.dependencies.knowledge.holdsLease()) return false;
        return registry.markSent(key, number);
      },
      recordNotRun: () => registry.markNotRun(key, number),
    };
  }

  private isTooLate(request: OrderRequest): boolean {
    return this.dependencies.clock.wallMs() >= request.deadlineAtMs;
  }

  private settle(attempt: Attempt, result: RunResult, requestHash: string): AttemptResult {
    const { registry } = this.incarnationState;
    const { key, number } = attempt;
    const state = registry.attemptState(key, number);
    switch (result.kind) {
      case 'answered':
        if (state !== 'sent') {
          this.dependencies.onViolation('order-at-most-once', `${key.text} ran without permission`);
        }
        registry.complete(key, number, result.answer);
        this.reportCompletion(attempt, { key: key.text, requestHash, answer: result.answer });
        return { outcome: 'ran', code: 'answered', answer: result.answer };
      case 'not-run':
        return this.settleNotRun(attempt, result.code, result.retryAfterMs);
      case 'unknown':
        if (state !== 'sent') return this.settleNotRun(attempt, result.code);
        registry.markUnknown(key, number, result.code);
        return unknownFinal(result.code);
      default:
        return assertNever(result);
    }
  }

  private settleNotRun(
    attempt: Attempt,
    code: string,
    retryAfterMs = REFUSAL_RETRY_AFTER_MS,
  ): AttemptResult {
    const { key, number, basis } = attempt;
    const refusal = this.withNewTicket(key, notRun(code, retryAfterMs));
    const wasRefused = this.incarnationState.registry.refuse(key, number, refusal);
    if (!wasRefused) {
      this.incarnationState.registry.markUnknown(key, number, code);
      return unknownFinal(code);
    }
    const { witness } = key.ticket;
    if (basis !== 'taken-over' && basis !== 'alone' && witness !== undefined) {
      this.outbox.addRelease(witness, { key, attempt: number });
    }
    // No other member can run the order while the claim or the takeover is in effect.
    if (basis === 'granted' || basis === 'taken-over') return refusal;
    return this.toUnknownWithoutLease(refusal);
  }

  /** Replaces `not-run` by `unknown` without a lease: a witness may have run the order since. */
  private toUnknownWithoutLease(answer: OrderAnswer): OrderAnswer {
    if (answer.outcome !== 'not-run' || this.dependencies.knowledge.holdsLease()) return answer;
    return unknown(OrderCode.noLease);
  }

  private withNewTicket<T extends OrderAnswer>(key: OrderKey, answer: T): T {
    if (answer.outcome !== 'not-run' || answer.newTicket !== undefined) return answer;
    if (!CODES_WITH_NEW_TICKET.has(answer.code)) return answer;
    return { ...answer, newTicket: this.dependencies.knowledge.issueTicket(key.ticket.witness) };
  }

  private reportCompletion(attempt: Attempt, report: CompletionReport): void {
    const { witness } = attempt.key.ticket;
    if (attempt.basis === 'granted' && witness !== undefined) {
      this.outbox.addCompletion(witness, {
        ...report,
        answer: toStorableAnswer(report.answer, true),
      });
    }
  }

  private toDiscardedAnswer(attempt: Attempt): OrderAnswer {
    const state = this.incarnationState.registry.attemptState(attempt.key, attempt.number);
    const isExclusive = attempt.basis === 'granted' || attempt.basis === 'taken-over';
    if (state === 'not-sent' && isExclusive) return notRun(OrderCode.evicted);
    return unknown(OrderCode.evicted);
  }
}
