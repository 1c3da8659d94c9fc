import type { Clock } from '@bronzelift/common';

import { MAINTENANCE_INTERVAL_MS, READ_BACKLOG_MS } from './constants.js';

/**
 * How long requests may have waited unread in the sockets of this process. After a pause all that
 * arrived meanwhile is read at once and looks new, although callers may have given it up.
 */
export class ReadDelay {
  private lastTickMs: number;

  private lastGapMs = 0;

  private gapEndedAtMs = -Infinity;

  private constructor(private readonly clock: Clock) {
    this.lastTickMs = clock.monotonicMs();
  }

  /** Creates the measurement; it needs a tick every `MAINTENANCE_INTERVAL_MS`. */
  static create(clock: Clock): ReadDelay {
    return new ReadDelay(clock);
  }

  /** Takes a tick; returns by how much it came too late, in milliseconds. */
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
  possibleMs(): number {
    const nowMs = this.clock.monotonicMs();
    // Sockets may be read before the timers that came due during a pause.
    const sinceTickMs = nowMs - this.lastTickMs - MAINTENANCE_INTERVAL_MS;
    return Math.max(0, sinceTickMs, this.recentGapMs(nowMs));
  }

  private recentGapMs(nowMs: number): number {
    return nowMs - this.gapEndedAtMs < READ_BACKLOG_MS ? this.lastGapMs : 0;
  }
}
