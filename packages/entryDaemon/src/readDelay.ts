import type { Clock } from '@bronzelift/common';

import { MAINTENANCE_INTERVAL_MS, READ_BACKLOG_MS } from './constants.js';

/**
 * Estimates how long requests may have waited unread in the sockets of this process. After a pause,
 * all requests that arrived during it are read at once and look new, although their callers may
 * have stopped waiting.
 */
export class ReadDelay {
  private lastTickMs: number;

  private lastGapMs = 0;

  private gapEndedAtMs = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.lastTickMs = clock.monotonicMs();
  }

  /** Creates an estimate; `tick` must be called every `MAINTENANCE_INTERVAL_MS`. */
  static create(clock: Clock): ReadDelay {
    return new ReadDelay(clock);
  }

  /** Records a timer tick; returns by how many milliseconds it was late. */
  tick(): number {
    const nowMs = this.clock.monotonicMs();
    const gapMs = nowMs - this.lastTickMs - MAINTENANCE_INTERVAL_MS;
    if (gapMs > this.recentGapMs(nowMs)) {
      this.lastGapMs = gapMs;
      this.gapEndedAtMs = nowMs;
    }
    this.lastTickMs = nowMs;
    return gapMs;
  }

  /** Longest time in milliseconds that a request read now may have waited. */
  maxDelayMs(): number {
    const nowMs = this.clock.monotonicMs();
    // Sockets may be read before the timers that became due during a pause.
    const sinceTickMs = nowMs - this.lastTickMs - MAINTENANCE_INTERVAL_MS;
    return Math.max(0, sinceTickMs, this.recentGapMs(nowMs));
  }

  private recentGapMs(nowMs: number): number {
    return nowMs - this.gapEndedAtMs < READ_BACKLOG_MS ? this.lastGapMs : 0;
  }
}
