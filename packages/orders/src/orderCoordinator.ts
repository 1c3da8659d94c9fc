import { assertNever, isSameMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { OrderCode } from './constants.js';
import { OrderExecutor } from './orderExecutor.js';
import { createGeneration } from './orderContext.js';
import { Evidence } from './evidence.js';
import { OrderForwarder } from './orderForwarder.js';
import { ReportOutbox } from './reportOutbox.js';
import { isFromFuture, parseOrderKey } from './ticket.js';
import { hashRequest, notRun, ran, unknown, unknownFinal } from './utils.js';
import { WitnessService } from './witnessService.js';

import type { Generation, OrderDependencies } from './orderContext.js';
import type { ForwardKind, ForwardResult, OrderAnswer, OrderKey, OrderRequest } from './types.js';

/** Report of a handover. */
export interface HandoverReport {
  readonly entries: number;
  /** Witnesses that did not take the entries; the answers of those are lost. */
  readonly failed: readonly MemberId[];
}

/** Executes orders at most once, at whichever member they arrive. */
export class OrderCoordinator {
  /** Handlers of the messages of other members. */
  readonly witnessService: WitnessService;

  private readonly outbox: ReportOutbox;

  private readonly forwarder: OrderForwarder;

  private generation: Generation;

  private executor: OrderExecutor;

  private constructor(private readonly dependencies: OrderDependencies) {
    this.outbox = ReportOutbox.create(dependencies);
    this.generation = createGeneration(dependencies);
    this.executor = OrderExecutor.create(dependencies, this.outbox, this.generation);
    this.witnessService = WitnessService.create(dependencies, () => this.currentGeneration());
    this.forwarder = this.createForwarder();
  }

  /** Creates the coordinator of this process. */
  static create(dependencies: OrderDependencies): OrderCoordinator {
    return new OrderCoordinator(dependencies);
  }

  /** Numbers of entries, refusals, stored bytes and attempts in flight, for metrics. */
  stats(): { entries: number; refusals: number; bodyBytes: number; attempts: number } {
    const { registry, attempts } = this.generation;
    return { ...registry.stats(), attempts: attempts.size };
  }

  /** Answers an order of a caller. Does not reject. */
  async handleOrder(request: OrderRequest): Promise<OrderAnswer> {
    const parsed = parseOrderKey(request.key);
    if (parsed.kind === 'rejected') return this.answerBadKey();
    const key = parsed.value;
    if (isFromFuture(key.ticket, this.dependencies.clock.wallMs())) return this.answerBadKey();
    const evidence = Evidence.create();
    if (this.isOwn(key.ticket.home)) {
      const result = await this.executor.execute(key, request);
      if (result !== 'ask-witness') return result;
      evidence.noteHomeGone();
    }
    return this.forwarder.forward(key, request, evidence);
  }

  /** Answers an order that another member forwarded to this one in the given role. */
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
    const evidence = Evidence.create();
    evidence.noteHomeGone();
    return { kind: 'answered', answer: await this.forwarder.forward(key, request, evidence) };
  }

  /**
   * Gives up the incarnation after its eviction: answers the pending orders and forgets all keys.
   * To be called before the lease is renewed and before other members see the new incarnation.
   */
  discardIncarnation(): void {
    this.executor.discard();
  }

  /**
   * Hands the entries over to the witnesses at a planned shutdown, after the attempts in flight
   * have ended or the time is over. To be called before the departure is announced.
   */
  async handOver(timeoutMs: number): Promise<HandoverReport> {
    const { registry, attempts, member } = this.currentGeneration();
    const { clock, sleep } = this.dependencies;
    const deadlineMs = clock.monotonicMs() + timeoutMs;
    registry.stopHome();
    const pending = [...attempts.values()].map((attempt) => attempt.result.promise);
    await Promise.race([Promise.all(pending), sleep(timeoutMs)]);
    const handovers = registry.entriesToHandOver(member);
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

  /** State of the current incarnation; a new one after a discard, once the lead has taken it. */
  private currentGeneration(): Generation {
    const own = this.dependencies.knowledge.own();
    if (isSameMember(own, this.generation.member)) return this.generation;
    if (!this.generation.abort.signal.aborted) this.discardIncarnation();
    this.generation = createGeneration(this.dependencies);
    this.executor = OrderExecutor.create(this.dependencies, this.outbox, this.generation);
    return this.generation;
  }

  private isOwn(member: MemberId): boolean {
    const generation = this.currentGeneration();
    return isSameMember(member, generation.member) && !generation.abort.signal.aborted;
  }

  private answerBadKey(): OrderAnswer {
    return notRun(OrderCode.badKey, 0, this.dependencies.knowledge.issueTicket());
  }

  private isOwnPast(member: MemberId): boolean {
    const { member: own, abort } = this.currentGeneration();
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
      isOwnPast: (member) => this.isOwnPast(member),
      takeover: (key, requestHash) => this.witnessService.takeover(key, requestHash),
      runTakenOver: (key, request) => this.runTakenOver(key, request),
    });
  }
}
