import { assertNever } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { OrderCode, POLL_INTERVAL_MS } from './constants.js';
import { hashRequest, notRun, ran, unknown, unknownFinal } from './utils.js';

import type { ForwardEvidence } from './evidence.js';
import type { OrderDependencies } from './orderContext.js';
import type {
  ForwardKind,
  ForwardResult,
  OrderAnswer,
  OrderKey,
  OrderRequest,
  TakeoverResult,
} from './types.js';

/** Operations of this member itself, used when it is the home or witness of an order. */
export interface LocalMember {
  isOwn(member: MemberId): boolean;
  /** Whether a member is an earlier incarnation of this VM. */
  isOwnEarlierIncarnation(member: MemberId): boolean;
  takeover(key: OrderKey, requestHash: string): Promise<TakeoverResult>;
  /** Runs an order whose key this member has taken over as witness. */
  runTakenOver(key: OrderKey, request: OrderRequest): Promise<OrderAnswer>;
}

/** Replaces `not-run` by `unknown` if an unanswered copy of the order may still arrive and run. */
const toUnknownIfArrivalPossible = (answer: OrderAnswer, evidence: ForwardEvidence): OrderAnswer =>
  answer.outcome === 'not-run' && evidence.mayHaveArrived ? unknown(answer.code) : answer;

/** Forwards orders to their home or, once the home is gone, to their witness. */
export class OrderForwarder {
  private constructor(
    private readonly dependencies: OrderDependencies,
    private readonly local: LocalMember,
  ) {}

  static create(dependencies: OrderDependencies, local: LocalMember): OrderForwarder {
    return new OrderForwarder(dependencies, local);
  }

  /** Tries the home or, once the home is gone, the witness, until an answer or the deadline. */
  async forward(
    key: OrderKey,
    request: OrderRequest,
    evidence: ForwardEvidence,
  ): Promise<OrderAnswer> {
    const { clock, sleep } = this.dependencies;
    while (clock.wallMs() < request.deadlineAtMs) {
      const answer = this.isHomeGone(key, evidence)
        ? await this.tryWitness(key, request, evidence)
        : await this.tryHome(key, request, evidence);
      if (answer !== undefined) return toUnknownIfArrivalPossible(answer, evidence);
      await sleep(POLL_INTERVAL_MS);
    }
    return toUnknownIfArrivalPossible(
      await this.answerAtDeadline(key, request, evidence),
      evidence,
    );
  }

  private isHomeGone(key: OrderKey, evidence: ForwardEvidence): boolean {
    const { home } = key.ticket;
    if (evidence.isHomeGone || this.local.isOwnEarlierIncarnation(home)) return true;
    return this.dependencies.knowledge.isGone(home);
  }

  private async tryHome(
    key: OrderKey,
    request: OrderRequest,
    evidence: ForwardEvidence,
  ): Promise<OrderAnswer | undefined> {
    const { home } = key.ticket;
    const result = await this.forwardUnlessGone('home', home, request);
    switch (result.kind) {
      case 'answered':
        return result.answer;
      case 'wrong-incarnation':
        evidence.recordHomeGone();
        return undefined;
      case 'not-reached':
        if (await this.dependencies.knowledge.confirmGone(home)) evidence.recordHomeGone();
        return undefined;
      case 'no-response':
        evidence.recordPossibleArrival();
        return undefined;
      default:
        return assertNever(result);
    }
  }

  private async tryWitness(
    key: OrderKey,
    request: OrderRequest,
    evidence: ForwardEvidence,
  ): Promise<OrderAnswer | undefined> {
    const { witness } = key.ticket;
    if (witness === undefined) return unknownFinal(OrderCode.homeGone);
    const result = await this.takeover(witness, key, request);
    switch (result.kind) {
      case 'taken-over':
        return this.runAtWitness(witness, key, request, evidence);
      case 'unavailable':
        if (!(await this.dependencies.knowledge.confirmGone(witness))) return undefined;
        return unknownFinal(OrderCode.homeAndWitnessGone);
      case 'wrong-incarnation':
        return unknownFinal(OrderCode.homeAndWitnessGone);
      case 'claimed':
      case 'home-alive':
      case 'no-lease':
        return undefined;
      case 'completed':
      case 'full':
      case 'ticket-expired':
      case 'key-reused':
        return this.toOrderAnswer(result);
      default:
        return assertNever(result);
    }
  }

  private async takeover(
    witness: MemberId,
    key: OrderKey,
    request: OrderRequest,
  ): Promise<TakeoverResult> {
    const requestHash = hashRequest(request);
    if (this.local.isOwn(witness)) return this.local.takeover(key, requestHash);
    const { knowledge, transport } = this.dependencies;
    if (this.local.isOwnEarlierIncarnation(witness) || knowledge.isGone(witness)) {
      return { kind: 'wrong-incarnation' };
    }
    return transport.takeover(witness, key, requestHash);
  }

  private async runAtWitness(
    witness: MemberId,
    key: OrderKey,
    request: OrderRequest,
    evidence: ForwardEvidence,
  ): Promise<OrderAnswer | undefined> {
    if (this.local.isOwn(witness)) return this.local.runTakenOver(key, request);
    const result = await this.forwardUnlessGone('witness', witness, request);
    switch (result.kind) {
      case 'answered':
        return result.answer;
      case 'wrong-incarnation':
        return unknownFinal(OrderCode.homeAndWitnessGone);
      case 'not-reached':
        return undefined;
      case 'no-response':
        evidence.recordPossibleArrival();
        return undefined;
      default:
        return assertNever(result);
    }
  }

  /** Forwards an order; stops waiting for the response once the receiver is known to be gone. */
  private async forwardUnlessGone(
    kind: ForwardKind,
    member: MemberId,
    request: OrderRequest,
  ): Promise<ForwardResult> {
    const { knowledge, sleep, transport } = this.dependencies;
    let result: ForwardResult | undefined;
    const response = transport.forward(kind, member, request).then((received) => {
      result = received;
    });
    while (result === undefined) {
      await Promise.race([response, sleep(POLL_INTERVAL_MS)]);
      if (result === undefined && knowledge.isGone(member)) return { kind: 'no-response' };
    }
    return result;
  }

  private toOrderAnswer(result: TakeoverResult): OrderAnswer | undefined {
    switch (result.kind) {
      case 'completed':
        return ran(result.answer);
      case 'full':
        return notRun(OrderCode.witnessFull);
      case 'ticket-expired':
        return notRun(OrderCode.ticketExpired, 0, this.dependencies.knowledge.issueTicket());
      case 'key-reused':
        return unknownFinal(OrderCode.keyReused);
      case 'taken-over':
      case 'claimed':
      case 'home-alive':
      case 'no-lease':
      case 'wrong-incarnation':
      case 'unavailable':
        return undefined;
      default:
        return assertNever(result);
    }
  }

  /**
   * Answers after the deadline, when the order cannot be sent for this request any more. The
   * order did not run if this request reached no other member and the witness has granted no claim
   * of the key.
   */
  private async answerAtDeadline(
    key: OrderKey,
    request: OrderRequest,
    evidence: ForwardEvidence,
  ): Promise<OrderAnswer> {
    const { witness } = key.ticket;
    if (evidence.isHomeGone) return unknown(OrderCode.witnessUnreachable);
    if (witness === undefined) return unknown(OrderCode.homeSilent);
    const result = await this.takeover(witness, key, request);
    if (result.kind === 'home-alive' && !evidence.mayHaveArrived) {
      const newTicket = this.dependencies.knowledge.issueTicket(key.ticket.home);
      return notRun(OrderCode.homeSilent, undefined, newTicket);
    }
    return this.toOrderAnswer(result) ?? unknown(OrderCode.homeSilent);
  }
}
