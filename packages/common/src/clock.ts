import { setTimeout as delay } from 'node:timers/promises';

import type { Clock } from './types.js';

/** Reads time from the operating system. */
export class SystemClock implements Clock {
  private constructor(private readonly originMs: number) {}

  static create(): SystemClock {
    return new SystemClock(performance.timeOrigin);
  }

  /** Milliseconds since the process started. */
  // eslint-disable-next-line class-methods-use-this -- required by the Clock interface
  monotonicMs(): number {
    return performance.now();
  }

  /** Milliseconds since the Unix epoch. */
  wallMs(): number {
    return Math.max(Date.now(), this.originMs);
  }
}

/** Waits for a duration in milliseconds; returns false if the signal aborted the wait. */
export const sleep = async (durationMs: number, signal?: AbortSignal): Promise<boolean> => {
  try {
    await delay(durationMs, undefined, signal ? { signal } : undefined);
    return true;
  } catch {
    return false;
  }
};
