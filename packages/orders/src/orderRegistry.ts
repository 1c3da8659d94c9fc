import { assertNever } from '@bronzelift/common';

import type { Clock, MemberId } from '@bronzelift/common';
import { OrderCode, RETENTION_MS, TICKET_VALIDITY_MS } from './constants.js';
import { EntryTable } from './entryTable.js';
import { collectHandovers } from './handover.js';
import { RefusalCache } from './refusalCache.js';
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

/** Progress of an attempt; `ended` also when the key has a newer attempt or no entry. */
export type AttemptState = 'claiming' | 'not-sent' | 'sent' | 'ended';

const createKeyReusedResult = (): BeginResult => ({
  kind: 'answer',
  answer: unknownFinal(OrderCode.keyReused),
});

/** Clock, memory limits and violation handler of a registry. */
export interface RegistryOptions {
  readonly clock: Clock;
  readonly limits: RegistryLimits;
  readonly onViolation: ViolationHandler;
}

/**
 * State of the keys for which this member is the home or the witness. The methods are synchronous,
 * so no other task can change an entry while one of them decides.
 */
export class OrderRegistry {
  /** Handles keys of other homes for which this member is the witness. */
  readonly witness: WitnessRegistry;

  private readonly table: EntryTable;

  private readonly refusals: RefusalCache;

  private lastAttempt = 0;

  private isHomeStopped = false;

  /** Fixed offset in `nowMs`; keeps wall clock steps from changing ticket ages and lifetimes. */
  private readonly wallOriginMs: number;

  private constructor(private readonly options: RegistryOptions) {
    this.table = EntryTable.create(options.limits);
    this.refusals = RefusalCache.create(options.limits.maxRefusals);
    this.witness = WitnessRegistry.create(this.table, () => this.nowMs(), options.onViolation);
    this.wallOriginMs = options.clock.wallMs() - options.clock.monotonicMs();
  }

  static create(options: RegistryOptions): OrderRegistry {
    return new OrderRegistry(options);
  }

  /** Unix milliseconds: the wall clock at creation, advanced by the monotonic clock. */
  nowMs(): number {
    return this.wallOriginMs + this.options.clock.monotonicMs();
  }

  /** Current entries, refused keys and bytes of stored bodies, for metrics. */
  stats(): { entries: number; refusals: number; bodyBytes: number } {
    const { size, storedBodyBytes } = this.table;
    return { entries: size, refusals: this.refusals.size, bodyBytes: storedBodyBytes };
  }

  /** Starts, joins or answers an order at its home, or at the witness that took it over. */
  begin(key: OrderKey, requestHash: string): BeginResult {
    const nowMs = this.nowMs();
    this.table.removeExpired(nowMs);
    const entry = this.table.get(key.text);
    if (entry === undefined) return this.beginNew(key, requestHash, nowMs);
    switch (entry.kind) {
      case 'claiming':
      case 'running':
        return isReused(entry, requestHash) ? createKeyReusedResult() : { kind: 'join' };
      case 'completed':
        if (isReused(entry, requestHash)) return createKeyReusedResult();
        return { kind: 'answer', answer: ran(entry.answer) };
      case 'unknown':
        if (isReused(entry, requestHash)) return createKeyReusedResult();
        return { kind: 'answer', answer: unknownFinal(entry.code) };
      case 'claimed':
        return { kind: 'answer', answer: unknownFinal(OrderCode.homeGone) };
      case 'taken-over':
        return this.beginTakenOver(key, requestHash, nowMs);
      default:
        return assertNever(entry);
    }
  }

  /** Allows an attempt to be sent; returns false when the attempt has already ended. */
  startRun(key: OrderKey, attempt: number, basis: RunBasis): boolean {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' || entry.attempt !== attempt) return false;
    const { requestHash } = entry;
    const running = { kind: 'running', requestHash, attempt, basis, sent: false } as const;
    this.table.set(key.text, running, this.nowMs());
    return true;
  }

  /** Records that the order is being sent; returns false when it must not be sent. */
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

  /** Records evidence that the last send did not run, so that the order may be sent again. */
  markNotRun(key: OrderKey, attempt: number): void {
    const entry = this.findRunning(key, attempt);
    if (entry !== undefined) entry.sent = false;
  }

  /** Ends an attempt and stores the response for retries. */
  complete(key: OrderKey, attempt: number, answer: StoredAnswer): void {
    const entry = this.findRunning(key, attempt);
    if (entry === undefined) return;
    const { requestHash } = entry;
    const storable = this.table.toStorable(answer);
    this.table.set(key.text, { kind: 'completed', requestHash, answer: storable }, this.nowMs());
  }

  /** Ends an attempt whose order was sent when it is not known whether it ran. */
  markUnknown(key: OrderKey, attempt: number, code: string): void {
    const entry = this.findRunning(key, attempt);
    if (entry === undefined) return;
    const { requestHash } = entry;
    this.table.set(key.text, { kind: 'unknown', requestHash, code }, this.nowMs());
  }

  /** Ends an attempt that did not run; returns false and keeps the entry if the order was sent. */
  refuse(key: OrderKey, attempt: number, refusal: NotRunAnswer): boolean {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' && entry?.kind !== 'running') return false;
    if (entry.attempt !== attempt) return false;
    if (entry.kind === 'running' && entry.sent) {
      this.options.onViolation(
        'not-run-is-true',
        `${key.text} was sent, with no evidence that it did not run`,
      );
      return false;
    }
    this.undoUnsentAttempt(key, entry);
    const { code, newTicket } = refusal;
    const nowMs = this.nowMs();
    const retryAtMs = nowMs + refusal.retryAfterMs;
    this.refusals.set(key.text, { code, newTicket, retryAtMs }, nowMs);
    return true;
  }

  /** Ends an attempt whose claim was not granted because the witness has taken the key over. */
  abandon(key: OrderKey, attempt: number): void {
    const entry = this.table.get(key.text);
    if (entry?.kind === 'claiming' && entry.attempt === attempt) this.table.delete(key.text);
  }

  /** Whether an attempt is waiting for its grant, allowed, sent or ended. */
  attemptState(key: OrderKey, attempt: number): AttemptState {
    const entry = this.table.get(key.text);
    if (entry?.kind !== 'claiming' && entry?.kind !== 'running') return 'ended';
    if (entry.attempt !== attempt) return 'ended';
    if (entry.kind === 'claiming') return 'claiming';
    return entry.sent ? 'sent' : 'not-sent';
  }

  /** Home: starts no new orders; keys without an entry are decided by the witness from now on. */
  stopHome(): void {
    this.isHomeStopped = true;
  }

  /** Home: collects the entries to hand over at shutdown, one group per witness. */
  createHandovers(home: MemberId): Handover[] {
    return collectHandovers(this.table.entries(), home);
  }

  private beginNew(key: OrderKey, requestHash: string, nowMs: number): BeginResult {
    if (this.isHomeStopped && key.ticket.witness !== undefined) return { kind: 'ask-witness' };
    const refused = this.findRefusalAnswer(key, nowMs);
    if (refused !== undefined) return { kind: 'answer', answer: refused };
    const ageMs = nowMs - key.ticket.issuedAtMs;
    if (ageMs >= RETENTION_MS) {
      return { kind: 'answer', answer: unknownFinal(OrderCode.ticketExpired) };
    }
    if (ageMs >= TICKET_VALIDITY_MS) {
      return { kind: 'answer', answer: notRun(OrderCode.ticketExpired) };
    }
    if (this.isHomeStopped) return { kind: 'answer', answer: notRun(OrderCode.stopping) };
    if (!this.table.hasRoom()) return { kind: 'answer', answer: notRun(OrderCode.registryFull) };
    const attempt = this.nextAttempt();
    this.table.set(key.text, { kind: 'claiming', requestHash, attempt }, nowMs);
    return { kind: 'start', attempt, takenOver: false };
  }

  private beginTakenOver(key: OrderKey, requestHash: string, nowMs: number): BeginResult {
    const refused = this.findRefusalAnswer(key, nowMs);
    if (refused !== undefined) return { kind: 'answer', answer: refused };
    const attempt = this.nextAttempt();
    const basis = 'taken-over';
    const running = { kind: 'running', requestHash, attempt, basis, sent: false } as const;
    this.table.set(key.text, running, nowMs);
    return { kind: 'start', attempt, takenOver: true };
  }

  private findRefusalAnswer(key: OrderKey, nowMs: number): OrderAnswer | undefined {
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

  /** Restores the state that the key had before an attempt that was not sent. */
  private undoUnsentAttempt(key: OrderKey, entry: OrderEntry): void {
    if (entry.kind === 'running' && entry.basis === 'taken-over') {
      this.table.set(key.text, { kind: 'taken-over' }, this.nowMs());
      return;
    }
    this.table.delete(key.text);
  }
}
