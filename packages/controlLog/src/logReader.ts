import { sleep } from '@bronzelift/common';
import type { Clock, RandomSource, StepError } from '@bronzelift/common';

import { BACKOFF_MS } from './constants.js';
import type { LogClient } from './logClient.js';
import { LogFollower } from './logFollower.js';
import type { PageOutcome } from './logFollower.js';
import { SnapshotSchedule } from './snapshotSchedule.js';
import type { ControlState, FoldResult, StoredRecord, ViolationHandler } from './types.js';

/** Event that the process should write to its log for the operator. */
export type LogReaderEvent =
  | { readonly kind: 'read-failed'; readonly error: StepError; readonly retryInMs: number }
  | { readonly kind: 'read-recovered' }
  | { readonly kind: 'malformed-page' }
  | { readonly kind: 'log-restarted' }
  | { readonly kind: 'no-base' }
  | { readonly kind: 'snapshot-published'; readonly offset: number }
  | { readonly kind: 'snapshot-failed'; readonly error: StepError };

/** Client of the log service, timing and callbacks of a reader. */
export interface LogReaderOptions {
  readonly client: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Longest time for which the log service may hold a read open. */
  readonly readWaitMs: number;
  /** Time for which the log keeps a record. */
  readonly retentionMs: number;
  /** Called after each change of the state in force. */
  readonly onState: (state: ControlState) => void;
  readonly onViolation: ViolationHandler;
  /** Called for each folded record with its effect. */
  readonly onRecord?: (record: StoredRecord, result: FoldResult) => void;
  readonly onEvent?: (event: LogReaderEvent) => void;
}

/**
 * Compares counters instead of contents. `applyId` is compared as well, because a log that
 * lost records can give one version to two applies.
 */
const isSameState = (left: ControlState, right: ControlState): boolean =>
  left.logId === right.logId &&
  left.nextOffset === right.nextOffset &&
  left.configurationVersion === right.configurationVersion &&
  left.applyId === right.applyId &&
  left.drainRevision === right.drainRevision &&
  left.epoch === right.epoch;

/** Reads the log continuously and publishes snapshots until it is stopped. */
export class LogReader {
  private readonly follower: LogFollower;

  private readonly schedule: SnapshotSchedule;

  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private pendingPublish: Promise<void> | undefined;

  private lastReadStartMs: number | undefined;

  private consecutiveFailures = 0;

  private lastReportedState: ControlState;

  private lastOutcome: PageOutcome | undefined;

  private constructor(private readonly options: LogReaderOptions) {
    this.schedule = SnapshotSchedule.create(options);
    this.follower = LogFollower.create({
      onViolation: options.onViolation,
      ...(options.onRecord && { onRecord: options.onRecord }),
      onSnapshot: (appendedAtMs) =>
        this.schedule.recordSnapshot(options.clock.wallMs() - appendedAtMs),
    });
    this.lastReportedState = this.follower.state;
  }

  /** Creates a reader; it reads after `start`. */
  static create(options: LogReaderOptions): LogReader {
    return new LogReader(options);
  }

  /** State that the process acts on. */
  get state(): ControlState {
    return this.follower.state;
  }

  /**
   * Monotonic start time of the last read that reached the end of the log; undefined before
   * the first such read. The state includes every record appended before that time.
   */
  get lastReadStartedAtMs(): number | undefined {
    return this.lastReadStartMs;
  }

  /** Merges the newer parts of a peer's state into the state in force. */
  adoptPeerState(peerState: ControlState): void {
    this.follower.adoptPeerState(peerState);
    this.reportState();
  }

  /** Starts reading; a second call does nothing. */
  start(): void {
    this.running ??= this.run();
  }

  /** Cancels the open read and waits until reading and publishing have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
    await this.pendingPublish;
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const pauseMs = await this.readOnce();
      if (pauseMs > 0) await sleep(pauseMs, this.stopping.signal);
    }
  }

  /** Reads one page; returns the time to wait before the next read. */
  private async readOnce(): Promise<number> {
    const startedAtMs = this.options.clock.monotonicMs();
    const { from, limit } = this.follower.nextRead;
    const isAtEnd = this.lastOutcome === 'caught-up' || this.lastOutcome === 'no-base';
    const waitMs = isAtEnd ? this.options.readWaitMs : 0;
    const page = await this.options.client.read(from, limit, waitMs, this.stopping.signal);
    if (this.stopping.signal.aborted) return 0;
    if (page.err) {
      if (page.val.tooLarge) this.follower.lowerLimit();
      return this.handleReadFailure(page.val.error);
    }
    return this.handleOutcome(this.follower.acceptPage(page.val), startedAtMs, isAtEnd);
  }

  private handleOutcome(outcome: PageOutcome, startedAtMs: number, hasWaited: boolean): number {
    const previous = this.lastOutcome;
    this.lastOutcome = outcome;
    if (outcome === 'malformed') {
      this.options.onEvent?.({ kind: 'malformed-page' });
      return this.nextBackoffMs();
    }
    if (this.consecutiveFailures > 0) this.options.onEvent?.({ kind: 'read-recovered' });
    this.consecutiveFailures = 0;
    if (outcome === 'restarted') this.options.onEvent?.({ kind: 'log-restarted' });
    if (outcome === 'no-base' && previous !== outcome) this.options.onEvent?.({ kind: 'no-base' });
    if (outcome === 'caught-up') this.lastReadStartMs = startedAtMs;
    this.reportState();
    if (outcome === 'caught-up' || outcome === 'no-base') this.publishWhenDue();
    return this.idlePauseMs(startedAtMs, hasWaited);
  }

  /** Limits the rate of reads when the log service returns at once instead of waiting. */
  private idlePauseMs(startedAtMs: number, hasWaited: boolean): number {
    const isAtEnd = this.lastOutcome === 'caught-up' || this.lastOutcome === 'no-base';
    const tookMs = this.options.clock.monotonicMs() - startedAtMs;
    return hasWaited && isAtEnd && tookMs < BACKOFF_MS.first ? BACKOFF_MS.first - tookMs : 0;
  }

  private handleReadFailure(error: StepError): number {
    const retryInMs = this.nextBackoffMs();
    this.options.onEvent?.({ kind: 'read-failed', error, retryInMs });
    return retryInMs;
  }

  /** Doubles the delay with each failure up to the maximum; half of the delay is random. */
  private nextBackoffMs(): number {
    const fullDelayMs = Math.min(BACKOFF_MS.first * 2 ** this.consecutiveFailures, BACKOFF_MS.max);
    this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, 30);
    return Math.round(fullDelayMs * (0.5 + 0.5 * this.options.random.next()));
  }

  private reportState(): void {
    const { state } = this.follower;
    if (isSameState(state, this.lastReportedState)) return;
    this.lastReportedState = state;
    this.options.onState(state);
  }

  private publishWhenDue(): void {
    if (this.pendingPublish || !this.schedule.isDue(this.follower.earlySnapshotReason)) return;
    const payload = this.follower.createSnapshot();
    if (payload === undefined) {
      this.schedule.scheduleRetry();
      return;
    }
    // Schedules the next snapshot as if this one were on the log already, so that this one is not
    // published again before it is read back.
    this.schedule.recordSnapshot(0);
    this.pendingPublish = this.publish(payload).finally(() => {
      this.pendingPublish = undefined;
    });
  }

  private async publish(payload: string): Promise<void> {
    const appended = await this.options.client.append(payload, this.stopping.signal);
    if (appended.ok) {
      this.options.onEvent?.({ kind: 'snapshot-published', offset: appended.val });
      return;
    }
    this.schedule.scheduleRetry();
    this.options.onEvent?.({ kind: 'snapshot-failed', error: appended.val.error });
  }
}
