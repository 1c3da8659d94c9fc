import { MAX_CALL_DEPTH } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';

import { HOP_MARGIN_MS } from './constants.js';

const WHOLE_NUMBER = /^\d{1,9}$/;

/** Time limit and depth of a call as its caller stated them; raw header values. */
export interface StatedLimits {
  readonly timeoutMs: string | undefined;
  readonly callDepth: string | undefined;
}

/** Limits of the entry VM itself. */
export interface TimeoutBounds {
  readonly defaultTimeoutMs: number;
  readonly maxTimeoutMs: number;
}

/** Result of reading the limits of a call. */
export type DeadlineResult =
  | { readonly kind: 'accepted'; readonly deadline: Deadline }
  | { readonly kind: 'refused'; readonly code: 'malformed' | 'too-deep' | 'expired' };

/** Limits to hand on with a request. */
export interface HandedOnLimits {
  /** Unix milliseconds. */
  readonly deadlineAtWallMs: number;
  readonly remainingMs: number;
  /** Depth of the calls that the receiver makes. */
  readonly callDepth: number;
}

/** Deadline of a call, on the monotonic clock, and its depth. */
export class Deadline {
  private constructor(
    private readonly clock: Clock,
    /** Monotonic milliseconds. */
    readonly atMs: number,
    readonly callDepth: number,
  ) {}

  /** Creates a deadline from the time that remains. */
  static create(clock: Clock, remainingMs: number, callDepth: number): Deadline {
    return new Deadline(clock, clock.monotonicMs() + remainingMs, callDepth);
  }

  /** Time left; 0 when it has passed. */
  remainingMs(): number {
    return Math.max(this.atMs - this.clock.monotonicMs(), 0);
  }

  /** Whether no time is left. */
  isExpired(): boolean {
    return this.remainingMs() === 0;
  }

  /**
   * Limits for the next hop. The time ends a little earlier, so that the response still reaches the
   * caller, and never after `fenceAtMs` (monotonic), when the lease or the freshness bound expires.
   */
  handOn(fenceAtMs = Infinity): HandedOnLimits {
    const endsAtMs = Math.min(this.atMs - HOP_MARGIN_MS, fenceAtMs);
    const remainingMs = Math.max(endsAtMs - this.clock.monotonicMs(), 0);
    const deadlineAtWallMs = Math.floor(this.clock.wallMs() + remainingMs);
    return { deadlineAtWallMs, remainingMs, callDepth: this.callDepth + 1 };
  }
}

const readNumber = (text: string | undefined, absent: number): number | undefined => {
  if (text === undefined) return absent;
  return WHOLE_NUMBER.test(text) ? Number(text) : undefined;
};

/** Reads the limits of a call; calls deeper than MAX_CALL_DEPTH are refused. */
export const readDeadline = (
  stated: StatedLimits,
  bounds: TimeoutBounds,
  clock: Clock,
): DeadlineResult => {
  const timeoutMs = readNumber(stated.timeoutMs, bounds.defaultTimeoutMs);
  const callDepth = readNumber(stated.callDepth, 0);
  if (timeoutMs === undefined || callDepth === undefined) {
    return { kind: 'refused', code: 'malformed' };
  }
  if (callDepth > MAX_CALL_DEPTH) return { kind: 'refused', code: 'too-deep' };
  if (timeoutMs === 0) return { kind: 'refused', code: 'expired' };
  const boundedMs = Math.min(timeoutMs, bounds.maxTimeoutMs);
  return { kind: 'accepted', deadline: Deadline.create(clock, boundedMs, callDepth) };
};
