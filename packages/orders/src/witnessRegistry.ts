import { assertNever, formatMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { RETENTION_MS, TICKET_VALIDITY_MS } from './constants.js';
import { isReused } from './utils.js';

import type { EntryTable } from './entryTable.js';
import type {
  Claim,
  ClaimResult,
  CompletionReport,
  HandoverPart,
  OrderEntry,
  OrderKey,
  TakeoverResult,
  ViolationHandler,
} from './types.js';

/** Witness side of the registry. It grants either a claim or a takeover of a key, never both. */
export class WitnessRegistry {
  private readonly departedHomes = new Set<string>();

  private constructor(
    private readonly table: EntryTable,
    private readonly nowMs: () => number,
    private readonly onViolation: ViolationHandler,
  ) {}

  /** The table is shared with the home side, which runs the orders taken over here. */
  static create(
    table: EntryTable,
    nowMs: () => number,
    onViolation: ViolationHandler,
  ): WitnessRegistry {
    return new WitnessRegistry(table, nowMs, onViolation);
  }

  /** Grants a claim unless the key was taken over or completed, or there is no room for it. */
  grantClaim(claim: Claim): ClaimResult {
    const nowMs = this.nowMs();
    this.table.removeExpired(nowMs);
    const { key, attempt, requestHash } = claim;
    const entry = this.table.get(key.text);
    if (entry === undefined) {
      if (this.hasDeparted(key.ticket.home)) return 'taken-over';
      if (!this.table.hasRoom()) return 'full';
      this.table.set(key.text, { kind: 'claimed', requestHash, attempt }, nowMs);
      return 'granted';
    }
    if (entry.kind !== 'claimed') return 'taken-over';
    // A delayed duplicate of an earlier claim; the home no longer waits for its response.
    if (attempt < entry.attempt) return 'unavailable';
    this.table.set(key.text, { kind: 'claimed', requestHash, attempt }, nowMs);
    return 'granted';
  }

  /** Whether the key has an entry; if so, takeovers do not depend on whether the home is gone. */
  hasEntry(key: OrderKey): boolean {
    return this.table.get(key.text) !== undefined;
  }

  /** Takes a key over from its home if the home is gone and has not claimed the key. */
  takeover(key: OrderKey, requestHash: string, isHomeGone: boolean): TakeoverResult {
    const nowMs = this.nowMs();
    this.table.removeExpired(nowMs);
    const entry = this.table.get(key.text);
    if (entry === undefined) return this.takeoverNew(key, isHomeGone, nowMs);
    if (isReused(entry, requestHash)) return { kind: 'key-reused' };
    switch (entry.kind) {
      case 'claimed':
        return { kind: 'claimed' };
      case 'completed':
        return { kind: 'completed', answer: entry.answer };
      case 'claiming':
      case 'running':
      case 'unknown':
      case 'taken-over':
        return { kind: 'taken-over' };
      default:
        return assertNever(entry);
    }
  }

  /** Removes a claim whose attempt did not run, unless a newer claim has replaced it. */
  release(key: OrderKey, attempt: number): void {
    const entry = this.table.get(key.text);
    if (entry?.kind === 'claimed' && entry.attempt <= attempt) this.table.delete(key.text);
  }

  /** Stores the response of an order that the home ran. */
  recordCompletion(report: CompletionReport): void {
    const entry = this.table.get(report.key);
    if (entry === undefined && !this.table.hasRoom()) return;
    if (entry?.kind === 'completed') return;
    if (entry !== undefined && entry.kind !== 'claimed') {
      this.onViolation('order-at-most-once', `home ran ${report.key} after the takeover`);
      if (entry.kind !== 'taken-over') return;
    }
    const answer = this.table.toStorable(report.answer);
    const { requestHash } = report;
    this.table.set(report.key, { kind: 'completed', requestHash, answer }, this.nowMs());
  }

  /** Stores the entries of a home that shuts down; false when there is no room for all of them. */
  acceptHandover(part: HandoverPart): boolean {
    for (const key of part.claimedKeys) {
      if (this.table.get(key) !== undefined) continue;
      if (!this.table.hasRoom()) return false;
      const claimed: OrderEntry = { kind: 'claimed', requestHash: undefined, attempt: 0 };
      this.table.set(key, claimed, this.nowMs());
    }
    for (const report of part.completions) {
      if (!this.table.hasRoom() && this.table.get(report.key) === undefined) return false;
      this.recordCompletion(report);
    }
    if (part.final) this.departedHomes.add(formatMember(part.home));
    return true;
  }

  /** Whether a home has completed its handover to this member. */
  hasDeparted(home: MemberId): boolean {
    return this.departedHomes.has(formatMember(home));
  }

  private takeoverNew(key: OrderKey, isHomeGone: boolean, nowMs: number): TakeoverResult {
    const ageMs = nowMs - key.ticket.issuedAtMs;
    // An earlier entry may have expired, so the home may have claimed the key.
    if (ageMs >= RETENTION_MS) return { kind: 'claimed' };
    if (!isHomeGone && !this.hasDeparted(key.ticket.home)) return { kind: 'home-alive' };
    if (ageMs >= TICKET_VALIDITY_MS) return { kind: 'ticket-expired' };
    if (!this.table.hasRoom()) return { kind: 'full' };
    this.table.set(key.text, { kind: 'taken-over' }, nowMs);
    return { kind: 'taken-over' };
  }
}
