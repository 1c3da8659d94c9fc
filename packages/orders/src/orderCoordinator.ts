import { assertNever, isSameMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { OrderCode } from './constants.js';
import { OrderExecutor } from './orderExecutor.js';
import { createIncarnationState } from './orderContext.js';
import { ForwardEvidence } from './evidence.js';
import { OrderForwarder } from './orderForwarder.js';
import { ReportOutbox } from './reportOutbox.js';
import { isFromFuture, parseOrderKey } from './ticket.js';
import { hashRequest, notRun, ran, unknown, unknownFinal } from './utils.js';
import { WitnessService } from './witnessService.js';

import type { IncarnationState, OrderDependencies } from './orderContext.js';
import type { ForwardKind, ForwardResult, OrderAnswer, OrderKey, OrderRequest } from './types.js';

/** Result of a handover: the number of entries sent and the witnesses that failed. */
export interface HandoverReport {
  readonly entries: number;
  /** Witnesses that did not accept all entries; the entries sent to them may be lost. */
  readonly failed: readonly MemberId[];
}

/** Executes each order at most once, whichever member it arrives at. */
export class OrderCoordinator {
  /** Handles messages of other members for which this member is the witness. */
  readonly witnessService: WitnessService;

  private readonly outbox: ReportOutbox;

  private readonly forwarder: OrderForwarder;

  private incarnationState: IncarnationState;

  private executor: OrderExecutor;

  private constructor(private readonly dependencies: OrderDependencies) {
    this.outbox = ReportOutbox.create(dependencies);
    this.incarnationState = createIncarnationState(dependencies);
    this.executor = OrderExecutor.create(dependencies, this.outbox, this.incarnationState);
    this.witnessService = WitnessService.create(dependencies, () => this.currentIncarnationState());
    this.forwarder = this.createForwarder();
  }

  static create(dependencies: OrderDependencies): OrderCoordinator {
    return new OrderCoordinator(dependencies);
  }

  /** Current entries, refused keys, bytes of stored bodies and attempts in flight, for metrics. */
  stats(): { entries: number; refusals: number; bodyBytes: number; attempts: number } {
    const { registry, attempts } = this.incarnationState;
    return { ...registry.stats(), attempts: attempts.size };
  }

  /** Executes an order of a caller here or at the member that decides about it. Never rejects. */
  async handleOrder(request: OrderRequest): Promise<OrderAnswer> {
    const parsed = parseOrderKey(request.key);
    if (parsed.kind === 'rejected') return this.answerBadKey();
    const key = parsed.value;
    if (isFromFuture(key.ticket, this.dependencies.clock.wallMs())) return this.answerBadKey();
    const evidence = ForwardEvidence.create();
    if (this.isOwn(key.ticket.home)) {
      const result = await this.executor.execute(key, request);
      if (result !== 'ask-witness') return result;
      evidence.recordHomeGone();
    }
    return this.forwarder.forward(key, request, evidence);
  }

  /** Executes an order that another member forwarded to this one as its home or witness. */
  async handleForwarded(kind: ForwardKind, request: OrderRequest): Promise<ForwardResult> {
    const parsed = parseOrderKey(request.key);
    if (parsed.kind === 'rejected') return { kind: 'answered', answer: this.answerBadKey() };
    const key = parsed.value;
    const target = kind === 'home' ? key.ticket.home : key.ticket.witness;
    if (target === undefined || !this.isOwn(target)) return { kind: 'wrong-incarnation' };
    if (kind === 'witness')
      return { kind: 'answered', answer: await this.runAsWitness(key, request) };
    const result = await this.executor.execute(key, request);
    if (result !== 'ask-witness') return { kind: 'answered', answer: result };
    const evidence = ForwardEvidence.create();
    evidence.recordHomeGone();
    return { kind: 'answered', answer: await this.forwarder.forward(key, request, evidence) };
  }

  /**
   * Ends the incarnation after its eviction: answers the pending orders and discards all entries.
   * Must be called before the lease is renewed and before other members see the new incarnation.
   */
  discardIncarnation(): void {
    this.executor.discard();
  }

  /**
   * Hands the entries over to the witnesses at a planned shutdown, once the attempts in flight have
   * ended or the timeout has passed. Must be called before the departure is announced.
   */
  async handOver(timeoutMs: number): Promise<HandoverReport> {
    const { registry, attempts, member } = this.currentIncarnationState();
    const { clock, sleep } = this.dependencies;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    registry.stopHome();
    const pending = [...attempts.values()].map((attempt) => attempt.result.promise);
    await Promise.race([Promise.all(pending), sleep(timeoutMs)]);
    const handovers = registry.createHandovers(member);
    const results = await Promise.all(
      handovers.map((handover) => this.witnessService.sendHandover(member, handover, deadlineMs)),
    );
    const failed = handovers.filter((_, index) => results[index] !== true);
    const entries = handovers.reduce(
      (sum, { claimedKeys, completions }) => sum + claimedKeys.length + completions.length,
      0,
    );
    return { entries, failed: failed.map(({ witness }) => witness) };
  }

  /** State of the current incarnation; replaced once the process has a new incarnation. */
  private currentIncarnationState(): IncarnationState {
    const own = this.dependencies.knowledge.ownMember();
    if (isSameMember(own, this.incarnationState.member)) return this.incarnationState;
    if (!this.incarnationState.abort.signal.aborted) this.discardIncarnation();
    this.incarnationState = createIncarnationState(this.dependencies);
    this.executor = OrderExecutor.create(this.dependencies, this.outbox, this.incarnationState);
    return this.incarnationState;
  }

  private isOwn(member: MemberId): boolean {
    const incarnationState = this.currentIncarnationState();
    return isSameMember(member, incarnationState.member) && !incarnationState.abort.signal.aborted;
  }

  private answerBadKey(): OrderAnswer {
    return notRun(OrderCode.badKey, 0, this.dependencies.knowledge.issueTicket());
  }

  private isOwnEarlierIncarnation(member: MemberId): boolean {
    const { member: own, abort } = this.currentIncarnationState();
    if (member.vmId !== own.vmId) return false;
    return member.incarnation !== own.incarnation || abort.signal.aborted;
  }

  private async runAsWitness(key: OrderKey, request: OrderRequest): Promise<OrderAnswer> {
    const result = await this.witnessService.takeover(key, hashRequest(request));
    switch (result.kind) {
      case 'taken-over':
        return this.runTakenOver(key, request);
      case 'completed':
        return ran(result.answer);
      case 'key-reused':
        return unknownFinal(OrderCode.keyReused);
      case 'claimed':
      case 'home-alive':
      case 'no-lease':
      case 'full':
      case 'ticket-expired':
      case 'wrong-incarnation':
      case 'unavailable':
        return unknown(OrderCode.homeGone);
      default:
        return assertNever(result);
    }
  }

  private async runTakenOver(key: OrderKey, request: OrderRequest): Promise<OrderAnswer> {
    const result = await this.executor.execute(key, request);
    return result === 'ask-witness' ? unknown(OrderCode.stopping) : result;
  }

  private createForwarder(): OrderForwarder {
    return OrderForwarder.create(this.dependencies, {
      isOwn: (member) => this.isOwn(member),
      isOwnEarlierIncarnation: (member) => this.isOwnEarlierIncarnation(member),
      takeover: (key, requestHash) => this.witnessService.takeover(key, requestHash),
      runTakenOver: (key, request) => this.runTakenOver(key, request),
    });
  }
}
