import type { Clock, RandomSource } from '@bronzelift/common';

import {
  BASE_SNAPSHOT_DELAY_MS,
  SNAPSHOT_DELAY_RANGE,
  SNAPSHOT_RETENTION_PART,
  URGENT_SNAPSHOT_DELAY_MS,
} from './constants.js';

/** Why a snapshot is due before the regular time. */
export type SnapshotNeed = 'lost-records' | 'no-base' | undefined;

/** Options of the schedule. */
export interface SnapshotScheduleOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time for which the log keeps a record. */
  readonly retentionMs: number;
}

/**
 * Decides when this member publishes a snapshot. Every member draws its own delay, and a
 * snapshot of another member starts a new one, so that usually one member publishes.
 */
export class SnapshotSchedule {
  private dueAtMs: number | undefined;

  private need: SnapshotNeed;

  private constructor(private readonly options: SnapshotScheduleOptions) {}

  /** Creates a schedule; nothing is due before the first `isDue`. */
  static create(options: SnapshotScheduleOptions): SnapshotSchedule {
    return new SnapshotSchedule(options);
  }

  /** A snapshot stands on the log since `ageMs`; the next one is drawn from there. */
  noticeSnapshot(ageMs: number): void {
    const knownAgeMs = Math.min(Math.max(ageMs, 0), this.options.retentionMs);
    const regularMs = this.drawRegularDelayMs() - knownAgeMs;
    this.dueAtMs = this.nowMs() + Math.max(regularMs, this.drawDelayMs(URGENT_SNAPSHOT_DELAY_MS));
  }

  /** Whether to publish now, given what the log lacks. */
  isDue(need: SnapshotNeed): boolean {
    if (this.dueAtMs === undefined) this.noticeSnapshot(0);
    if (need !== this.need) this.startNeed(need);
    return this.nowMs() >= this.dueAtMs!;
  }

  /** Publishing failed: the next attempt follows after a short random delay. */
  retrySoon(): void {
    this.dueAtMs = this.nowMs() + this.drawDelayMs(BASE_SNAPSHOT_DELAY_MS);
  }

  private startNeed(need: SnapshotNeed): void {
    this.need = need;
    if (need === undefined) {
      this.noticeSnapshot(0);
      return;
    }
    const delayMs =
      need === 'no-base'
        ? BASE_SNAPSHOT_DELAY_MS + this.drawDelayMs(BASE_SNAPSHOT_DELAY_MS)
        : this.drawDelayMs(URGENT_SNAPSHOT_DELAY_MS);
    this.dueAtMs = Math.min(this.dueAtMs!, this.nowMs() + delayMs);
  }

  private drawRegularDelayMs(): number {
    const { min, max } = SNAPSHOT_DELAY_RANGE;
    const part = min + (max - min) * this.options.random.next();
    return this.options.retentionMs * SNAPSHOT_RETENTION_PART * part;
  }

  private drawDelayMs(maxMs: number): number {
    return this.options.random.next() * maxMs;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}
