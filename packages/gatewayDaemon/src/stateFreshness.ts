import type { Clock, VmId } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import {
  LOOP_DELAY_MEMORY_MS,
  MIN_LOGGED_LOOP_DELAY_MS,
  MIN_LOGGED_READ_GAP_MS,
  NEVER_READ_AGE_MS,
} from './constants.js';

/** Dependencies of a StateFreshness. */
export interface StateFreshnessOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** How current the state was when a change took effect, for log lines. */
export interface FreshnessFields {
  /** Age of the newest read of the store by any member that is known here. */
  readonly readAgeMs: number;
  /** Largest delay of a timer of this process within LOOP_DELAY_MEMORY_MS. */
  readonly loopDelayMs: number;
}

/**
 * Tells why a change took effect late: no member read the store, or this process was held up. If
 * neither was the case, the change was late on its way between members.
 */
export class StateFreshness {
  /** Monotonic time of the newest read of the registrations by any member. */
  private readAtMs = -Infinity;

  private delayMs = 0;

  private delayAtMs = -Infinity;

  private constructor(private readonly options: StateFreshnessOptions) {}

  static create(options: StateFreshnessOptions): StateFreshness {
    return new StateFreshness(options);
  }

  /** Time since the newest known read; NEVER_READ_AGE_MS before the first one. */
  get readAgeMs(): number {
    return Math.min(this.now() - this.readAtMs, NEVER_READ_AGE_MS);
  }

  /** Largest recent delay of a timer of this process. */
  get loopDelayMs(): number {
    return this.now() - this.delayAtMs < LOOP_DELAY_MEMORY_MS ? this.delayMs : 0;
  }

  /** Records that some member read the registrations at the given monotonic time. */
  recordRead(atMs: number, toldBy: VmId): void {
    if (atMs <= this.readAtMs) return;
    const gapMs = atMs - this.readAtMs;
    this.readAtMs = atMs;
    if (gapMs < MIN_LOGGED_READ_GAP_MS || !Number.isFinite(gapMs)) return;
    this.options.log.warn(LogComponent.log, 'no member had read the store', {
      forMs: Math.round(gapMs),
      toldBy,
      loopDelayMs: Math.round(this.loopDelayMs),
    });
  }

  /** Records a timer that was due at the given monotonic time and has run now. */
  recordTimer(dueAtMs: number): void {
    const nowMs = this.now();
    const delayMs = Math.max(nowMs - dueAtMs, 0);
    // Several timers are late by the same delay; one of them is logged.
    if (delayMs <= this.loopDelayMs) return;
    this.delayMs = delayMs;
    this.delayAtMs = nowMs;
    if (delayMs < MIN_LOGGED_LOOP_DELAY_MS) return;
    this.options.log.warn(LogComponent.daemon, 'process was held up', {
      forMs: Math.round(delayMs),
    });
  }

  /** Describes the current freshness for a log line. */
  describe(): FreshnessFields {
    return {
      readAgeMs: Math.round(this.readAgeMs),
      loopDelayMs: Math.round(this.loopDelayMs),
    };
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
