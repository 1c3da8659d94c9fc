import type { Clock } from '@bronzelift/common';

import { MAINTENANCE_INTERVAL_MS, READ_BACKLOG_MS } from './constants.js';

interface Pause {
  readonly durationMs: number;
  /** Time for which the process has run since. */
  runMs: number;
}

/**
 * Estimates how long requests may have waited unread in the sockets of this process. After a pause,
 * all requests that arrived during it are read at once and look new, although their callers may
 * have stopped waiting.
 */
export class ReadDelay {
  private lastTickMs: number;

  /** Pauses whose requests may not all have been read yet. */
  private pauses: Pause[] = [];

  private constructor(private readonly clock: Clock) {
    this.lastTickMs = clock.monotonicMs();
  }

  /** Creates an estimate; `tick` must be called every `MAINTENANCE_INTERVAL_MS`. */
  static create(clock: Clock): ReadDelay {
    return new ReadDelay(clock);
  }

  /** Records a timer tick; returns by how many milliseconds it was late. */
  tick(): number {
    const gapMs = this.latenessMs();
    // A later pause does not count as time in which requests were read.
    for (const pause of this.pauses) pause.runMs += MAINTENANCE_INTERVAL_MS;
    this.pauses = this.pauses.filter(({ runMs }) => runMs < READ_BACKLOG_MS);
    if (gapMs > 0) this.pauses.push({ durationMs: gapMs, runMs: 0 });
    this.lastTickMs = this.clock.monotonicMs();
    return gapMs;
  }

  /** Longest time in milliseconds that a request read now may have waited. */
  maxDelayMs(): number {
    // Sockets may be read before the timers that became due during a pause.
    const durationsMs = [this.latenessMs(), ...this.pauses.map(({ durationMs }) => durationMs)];
    // A request is not left unread through several timers that are only slightly late.
    const longMs = durationsMs.filter((durationMs) => durationMs >= MAINTENANCE_INTERVAL_MS);
    const sumMs = longMs.reduce((sum, durationMs) => sum + durationMs, 0);
    return Math.max(0, sumMs, ...durationsMs);
  }

  private latenessMs(): number {
    return this.clock.monotonicMs() - this.lastTickMs - MAINTENANCE_INTERVAL_MS;
  }
}
