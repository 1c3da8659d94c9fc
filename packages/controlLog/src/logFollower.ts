import { decodeRecord } from './codec.js';
import { INITIAL_STATE, READ_LIMIT, READ_SIZE_BYTES } from './constants.js';
import { foldRecord } from './fold.js';
import { advanceState } from './advanceState.js';
import { createSnapshot, createUnboundSnapshot, mergeState, restoreState } from './state.js';
import type { ControlState, FoldResult, LogPage, StoredRecord, ViolationHandler } from './types.js';
import { hasHigherCounter } from './utils.js';

/** What a follower reached or detected by processing a page. */
export type PageOutcome =
  /** The log holds further records that can be read at once. */
  | 'behind'
  /** Everything on the log is folded. */
  | 'caught-up'
  /** The end is reached, but the kept records contain no snapshot to start from. */
  | 'no-base'
  /** The log lost records; reading restarts at its first kept record. */
  | 'restarted'
  /** The offsets in the response are inconsistent. */
  | 'malformed';

/** Callbacks of a follower. */
export interface LogFollowerOptions {
  readonly onViolation: ViolationHandler;
  /** Called for each folded record with its effect, in log order. */
  readonly onRecord?: (record: StoredRecord, result: FoldResult) => void;
  /** Called for each snapshot read, with the time at which the log service appended it. */
  readonly onSnapshot?: (appendedAtMs: number) => void;
}

type Phase =
  /** Searches for the latest snapshot from which the kept records can be folded. */
  | { readonly kind: 'searching'; readonly base: ControlState | undefined }
  | { readonly kind: 'folding'; readonly folded: ControlState };

const EMPTY_SEARCH: Phase = { kind: 'searching', base: undefined };

/**
 * Folds a log page by page and maintains the state in force.
 *
 * Keeps two separate states. `folded` is the fold of the current log alone; each record is
 * applied to it, so that all readers reach the same decisions. The state in force also
 * includes newer parts from peers or from an earlier log, and its counters never decrease.
 */
export class LogFollower {
  private phase: Phase = EMPTY_SEARCH;

  private position = 0;

  private logId = '';

  private limit: number = READ_LIMIT.first;

  private stateInForce: ControlState = INITIAL_STATE;

  private hasLostRecords = false;

  /** Whether a peer's state was merged since the last page; that state may include later records. */
  private hasAdoptedSincePage = false;

  private hasAdoptedBeforePage = false;

  private constructor(private readonly options: LogFollowerOptions) {}

  /** Creates a follower that has read nothing. */
  static create(options: LogFollowerOptions): LogFollower {
    return new LogFollower(options);
  }

  /** State that the process acts on. */
  get state(): ControlState {
    return this.stateInForce;
  }

  /** Fold of the current log alone; undefined until a base is found. */
  get foldedState(): ControlState | undefined {
    return this.phase.kind === 'folding' ? this.phase.folded : undefined;
  }

  /** Offset and maximum number of records of the next read. */
  get nextRead(): { readonly from: number; readonly limit: number } {
    return { from: this.position, limit: this.limit };
  }

  /** Why a snapshot is due early: the log lacks state that this follower holds. */
  get earlySnapshotReason(): 'lost-records' | 'no-base' | undefined {
    const { foldedState } = this;
    if (foldedState === undefined) {
      return hasHigherCounter(this.stateInForce, INITIAL_STATE) ? 'no-base' : undefined;
    }
    return this.hasLostRecords && hasHigherCounter(this.stateInForce, foldedState)
      ? 'lost-records'
      : undefined;
  }

  /** Halves the number of records per read, after a response that was too large. */
  lowerLimit(): void {
    this.limit = Math.max(READ_LIMIT.min, Math.floor(this.limit / 2));
  }

  /** Merges the newer parts of a peer's state; returns whether the state in force changed. */
  adoptPeerState(peerState: ControlState): boolean {
    this.hasAdoptedSincePage = true;
    return this.advance(mergeState(this.stateInForce, peerState));
  }

  /** Processes a page that the log service returned. */
  acceptPage(page: LogPage): PageOutcome {
    this.hasAdoptedBeforePage = this.hasAdoptedSincePage;
    this.hasAdoptedSincePage = false;
    if (this.logId !== '' && (page.logId !== this.logId || page.endOffset < this.position)) {
      this.hasLostRecords = true;
      this.restartSearch(page.logId, page.firstOffset);
      return 'restarted';
    }
    this.logId = page.logId;
    if (page.firstOffset > this.position) {
      // Records expired before they were read; on a first read, at offset 0, this is not a loss.
      this.hasLostRecords = this.position > 0 || this.hasLostRecords;
      this.restartSearch(page.logId, page.firstOffset);
    }
    if (!this.readRecords(page)) return 'malformed';
    this.adaptLimit(page);
    return this.finishPage(page);
  }

  /** Encodes the snapshot record to publish; undefined when there is no state to publish. */
  createSnapshot(): string | undefined {
    const { foldedState } = this;
    if (foldedState !== undefined) {
      return hasHigherCounter(this.stateInForce, foldedState)
        ? createUnboundSnapshot(this.stateInForce)
        : createSnapshot(foldedState);
    }
    return this.createBase();
  }

  /**
   * Encodes a snapshot of the empty state at the end of a log without a base, for an operator
   * who knows that no process holds the state any more. Undefined when there is a base.
   */
  createEmptyBase(): string | undefined {
    if (this.logId === '' || this.phase.kind === 'folding') return undefined;
    return createSnapshot({ ...INITIAL_STATE, logId: this.logId, nextOffset: this.position });
  }

  /**
   * Encodes a snapshot from which readers can start when the kept records contain no base. A
   * state that may include records after the last page is not used: they would be folded twice.
   */
  private createBase(): string | undefined {
    const hasNoState = this.logId === '' || !hasHigherCounter(this.stateInForce, INITIAL_STATE);
    if (hasNoState || this.hasAdoptedBeforePage || this.hasAdoptedSincePage) return undefined;
    return createSnapshot({ ...this.stateInForce, logId: this.logId, nextOffset: this.position });
  }

  private restartSearch(logId: string, firstOffset: number): void {
    this.logId = logId;
    this.position = firstOffset;
    this.phase = EMPTY_SEARCH;
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
      this.considerAsBase(record, page);
      return;
    }
    const result = foldRecord(this.phase.folded, record.offset, record.payload);
    this.phase = { kind: 'folding', folded: result.state };
    this.options.onRecord?.(record, result);
    if (this.options.onSnapshot) this.reportSnapshot(record);
  }

  private reportSnapshot(record: StoredRecord): void {
    if (typeof record.payload === 'string' && !record.payload.includes('state-snapshot')) return;
    const decoded = decodeRecord(record.payload);
    if (decoded.ok && decoded.val.kind === 'state-snapshot') {
      this.options.onSnapshot?.(record.appendedAtMs);
    }
  }

  /**
   * A snapshot can serve as the base when it is a fold of this log and every record from its
   * `asOfOffset` on is kept. The records between that offset and the snapshot record are
   * folded again, because the member that published it may have been behind.
   */
  private considerAsBase(record: StoredRecord, page: LogPage): void {
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
    const isCaughtUp = this.position >= page.endOffset;
    // A new reader passes through old states while it catches up; it must not act on them.
    if (!isCaughtUp) return 'behind';
    this.advance(mergeState(this.phase.folded, this.stateInForce));
    this.hasLostRecords &&= hasHigherCounter(this.stateInForce, this.phase.folded);
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
    const previous = this.stateInForce;
    this.stateInForce = advanceState(previous, next, this.options.onViolation);
    return this.stateInForce !== previous;
  }

  private adaptLimit(page: LogPage): void {
    if (page.sizeBytes > READ_SIZE_BYTES.high) this.lowerLimit();
    else if (page.sizeBytes < READ_SIZE_BYTES.low) {
      this.limit = Math.min(READ_LIMIT.max, this.limit * 2);
    }
  }
}
