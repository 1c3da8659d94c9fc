import { randomUUID } from 'node:crypto';

import type { LogReadResponse, LogRecord } from './types.js';

const RATE_WINDOW_MS = 1000;

/** Append rate and retention limits of a log; null disables a limit. */
export interface LogLimits {
  appendsPerSecond: number;
  retentionMs: number | null;
  retentionRecords: number | null;
}

/** Stores log records in memory and enforces retention and the append limit. */
export class LogStore {
  private records: LogRecord[] = [];

  private recentAppendsMs: number[] = [];

  private id = randomUUID();

  private constructor(
    readonly limits: LogLimits,
    private nextOffset: number,
  ) {}

  /** Creates an empty log whose first record gets the given offset. */
  static create(limits: LogLimits, firstOffset = 0): LogStore {
    return new LogStore(limits, firstOffset);
  }

  /** Offset of the next append. */
  get endOffset(): number {
    return this.nextOffset;
  }

  /** Appends a record; returns undefined when the append limit is reached. */
  append(payload: unknown, nowMs: number): LogRecord | undefined {
    this.recentAppendsMs = this.recentAppendsMs.filter((atMs) => atMs > nowMs - RATE_WINDOW_MS);
    if (this.recentAppendsMs.length >= this.limits.appendsPerSecond) return undefined;
    this.recentAppendsMs.push(nowMs);
    const record = { offset: this.nextOffset, appendedAtMs: nowMs, payload };
    this.nextOffset += 1;
    this.records.push(record);
    return record;
  }

  /** Returns records from an offset on; records below `firstOffset` have expired. */
  read(fromOffset: number, limit: number, nowMs: number): LogReadResponse {
    this.prune(nowMs);
    const firstOffset = this.records[0]?.offset ?? this.nextOffset;
    const start = Math.max(0, fromOffset - firstOffset);
    return {
      logId: this.id,
      firstOffset,
      endOffset: this.nextOffset,
      records: this.records.slice(start, start + limit),
    };
  }

  /** Replaces the log with an empty one that has a new id and starts at `endOffset`. */
  restart(endOffset: number): void {
    this.id = randomUUID();
    this.records = [];
    this.recentAppendsMs = [];
    this.nextOffset = endOffset;
  }

  private prune(nowMs: number): void {
    const { retentionMs, retentionRecords } = this.limits;
    const oldestMs = retentionMs === null ? -Infinity : nowMs - retentionMs;
    const excess = retentionRecords === null ? 0 : this.records.length - retentionRecords;
    let dropped = Math.max(0, excess);
    while (dropped < this.records.length && this.records[dropped]!.appendedAtMs < oldestMs) {
      dropped += 1;
    }
    if (dropped > 0) this.records.splice(0, dropped);
  }
}
