import { assertNever } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { OrderCode, POLL_INTERVAL_MS } from './constants.js';
import { hashRequest, notRun, ran, unknown, unknownFinal } from './utils.js';

import type { Evidence } from './evidence.js';
import type { OrderDependencies } from './orderContext.js';
import type {
  ForwardKind,
  ForwardResult,
  OrderAnswer,
  OrderKey,
  OrderRequest,
  TakeoverResult,
} from './types.js';

/** The roles of the member itself. */
export interface LocalRoles {
  isOwn(member: MemberId): boolean;
  /** Whether a member is an earlier incarnation of this one. */
  isOwnPast(member: MemberId): boolean;
  takeover(key: OrderKey, requestHash: string): Promise<TakeoverResult>;
  /** Runs an order that this member has taken over as its witness. */
  runTakenOver(key: OrderKey, request: OrderRequest): Promise<OrderAnswer>;
}

/** A copy of the order that got no response may still arrive, or be passed on, and run. */
const toCertainAnswer = (answer: OrderAnswer, evidence: Evidence): OrderAnswer =>
  answer.outcome === 'not-run' && evidence.wasReached ? unknown(answer.code) : answer;

/** Has orders decided by their home or, once that is gone, by their witness. */
export class OrderForwarder {
  private constructor(
    private readonly dependencies: OrderDependencies,
    private readonly local: LocalRoles,
  ) {}

  /** Creates the forwarder of a member. */
  static create(dependencies: OrderDependencies, local: LocalRoles): OrderForwarder {
    return new OrderForwarder(dependencies, local);
  }

  /** Tries the home and, once that is gone, the witness, until the deadline. */
  async forward(key: OrderKey, request: OrderRequest, evidence: Evidence): Promise<OrderAnswer> {
    const { clock, sleep } = this.dependencies;
    while (clock.wallMs() < request.deadlineAtMs) {
      const answer = this.isHomeGone(key, evidence)
        ? await this.tryWitness(key, request, evidence)
        : await this.tryHome(key, request, evidence);
      if (answer !== undefined) return toCertainAnswer(answer, evidence);
      await sleep(POLL_INTERVAL_MS);
    }
    return toCertainAnswer(await this.answerAtDeadline(key, request, evidence), evidence);
  }

  private isHomeGone(key: OrderKey, evidence: Evidence): boolean {
    const { home } = key.ticket;
    if (evidence.isHomeGone || this.local.isOwnPast(home)) return true;
    return this.dependencies.knowledge.isGone(home);
  }

  private async tryHome(
    key: OrderKey,
    request: OrderRequest,
    evidence: Evidence,
  ): Promise<OrderAnswer | undefined> {
    const { home } = key.ticket;
    const result = await this.forwardUnlessGone('home', home, request);
    switch (result.kind) {
      case 'answered':
        return result.answer;
      case 'wrong-incarnation':
        evidence.noteHomeGone();
        return undefined;
      case 'not-reached':
        if (await this.dependencies.knowledge.confirmGone(home)) evidence.noteHomeGone();
        return undefined;
      case 'no-response':
        evidence.noteReached();
        return undefined;
      default:
        return assertNever(result);
    }
  }

  private async tryWitness(
    key: OrderKey,
    request: OrderRequest,
    evidence: Evidence,
  ): Promise<OrderAnswer | undefined> {
    const { witness } = key.ticket;
    if (witness === undefined) return unknownFinal(OrderCode.homeGone);
    const result = await this.takeover(witness, key, request);
    switch (result.kind) {
      case 'taken-over':
        return this.runAtWitness(witness, key, request, evidence);
      case 'unavailable':
        if (!(await this.dependencies.knowledge.confirmGone(witness))) return undefined;
        return unknownFinal(OrderCode.partnersGone);
      case 'wrong-incarnation':
        return unknownFinal(OrderCode.partnersGone);
      case 'claimed':
      case 'home-alive':
      case 'no-lease':
        return undefined;
      case 'completed':
      case 'full':
      case 'ticket-expired':
      case 'key-reused':
        return this.answerOf(result);
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
    if (this.local.isOwnPast(witness) || knowledge.isGone(witness)) {
      return { kind: 'wrong-incarnation' };
    }
    return transport.takeover(witness, key, requestHash);
  }

  private async runAtWitness(
    witness: MemberId,
    key: OrderKey,
    request: OrderRequest,
    evidence: Evidence,
  ): Promise<OrderAnswer | undefined> {
    if (this.local.isOwn(witness)) return this.local.runTakenOver(key, request);
    const result = await this.forwardUnlessGone('witness', witness, request);
    switch (result.kind) {
      case 'answered':
        return result.answer;
      case 'wrong-incarnation':
        return unknownFinal(OrderCode.partnersGone);
      case 'not-reached':
        return undefined;
      case 'no-response':
        evidence.noteReached();
        return undefined;
      default:
        return assertNever(result);
    }
  }

  /** Ends the wait for a response early when the member turns out to be gone. */
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

  private answerOf(result: TakeoverResult): OrderAnswer | undefined {
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
   * The order of this request cannot be sent any more. It did not run when it reached no other
   * member and the witness has never allowed the home to run the key for an earlier request.
   */
  private async answerAtDeadline(
    key: OrderKey,
    request: OrderRequest,
    evidence: Evidence,
  ): Promise<OrderAnswer> {
    const { witness } = key.ticket;
    if (evidence.isHomeGone) return unknown(OrderCode.witnessUnreachable);
    if (witness === undefined) return unknown(OrderCode.homeSilent);
    const result = await this.takeover(witness, key, request);
    if (result.kind === 'home-alive' && !evidence.wasReached) {
      const newTicket = this.dependencies.knowledge.issueTicket(key.ticket.home);
      return notRun(OrderCode.homeSilent, undefined, newTicket);
    }
    return this.answerOf(result) ?? unknown(OrderCode.homeSilent);
  }
}
