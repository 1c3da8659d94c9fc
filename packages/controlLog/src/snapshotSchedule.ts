import type { Clock, RandomSource } from '@bronzelift/common';

import {
  BASE_SNAPSHOT_DELAY_MS,
  SNAPSHOT_DELAY_RANGE,
  SNAPSHOT_RETENTION_FRACTION,
  URGENT_SNAPSHOT_DELAY_MS,
} from './constants.js';

/**
 * Why a snapshot is due before the regular time: the log lost records that this member knows,
 * or holds no snapshot that readers can start from.
 */
export type EarlySnapshotReason = 'lost-records' | 'no-base' | undefined;

/** Time source, randomness and log retention from which a schedule derives its delays. */
export interface SnapshotScheduleOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time for which the log keeps a record. */
  readonly retentionMs: number;
}

/**
 * Decides when this member publishes a snapshot. Each member draws a random delay and draws
 * again when it sees a snapshot of another member, so that usually only one publishes.
 */
export class SnapshotSchedule {
  private dueAtMs: number | undefined;

  private earlyReason: EarlySnapshotReason;

  private constructor(private readonly options: SnapshotScheduleOptions) {}

  /** Creates a schedule; nothing is due before the first `isDue`. */
  static create(options: SnapshotScheduleOptions): SnapshotSchedule {
    return new SnapshotSchedule(options);
  }

  /** Draws the time of the next snapshot, given one that was appended `ageMs` ago. */
  recordSnapshot(ageMs: number): void {
    const boundedAgeMs = Math.min(Math.max(ageMs, 0), this.options.retentionMs);
    const regularMs = this.drawRegularDelayMs() - boundedAgeMs;
    this.dueAtMs = this.nowMs() + Math.max(regularMs, this.drawDelayMs(URGENT_SNAPSHOT_DELAY_MS));
  }

  /** Whether to publish now; a new reason for an early snapshot brings it forward. */
  isDue(reason: EarlySnapshotReason): boolean {
    if (this.dueAtMs === undefined) this.recordSnapshot(0);
    if (reason !== this.earlyReason) this.handleReasonChange(reason);
    return this.nowMs() >= this.dueAtMs!;
  }

  /** Schedules another attempt after a short random delay, when publishing was not possible. */
  scheduleRetry(): void {
    this.dueAtMs = this.nowMs() + this.drawDelayMs(BASE_SNAPSHOT_DELAY_MS);
  }

  private handleReasonChange(reason: EarlySnapshotReason): void {
    this.earlyReason = reason;
    if (reason === undefined) {
      this.recordSnapshot(0);
      return;
    }
    const delayMs =
      reason === 'no-base'
        ? BASE_SNAPSHOT_DELAY_MS + this.drawDelayMs(BASE_SNAPSHOT_DELAY_MS)
        : this.drawDelayMs(URGENT_SNAPSHOT_DELAY_MS);
    this.dueAtMs = Math.min(this.dueAtMs!, this.nowMs() + delayMs);
  }

  private drawRegularDelayMs(): number {
    const { min, max } = SNAPSHOT_DELAY_RANGE;
    const fraction = min + (max - min) * this.options.random.next();
    return this.options.retentionMs * SNAPSHOT_RETENTION_FRACTION * fraction;
  }

  private drawDelayMs(maxMs: number): number {
    return this.options.random.next() * maxMs;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}
