import { decodeRecord } from './codec.js';
import { INITIAL_STATE, READ_LIMIT, READ_SIZE_BYTES } from './constants.js';
import { foldRecord } from './fold.js';
import { advanceState } from './order.js';
import { createSnapshot, createUnboundSnapshot, mergeState, restoreState } from './state.js';
import type { ControlState, FoldResult, LogPage, StoredRecord, ViolationHandler } from './types.js';
import { isNewerInPart } from './utils.js';

/** Where a page left the reader. */
export type PageOutcome =
  /** There is more to read at once. */
  | 'behind'
  /** Everything on the log is folded. */
  | 'caught-up'
  /** The end is reached, but the kept records hold nothing to start from. */
  | 'no-base'
  /** The log lost records; reading starts again from its first kept record. */
  | 'restarted'
  /** The response contradicts itself. */
  | 'malformed';

/** Options of a follower. */
export interface LogFollowerOptions {
  readonly onViolation: ViolationHandler;
  /** Called for each folded record with what it did, in order. */
  readonly onRecord?: (record: StoredRecord, result: FoldResult) => void;
  /** Called when a snapshot goes by; the time is the log's. */
  readonly onSnapshot?: (appendedAtMs: number) => void;
}

type Phase =
  /** Looks for the last snapshot that the kept records can continue from. */
  | { readonly kind: 'searching'; readonly base: ControlState | undefined }
  | { readonly kind: 'folding'; readonly folded: ControlState };

const SEARCH_FROM_NOTHING: Phase = { kind: 'searching', base: undefined };

/**
 * Follows a log page by page and keeps the state in force.
 *
 * Two states are kept apart. `folded` is the fold of the present log and decides about its
 * records, so that all readers decide alike. The state in force also holds what peers or an
 * earlier log told, and never goes back.
 */
export class LogFollower {
  private phase: Phase = SEARCH_FROM_NOTHING;

  private position = 0;

  private logId = '';

  private limit: number = READ_LIMIT.first;

  private inForce: ControlState = INITIAL_STATE;

  private lostRecords = false;

  /** Whether a peer's state came in since the last page; it may reach beyond that page. */
  private adoptedSincePage = false;

  private adoptedBeforePage = false;

  private constructor(private readonly options: LogFollowerOptions) {}

  /** Creates a follower that has read nothing. */
  static create(options: LogFollowerOptions): LogFollower {
    return new LogFollower(options);
  }

  /** State to act on. */
  get state(): ControlState {
    return this.inForce;
  }

  /** Fold of the log alone; undefined until there is a base to start from. */
  get foldedState(): ControlState | undefined {
    return this.phase.kind === 'folding' ? this.phase.folded : undefined;
  }

  /** Offset and number of records to ask for next. */
  get nextRead(): { readonly from: number; readonly limit: number } {
    return { from: this.position, limit: this.limit };
  }

  /** What the log lacks of this follower's knowledge, so that a snapshot is due early. */
  get snapshotNeed(): 'lost-records' | 'no-base' | undefined {
    const { foldedState } = this;
    if (foldedState === undefined) {
      return isNewerInPart(this.inForce, INITIAL_STATE) ? 'no-base' : undefined;
    }
    return this.lostRecords && isNewerInPart(this.inForce, foldedState)
      ? 'lost-records'
      : undefined;
  }

  /** Asks for fewer records, after a response that was too large. */
  lowerLimit(): void {
    this.limit = Math.max(READ_LIMIT.min, Math.floor(this.limit / 2));
  }

  /** Takes over what a peer knows beyond the own state; returns whether anything changed. */
  adoptPeerState(peersState: ControlState): boolean {
    this.adoptedSincePage = true;
    return this.advance(mergeState(this.inForce, peersState));
  }

  /** Takes in a response of the log service. */
  acceptPage(page: LogPage): PageOutcome {
    this.adoptedBeforePage = this.adoptedSincePage;
    this.adoptedSincePage = false;
    if (this.logId !== '' && (page.logId !== this.logId || page.endOffset < this.position)) {
      this.lostRecords = true;
      this.searchAgain(page.logId, page.firstOffset);
      return 'restarted';
    }
    this.logId = page.logId;
    if (page.firstOffset > this.position) {
      // Records expired before they were read; a first read at offset 0 also comes here.
      this.lostRecords = this.position > 0 || this.lostRecords;
      this.searchAgain(page.logId, page.firstOffset);
    }
    if (!this.readRecords(page)) return 'malformed';
    this.adaptLimit(page);
    return this.finishPage(page);
  }

  /** Snapshot record to publish, if this follower knows anything. */
  createSnapshot(): string | undefined {
    const { foldedState } = this;
    if (foldedState !== undefined) {
      return isNewerInPart(this.inForce, foldedState)
        ? createUnboundSnapshot(this.inForce)
        : createSnapshot(foldedState);
    }
    return this.createBase();
  }

  /**
   * Snapshot of the empty state at the end of a log without a base, for an operator who
   * knows that nobody holds the state any more. Undefined when there is a base.
   */
  createEmptyBase(): string | undefined {
    if (this.logId === '' || this.phase.kind === 'folding') return undefined;
    return createSnapshot({ ...INITIAL_STATE, logId: this.logId, nextOffset: this.position });
  }

  /**
   * Snapshot that lets readers start when the kept records hold no base. A state that holds
   * records beyond the last page is not used: they would be folded twice.
   */
  private createBase(): string | undefined {
    const knowsNothing = this.logId === '' || !isNewerInPart(this.inForce, INITIAL_STATE);
    if (knowsNothing || this.adoptedBeforePage || this.adoptedSincePage) return undefined;
    return createSnapshot({ ...this.inForce, logId: this.logId, nextOffset: this.position });
  }

  private searchAgain(logId: string, firstOffset: number): void {
    this.logId = logId;
    this.position = firstOffset;
    this.phase = SEARCH_FROM_NOTHING;
  }

  private readRecords(page: LogPage): boolean {
    const unread = page.records.filter((record) => record.offset >= this.position);
    if (unread.length === 0) return this.position >= page.endOffset;
    return unread.every((record) => {
      if (record.offset !== this.position) return false;
      this.readRecord(record, page);
      this.position += 1;
      return true;
    });
  }

  private readRecord(record: StoredRecord, page: LogPage): void {
    if (this.phase.kind === 'searching') {
      this.considerBase(record, page);
      return;
    }
    const result = foldRecord(this.phase.folded, record.offset, record.payload);
    this.phase = { kind: 'folding', folded: result.state };
    this.options.onRecord?.(record, result);
    if (this.options.onSnapshot) this.noticeSnapshot(record);
  }

  private noticeSnapshot(record: StoredRecord): void {
    if (typeof record.payload === 'string' && !record.payload.includes('state-snapshot')) return;
    const decoded = decodeRecord(record.payload);
    if (decoded.ok && decoded.val.kind === 'state-snapshot') {
      this.options.onSnapshot?.(record.appendedAtMs);
    }
  }

  /**
   * A snapshot can be continued when it is a fold of this log and every record from its
   * offset on is kept. The records between that offset and the snapshot itself are folded
   * again, since its author may have been behind.
   */
  private considerBase(record: StoredRecord, page: LogPage): void {
    const decoded = decodeRecord(record.payload);
    if (decoded.err || decoded.val.kind !== 'state-snapshot') return;
    this.options.onSnapshot?.(record.appendedAtMs);
    const { asOfOffset, state } = decoded.val;
    const isOfThisLog = state.logId === page.logId && state.nextOffset === asOfOffset;
    if (!isOfThisLog || asOfOffset > record.offset || asOfOffset < page.firstOffset) return;
    const base = this.phase.kind === 'searching' ? this.phase.base : undefined;
    if (base !== undefined && base.nextOffset >= asOfOffset) return;
    const restored = restoreState(state, base);
    if (restored.ok) this.phase = { kind: 'searching', base: restored.val };
  }

  private finishPage(page: LogPage): PageOutcome {
    if (this.phase.kind === 'searching') {
      return this.position < page.endOffset ? 'behind' : this.startFolding(page);
    }
    const caughtUp = this.position >= page.endOffset;
    // A fresh reader passes through old states, which it must not act on.
    if (!caughtUp) return 'behind';
    this.advance(mergeState(this.phase.folded, this.inForce));
    this.lostRecords &&= isNewerInPart(this.inForce, this.phase.folded);
    return 'caught-up';
  }

  private startFolding(page: LogPage): PageOutcome {
    const folded = this.findBase(page);
    if (folded === undefined) return 'no-base';
    this.phase = { kind: 'folding', folded };
    this.position = folded.nextOffset;
    return this.position < page.endOffset ? 'behind' : this.finishPage(page);
  }

  private findBase(page: LogPage): ControlState | undefined {
    const base = this.phase.kind === 'searching' ? this.phase.base : undefined;
    if (base !== undefined && base.nextOffset >= page.firstOffset) return base;
    return page.firstOffset === 0 ? { ...INITIAL_STATE, logId: page.logId } : undefined;
  }

  private advance(next: ControlState): boolean {
    const former = this.inForce;
    this.inForce = advanceState(former, next, this.options.onViolation);
    return this.inForce !== former;
  }

  private adaptLimit(page: LogPage): void {
    if (page.sizeBytes > READ_SIZE_BYTES.high) this.lowerLimit();
    else if (page.sizeBytes < READ_SIZE_BYTES.low) {
      this.limit = Math.min(READ_LIMIT.max, this.limit * 2);
    }
  }
}
