import { assertNever, formatMember } from '@bronzelift/common';

import { DEADLINE_GRACE_MS, OrderCode, REFUSAL_RETRY_AFTER_MS } from './constants.js';
import { Attempt } from './orderContext.js';
import { hashRequest, notRun, toKeptAnswer, unknown, unknownFinal } from './utils.js';

import type { AttemptResult, Generation, OrderDependencies } from './orderContext.js';
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

type Permission =
  | { readonly kind: 'run'; readonly basis: RunBasis }
  | { readonly kind: 'refused'; readonly code: string }
  | { readonly kind: 'taken-over' };

/** Codes whose refusal is lasting for the key, so that the caller gets a ticket for a new one. */
const CODES_WITH_NEW_TICKET: ReadonlySet<string> = new Set([
  OrderCode.ticketExpired,
  OrderCode.witnessSilent,
  OrderCode.witnessFull,
]);

/** Runs orders of one incarnation as their home, or as the witness that took them over. */
export class OrderExecutor {
  private constructor(
    private readonly dependencies: OrderDependencies,
    private readonly outbox: ReportOutbox,
    private readonly generation: Generation,
  ) {}

  /** Creates the executor of one incarnation. */
  static create(
    dependencies: OrderDependencies,
    outbox: ReportOutbox,
    generation: Generation,
  ): OrderExecutor {
    return new OrderExecutor(dependencies, outbox, generation);
  }

  /** Starts the order, joins its attempt in flight or gives its stored answer. */
  async execute(key: OrderKey, request: OrderRequest): Promise<AttemptResult> {
    if (this.isDiscarded()) return unknown(OrderCode.evicted);
    // Nobody waits for a late copy; its refusal would only delay the caller's next attempt.
    if (this.isTooLate(request)) return unknown(OrderCode.deadline);
    const requestHash = hashRequest(request);
    const begin = this.generation.registry.begin(key, requestHash);
    switch (begin.kind) {
      case 'start':
        this.startAttempt(key, request, requestHash, begin);
        return this.waitForAttempt(key, request);
      case 'join':
        return this.waitForAttempt(key, request);
      case 'answer':
        return this.toTrueAnswer(this.withNewTicket(key, begin.answer));
      case 'ask-witness':
        return 'ask-witness';
      default:
        return assertNever(begin);
    }
  }

  /** Ends all attempts for callers, after the member has learned of its eviction. */
  discard(): void {
    this.generation.abort.abort();
    for (const attempt of this.generation.attempts.values()) {
      attempt.result.resolve(this.answerDiscarded(attempt));
    }
  }

  private isDiscarded(): boolean {
    return this.generation.abort.signal.aborted;
  }

  /** The attempt belongs to the key, not to the caller: it continues when the caller goes away. */
  private startAttempt(
    key: OrderKey,
    request: OrderRequest,
    requestHash: string,
    begin: { attempt: number; takenOver: boolean },
  ): void {
    const attempt = Attempt.create(key, begin.attempt);
    if (begin.takenOver) attempt.allow('taken-over');
    this.generation.attempts.set(key.text, attempt);
    this.runAttempt(attempt, request, requestHash)
      .catch(() => this.settle(attempt, { kind: 'unknown', code: OrderCode.internal }, requestHash))
      .then((result) => attempt.result.resolve(result))
      .finally(() => this.generation.attempts.delete(key.text));
  }

  private async waitForAttempt(key: OrderKey, request: OrderRequest): Promise<AttemptResult> {
    const attempt = this.generation.attempts.get(key.text);
    if (attempt === undefined) return unknown(OrderCode.internal);
    const remainingMs = Math.max(0, request.deadlineAtMs - this.dependencies.clock.wallMs());
    const timer = new AbortController();
    const timeout = this.dependencies
      .sleep(remainingMs + DEADLINE_GRACE_MS, timer.signal)
      .then(() => unknown(OrderCode.deadline));
    const result = await Promise.race([attempt.result.promise, timeout]);
    timer.abort();
    return result;
  }

  private async runAttempt(
    attempt: Attempt,
    request: OrderRequest,
    requestHash: string,
  ): Promise<AttemptResult> {
    if (attempt.basis === undefined) {
      const permission = await this.obtainPermission(attempt, request, requestHash);
      if (permission.kind === 'taken-over') return this.yieldToWitness(attempt);
      if (permission.kind === 'refused') return this.settleNotRun(attempt, permission.code);
      if (this.isDiscarded()) return this.settleNotRun(attempt, OrderCode.evicted);
      attempt.allow(permission.basis);
      this.generation.registry.startRun(attempt.key, attempt.number, permission.basis);
    }
    const guard = this.createGuard(attempt, request);
    const { signal } = this.generation.abort;
    const result = await this.dependencies.runner.run({ ...request, guard }, signal);
    return this.settle(attempt, result, requestHash);
  }

  private async obtainPermission(
    attempt: Attempt,
    request: OrderRequest,
    requestHash: string,
  ): Promise<Permission> {
    const { key, number } = attempt;
    const { witness } = key.ticket;
    const { knowledge, transport } = this.dependencies;
    if (witness === undefined || knowledge.isGone(witness)) return this.actAlone();
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
        return this.actAlone();
      case 'unavailable':
        if (await knowledge.confirmGone(witness)) return this.actAlone();
        return { kind: 'refused', code: OrderCode.witnessSilent };
      default:
        return assertNever(result);
    }
  }

  /**
   * Runs without a grant when there is no other member that could run the order. The witness can
   * have taken the key over only after the eviction of this member, which then holds no lease.
   */
  private actAlone(): Permission {
    const { knowledge, onViolation } = this.dependencies;
    const { member } = this.generation;
    if (this.isDiscarded()) return { kind: 'refused', code: OrderCode.evicted };
    if (knowledge.isGone(member) && knowledge.holdsLease()) {
      onViolation('order-at-most-once', `${formatMember(member)} acts alone after its eviction`);
      return { kind: 'refused', code: OrderCode.evicted };
    }
    return { kind: 'run', basis: 'alone' };
  }

  private yieldToWitness(attempt: Attempt): AttemptResult {
    const { knowledge, onViolation } = this.dependencies;
    if (!this.isDiscarded() && knowledge.holdsLease()) {
      onViolation('order-at-most-once', `${attempt.key.text} was taken over from a member`);
    }
    this.generation.registry.abandon(attempt.key, attempt.number);
    return 'ask-witness';
  }

  private createGuard(attempt: Attempt, request: OrderRequest): SendGuard {
    const { registry } = this.generation;
    const { key, number } = attempt;
    return {
      beforeSend: () => {
        if (this.isDiscarded() || this.isTooLate(request)) return false;
        if (!this.dependencies.knowledge.holdsLease()) return false;
        return registry.markSent(key, number);
      },
      provenNotRun: () => registry.markNotRun(key, number),
    };
  }

  private isTooLate(request: OrderRequest): boolean {
    return this.dependencies.clock.wallMs() >= request.deadlineAtMs;
  }

  private settle(attempt: Attempt, result: RunResult, requestHash: string): AttemptResult {
    const { registry } = this.generation;
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
    const wasRefused = this.generation.registry.refuse(key, number, refusal);
    if (!wasRefused) {
      this.generation.registry.markUnknown(key, number, code);
      return unknownFinal(code);
    }
    const { witness } = key.ticket;
    if (basis !== 'taken-over' && basis !== 'alone' && witness !== undefined) {
      this.outbox.addRelease(witness, { key, attempt: number });
    }
    // While the claim or the takeover stands, no other member can run the order.
    if (basis === 'granted' || basis === 'taken-over') return refusal;
    return this.toTrueAnswer(refusal);
  }

  /** Without a lease this member may have been evicted, and the witness may have run the order. */
  private toTrueAnswer(answer: OrderAnswer): OrderAnswer {
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
        answer: toKeptAnswer(report.answer, true),
      });
    }
  }

  private answerDiscarded(attempt: Attempt): OrderAnswer {
    const state = this.generation.registry.attemptState(attempt.key, attempt.number);
    const isExclusive = attempt.basis === 'granted' || attempt.basis === 'taken-over';
    if (state === 'not-sent' && isExclusive) return notRun(OrderCode.evicted);
    return unknown(OrderCode.evicted);
  }
}
