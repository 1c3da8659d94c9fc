import { sleep } from '@bronzelift/common';
import type { Clock, RandomSource, StepError } from '@bronzelift/common';

import { BACKOFF_MS } from './constants.js';
import type { LogClient } from './logClient.js';
import { LogFollower } from './logFollower.js';
import type { PageOutcome } from './logFollower.js';
import { SnapshotSchedule } from './snapshotSchedule.js';
import type { ControlState, FoldResult, StoredRecord, ViolationHandler } from './types.js';

/** Something the operator of the process should see in the logs. */
export type LogReaderEvent =
  | { readonly kind: 'read-failed'; readonly error: StepError; readonly retryInMs: number }
  | { readonly kind: 'read-recovered' }
  | { readonly kind: 'malformed-page' }
  | { readonly kind: 'log-restarted' }
  | { readonly kind: 'no-base' }
  | { readonly kind: 'snapshot-published'; readonly offset: number }
  | { readonly kind: 'snapshot-failed'; readonly error: StepError };

/** Options of the reader. */
export interface LogReaderOptions {
  readonly client: LogClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time the log service may hold a read open. */
  readonly readWaitMs: number;
  /** Time for which the log keeps a record. */
  readonly retentionMs: number;
  /** Called after each change of the state in force. */
  readonly onState: (state: ControlState) => void;
  readonly onViolation: ViolationHandler;
  /** Called for each folded record with what it did. */
  readonly onRecord?: (record: StoredRecord, result: FoldResult) => void;
  readonly onEvent?: (event: LogReaderEvent) => void;
}

/** Counters identify the content; a lost log can give one version to two applies. */
const isSameState = (left: ControlState, right: ControlState): boolean =>
  left.logId === right.logId &&
  left.nextOffset === right.nextOffset &&
  left.configurationVersion === right.configurationVersion &&
  left.applyId === right.applyId &&
  left.drainRevision === right.drainRevision &&
  left.epoch === right.epoch;

/** Task that reads the log for as long as the process runs. */
export class LogReader {
  private readonly follower: LogFollower;

  private readonly schedule: SnapshotSchedule;

  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private publishing: Promise<void> | undefined;

  private lastReadMs: number | undefined;

  private failures = 0;

  private reported: ControlState;

  private lastOutcome: PageOutcome | undefined;

  private constructor(private readonly options: LogReaderOptions) {
    this.schedule = SnapshotSchedule.create(options);
    this.follower = LogFollower.create({
      onViolation: options.onViolation,
      ...(options.onRecord && { onRecord: options.onRecord }),
      onSnapshot: (appendedAtMs) =>
        this.schedule.noticeSnapshot(options.clock.wallMs() - appendedAtMs),
    });
    this.reported = this.follower.state;
  }

  /** Creates a reader; it reads after `start`. */
  static create(options: LogReaderOptions): LogReader {
    return new LogReader(options);
  }

  /** State in force. */
  get state(): ControlState {
    return this.follower.state;
  }

  /**
   * Monotonic time at which the last read began that reached the end of the log; undefined
   * before the first. The state holds every record appended before that time.
   */
  get lastReadStartedAtMs(): number | undefined {
    return this.lastReadMs;
  }

  /** Takes over what a peer knows beyond the own state. */
  adoptPeerState(peersState: ControlState): void {
    this.follower.adoptPeerState(peersState);
    this.reportState();
  }

  /** Starts reading; a second call does nothing. */
  start(): void {
    this.running ??= this.run();
  }

  /** Ends the open read and waits for the task. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.running;
    await this.publishing;
  }

  private async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const pauseMs = await this.readOnce();
      if (pauseMs > 0) await sleep(pauseMs, this.stopping.signal);
    }
  }

  /** Reads one page; returns how long to pause before the next. */
  private async readOnce(): Promise<number> {
    const startedAtMs = this.options.clock.monotonicMs();
    const { from, limit } = this.follower.nextRead;
    const atEnd = this.lastOutcome === 'caught-up' || this.lastOutcome === 'no-base';
    const waitMs = atEnd ? this.options.readWaitMs : 0;
    const page = await this.options.client.read(from, limit, waitMs, this.stopping.signal);
    if (this.stopping.signal.aborted) return 0;
    if (page.err) {
      if (page.val.tooLarge) this.follower.lowerLimit();
      return this.noticeFailure(page.val.error);
    }
    return this.noticeOutcome(this.follower.acceptPage(page.val), startedAtMs, atEnd);
  }

  private noticeOutcome(outcome: PageOutcome, startedAtMs: number, waited: boolean): number {
    const former = this.lastOutcome;
    this.lastOutcome = outcome;
    if (outcome === 'malformed') {
      this.options.onEvent?.({ kind: 'malformed-page' });
      return this.nextBackoffMs();
    }
    if (this.failures > 0) this.options.onEvent?.({ kind: 'read-recovered' });
    this.failures = 0;
    if (outcome === 'restarted') this.options.onEvent?.({ kind: 'log-restarted' });
    if (outcome === 'no-base' && former !== outcome) this.options.onEvent?.({ kind: 'no-base' });
    if (outcome === 'caught-up') this.lastReadMs = startedAtMs;
    this.reportState();
    if (outcome === 'caught-up' || outcome === 'no-base') this.publishWhenDue();
    return this.idlePauseMs(startedAtMs, waited);
  }

  /** Keeps a log service that doesn't wait from being asked without a pause. */
  private idlePauseMs(startedAtMs: number, waited: boolean): number {
    const atEnd = this.lastOutcome === 'caught-up' || this.lastOutcome === 'no-base';
    const tookMs = this.options.clock.monotonicMs() - startedAtMs;
    return waited && atEnd && tookMs < BACKOFF_MS.first ? BACKOFF_MS.first - tookMs : 0;
  }

  private noticeFailure(error: StepError): number {
    const retryInMs = this.nextBackoffMs();
    this.options.onEvent?.({ kind: 'read-failed', error, retryInMs });
    return retryInMs;
  }

  /** Doubles from failure to failure up to the cap; half of it is random. */
  private nextBackoffMs(): number {
    const wholeMs = Math.min(BACKOFF_MS.first * 2 ** this.failures, BACKOFF_MS.max);
    this.failures = Math.min(this.failures + 1, 30);
    return Math.round(wholeMs * (0.5 + 0.5 * this.options.random.next()));
  }

  private reportState(): void {
    const { state } = this.follower;
    if (isSameState(state, this.reported)) return;
    this.reported = state;
    this.options.onState(state);
  }

  private publishWhenDue(): void {
    if (this.publishing || !this.schedule.isDue(this.follower.snapshotNeed)) return;
    const payload = this.follower.createSnapshot();
    if (payload === undefined) {
      this.schedule.retrySoon();
      return;
    }
    // Until it is seen on the log, the next attempt is drawn as if it were there.
    this.schedule.noticeSnapshot(0);
    this.publishing = this.publish(payload).finally(() => {
      this.publishing = undefined;
    });
  }

  private async publish(payload: string): Promise<void> {
    const appended = await this.options.client.append(payload, this.stopping.signal);
    if (appended.ok) {
      this.options.onEvent?.({ kind: 'snapshot-published', offset: appended.val });
      return;
    }
    this.schedule.retrySoon();
    this.options.onEvent?.({ kind: 'snapshot-failed', error: appended.val.error });
  }
}
