import { assertNever } from '@bronzelift/common';

import type { Clock, MemberId } from '@bronzelift/common';
import { OrderCode, RETENTION_MS, TICKET_VALIDITY_MS } from './constants.js';
import { EntryTable } from './entryTable.js';
import { collectHandovers } from './handover.js';
import { RefusalMemory } from './refusalMemory.js';
import { isReused, notRun, ran, unknownFinal } from './utils.js';
import { WitnessRegistry } from './witnessRegistry.js';

import type {
  BeginResult,
  Handover,
  NotRunAnswer,
  OrderAnswer,
  OrderEntry,
  OrderKey,
  RegistryLimits,
  RunBasis,
  RunningEntry,
  StoredAnswer,
  ViolationHandler,
} from './types.js';

/** What is known about an attempt whose member was evicted. */
export type AttemptState = 'claiming' | 'not-sent' | 'sent' | 'ended';

const answerReused = (): BeginResult => ({
  kind: 'answer',
  answer: unknownFinal(OrderCode.keyReused),
});

/** Creation parameters of a registry. */
export interface RegistryOptions {
  readonly clock: Clock;
  readonly limits: RegistryLimits;
  readonly onViolation: ViolationHandler;
}

/**
 * State of the keys for which this member is the home or the witness. The methods decide without
 * waiting, so each is one step with regard to all other tasks.
 */
export class OrderRegistry {
  /** Decisions about keys of other homes. */
  readonly witness: WitnessRegistry;

  private readonly table: EntryTable;

  private readonly refusals: RefusalMemory;

  private lastAttempt = 0;

  private isHandedOver = false;

  /** One time scale for ticket ages and lifetimes, so that a stepped wall clock cannot part them. */
  private readonly wallOriginMs: number;

  private constructor(private readonly options: RegistryOptions) {
    this.table = EntryTable.create(options.limits);
    this.refusals = RefusalMemory.create(options.limits.maxRefusals);
    this.witness = WitnessRegistry.create(this.table, () => this.nowMs(), options.onViolation);
    this.wallOriginMs = options.clock.wallMs() - options.clock.monotonicMs();
  }

  /** Creates an empty registry. */
  static create(options: RegistryOptions): OrderRegistry {
    return new OrderRegistry(options);
  }

  /** Unix milliseconds on the registry's own scale. */
  nowMs(): number {
    return this.wallOriginMs + this.options.clock.monotonicMs();
  }

  /** Numbers of entries, refusals and bytes, for metrics. */
  stats(): { entries: number; refusals: number; bodyBytes: number } {
    const { size, storedBodyBytes } = this.table;
    return { entries: size, refusals: this.refusals.size, bodyBytes: storedBodyBytes };
  }

  /** Decides about an order that arrived at its home, or at the witness that took it over. */
  begin(key: OrderKey, requestHash: string): BeginResult {
    const nowMs = this.nowMs();
    this.table.removeExpired(nowMs);
    const entry = this.table.get(key.text);
    if (entry === undefined) return this.beginNew(key, requestHash, nowMs);
    switch (entry.kind) {
      case 'claiming':
      case 'running':
        return isReused(entry, requestHash) ? answerReused() : { kind: 'join' };
      case 'completed':
        if (isReused(entry, requestHash)) return answerReused();
        return { kind: 'answer', answer: ran(entry.answer) };
      case 'unknown':
        if (isReused(entry, requestHash)) return answerReused();
        return { kind: 'answer', answer: unknownFinal(entry.code) };
      case 'claimed':
        return { kind: 'answer', answer: unknownFinal(OrderCode.homeGone) };
      case 'taken-over':
        return this.beginTakenOver(key, requestHash, nowMs);
      default:
        return assertNever(entry);
    }
  }

  /** Allows an attempt to be sent; returns false when it has ended meanwhile. */
  startRun(key: OrderKey, attempt: number, basis: RunBasis): boolean {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' || entry.attempt !== attempt) return false;
    const { requestHash } = entry;
    const running = { kind: 'running', requestHash, attempt, basis, sent: false } as const;
    this.table.set(key.text, running, this.nowMs());
    return true;
  }

  /** Records that the order is being sent; returns false when it must not be. */
  markSent(key: OrderKey, attempt: number): boolean {
    const entry = this.findRunning(key, attempt);
    if (entry === undefined) return false;
    if (entry.sent) {
      this.options.onViolation('order-at-most-once', `second send of ${key.text}`);
      return false;
    }
    entry.sent = true;
    return true;
  }

  /** Records proof that the last send did not run. */
  markNotRun(key: OrderKey, attempt: number): void {
    const entry = this.findRunning(key, attempt);
    if (entry !== undefined) entry.sent = false;
  }

  /** Ends an attempt with a response. */
  complete(key: OrderKey, attempt: number, answer: StoredAnswer): void {
    const entry = this.findRunning(key, attempt);
    if (entry === undefined) return;
    const { requestHash } = entry;
    const kept = this.table.toKept(answer);
    this.table.set(key.text, { kind: 'completed', requestHash, answer: kept }, this.nowMs());
  }

  /** Ends an attempt whose order was sent and whose end is not known. */
  markUnknown(key: OrderKey, attempt: number, code: string): void {
    const entry = this.findRunning(key, attempt);
    if (entry === undefined) return;
    const { requestHash } = entry;
    this.table.set(key.text, { kind: 'unknown', requestHash, code }, this.nowMs());
  }

  /** Ends an attempt that did not run; returns false, and the order stays, when it was sent. */
  refuse(key: OrderKey, attempt: number, refusal: NotRunAnswer): boolean {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' && entry?.kind !== 'running') return false;
    if (entry.attempt !== attempt) return false;
    if (entry.kind === 'running' && entry.sent) {
      this.options.onViolation('not-run-is-true', `${key.text} was sent without proof`);
      return false;
    }
    this.endUnsent(key, entry);
    const { code, newTicket } = refusal;
    const nowMs = this.nowMs();
    const retryAtMs = nowMs + refusal.retryAfterMs;
    this.refusals.remember(key.text, { code, newTicket, retryAtMs }, nowMs);
    return true;
  }

  /** Ends an attempt that the witness did not allow. */
  abandon(key: OrderKey, attempt: number): void {
    const entry = this.table.get(key.text);
    if (entry?.kind === 'claiming' && entry.attempt === attempt) this.table.delete(key.text);
  }

  /** How far an attempt got. */
  attemptState(key: OrderKey, attempt: number): AttemptState {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' && entry?.kind !== 'running') return 'ended';
    if (entry.attempt !== attempt) return 'ended';
    if (entry.kind === 'claiming') return 'claiming';
    return entry.sent ? 'sent' : 'not-sent';
  }

  /** Home: starts nothing new; keys without an entry are left to the witness. */
  stopHome(): void {
    this.isHandedOver = true;
  }

  /** Home: the entries that the witnesses of a member need when it stops. */
  entriesToHandOver(home: MemberId): Handover[] {
    return collectHandovers(this.table.entries(), home);
  }

  private beginNew(key: OrderKey, requestHash: string, nowMs: number): BeginResult {
    if (this.isHandedOver && key.ticket.witness !== undefined) return { kind: 'ask-witness' };
    const refused = this.answerRefused(key, nowMs);
    if (refused !== undefined) return { kind: 'answer', answer: refused };
    const ageMs = nowMs - key.ticket.issuedAtMs;
    if (ageMs >= RETENTION_MS) {
      return { kind: 'answer', answer: unknownFinal(OrderCode.ticketExpired) };
    }
    if (ageMs >= TICKET_VALIDITY_MS) {
      return { kind: 'answer', answer: notRun(OrderCode.ticketExpired) };
    }
    if (this.isHandedOver) return { kind: 'answer', answer: notRun(OrderCode.stopping) };
    if (!this.table.hasRoom()) return { kind: 'answer', answer: notRun(OrderCode.registryFull) };
    const attempt = this.nextAttempt();
    this.table.set(key.text, { kind: 'claiming', requestHash, attempt }, nowMs);
    return { kind: 'start', attempt, takenOver: false };
  }

  private beginTakenOver(key: OrderKey, requestHash: string, nowMs: number): BeginResult {
    const refused = this.answerRefused(key, nowMs);
    if (refused !== undefined) return { kind: 'answer', answer: refused };
    const attempt = this.nextAttempt();
    const basis = 'taken-over';
    const running = { kind: 'running', requestHash, attempt, basis, sent: false } as const;
    this.table.set(key.text, running, nowMs);
    return { kind: 'start', attempt, takenOver: true };
  }

  private answerRefused(key: OrderKey, nowMs: number): OrderAnswer | undefined {
    const refusal = this.refusals.find(key.text, nowMs);
    if (refusal === undefined) return undefined;
    return notRun(refusal.code, Math.ceil(refusal.retryAtMs - nowMs), refusal.newTicket);
  }

  private nextAttempt(): number {
    this.lastAttempt += 1;
    return this.lastAttempt;
  }

  private findRunning(key: OrderKey, attempt: number): RunningEntry | undefined {
    const entry = this.table.get(key.text);
    return entry?.kind === 'running' && entry.attempt === attempt ? entry : undefined;
  }

  private endUnsent(key: OrderKey, entry: OrderEntry): void {
    if (entry.kind === 'running' && entry.basis === 'taken-over') {
      this.table.set(key.text, { kind: 'taken-over' }, this.nowMs());
      return;
    }
    this.table.delete(key.text);
  }
}
