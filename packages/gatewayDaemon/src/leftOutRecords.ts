import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import { LEFT_OUT_LOG_INTERVAL_MS, MAX_LEFT_OUT_RECORDS, MAX_NAME_CHARS } from './constants.js';

/** Dependencies of LeftOutRecords. */
export interface LeftOutRecordsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** Counts the records of the store that could not be decoded, and logs each of them once. */
export class LeftOutRecords {
  /** Monotonic time of the last log line of each record. */
  private readonly loggedAtMs = new Map<string, number>();

  private constructor(private readonly options: LeftOutRecordsOptions) {}

  static create(options: LeftOutRecordsOptions): LeftOutRecords {
    return new LeftOutRecords(options);
  }

  /** Records that the record of a key is left out. */
  record(key: string, problem: string): void {
    const { clock, log, metrics } = this.options;
    metrics.counter('bronzelift_records_left_out_total').increment();
    const nowMs = clock.monotonicMs();
    const shownKey = key.slice(0, MAX_NAME_CHARS);
    const name = `${shownKey} ${problem}`;
    if (nowMs - (this.loggedAtMs.get(name) ?? -Infinity) < LEFT_OUT_LOG_INTERVAL_MS) return;
    if (this.loggedAtMs.size >= MAX_LEFT_OUT_RECORDS) this.loggedAtMs.clear();
    this.loggedAtMs.set(name, nowMs);
    log.warn(LogComponent.config, 'record left out', { key: shownKey, problem });
  }
}
