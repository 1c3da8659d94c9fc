import { isSameMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { REPORT_RETRY_MS } from './constants.js';
import { toHandoverParts } from './handover.js';

import type { IncarnationState, OrderDependencies } from './orderContext.js';
import type {
  Claim,
  ClaimResult,
  CompletionReport,
  Handover,
  HandoverPart,
  OrderKey,
  ReportResult,
  TakeoverResult,
} from './types.js';

/** Handles claims, takeovers and reports that other members send to this one as witness. */
export class WitnessService {
  private constructor(
    private readonly dependencies: OrderDependencies,
    private readonly currentIncarnationState: () => IncarnationState,
  ) {}

  /** The incarnation state is read for each message, because it changes after an eviction. */
  static create(
    dependencies: OrderDependencies,
    currentIncarnationState: () => IncarnationState,
  ): WitnessService {
    return new WitnessService(dependencies, currentIncarnationState);
  }

  /** Whether a member is the current incarnation of this process, if that is not discarded. */
  isOwn(member: MemberId | undefined): boolean {
    const { member: own, abort } = this.currentIncarnationState();
    return member !== undefined && isSameMember(member, own) && !abort.signal.aborted;
  }

  claim(claim: Claim): ClaimResult {
    if (!this.isOwn(claim.key.ticket.witness)) return 'wrong-incarnation';
    return this.currentIncarnationState().registry.witness.grantClaim(claim);
  }

  /**
   * Takes a key over when its home is gone. Answers `no-lease` if this witness holds no lease: it
   * may have been evicted, and the home may then run orders without its grant.
   */
  async takeover(key: OrderKey, requestHash: string): Promise<TakeoverResult> {
    const { witness } = this.currentIncarnationState().registry;
    const isHomeGone = witness.hasEntry(key) || (await this.confirmHomeGone(key));
    if (!this.isOwn(key.ticket.witness)) return { kind: 'wrong-incarnation' };
    if (!this.dependencies.knowledge.holdsLease()) return { kind: 'no-lease' };
    return witness.takeover(key, requestHash, isHomeGone);
  }

  release(witness: MemberId, key: OrderKey, attempt: number): ReportResult {
    if (!this.isOwn(witness)) return 'wrong-incarnation';
    this.currentIncarnationState().registry.witness.release(key, attempt);
    return 'accepted';
  }

  completions(witness: MemberId, reports: readonly CompletionReport[]): ReportResult {
    if (!this.isOwn(witness)) return 'wrong-incarnation';
    const { registry } = this.currentIncarnationState();
    reports.forEach((report) => registry.witness.recordCompletion(report));
    return 'accepted';
  }

  handover(witness: MemberId, part: HandoverPart): ReportResult {
    if (!this.isOwn(witness)) return 'wrong-incarnation';
    const isAccepted = this.currentIncarnationState().registry.witness.acceptHandover(part);
    return isAccepted ? 'accepted' : 'unavailable';
  }

  /** Sends the entries of a stopping home to a witness; false if it did not accept all of them. */
  async sendHandover(home: MemberId, handover: Handover, deadlineMs: number): Promise<boolean> {
    for (const part of toHandoverParts(home, handover)) {
      if (!(await this.sendPart(handover.witness, part, deadlineMs))) return false;
    }
    return true;
  }

  private async sendPart(
    witness: MemberId,
    part: HandoverPart,
    deadlineMs: number,
  ): Promise<boolean> {
    const { clock, knowledge, sleep, transport } = this.dependencies;
    while (clock.monotonicMs() < deadlineMs && !knowledge.isGone(witness)) {
      const result = await transport.handover(witness, part);
      if (result !== 'unavailable') return result === 'accepted';
      await sleep(REPORT_RETRY_MS);
    }
    return false;
  }

  private async confirmHomeGone(key: OrderKey): Promise<boolean> {
    const { knowledge } = this.dependencies;
    const { home } = key.ticket;
    return knowledge.isGone(home) || knowledge.confirmGone(home);
  }
}
