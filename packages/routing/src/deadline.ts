import { MAX_CALL_DEPTH } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';

import { HOP_MARGIN_MS } from './constants.js';

const WHOLE_NUMBER = /^\d{1,9}$/;

/** Timeout and call depth from the caller's headers, not yet parsed. */
export interface RequestedLimits {
  readonly timeoutMs: string | undefined;
  readonly callDepth: string | undefined;
}

/** Timeouts configured at the entry VM. */
export interface TimeoutBounds {
  readonly defaultTimeoutMs: number;
  readonly maxTimeoutMs: number;
}

/** Parsed deadline, or the reason why the caller's limits are refused. */
export type DeadlineResult =
  | { readonly kind: 'accepted'; readonly deadline: Deadline }
  | { readonly kind: 'refused'; readonly code: 'malformed' | 'too-deep' | 'expired' };

/** Limits that are sent along with a forwarded request. */
export interface NextHopLimits {
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

  /** Creates a deadline that ends `remainingMs` from now. */
  static create(clock: Clock, remainingMs: number, callDepth: number): Deadline {
    return new Deadline(clock, clock.monotonicMs() + remainingMs, callDepth);
  }

  /** Time until the deadline; 0 once it has passed. */
  remainingMs(): number {
    return Math.max(this.atMs - this.clock.monotonicMs(), 0);
  }

  isExpired(): boolean {
    return this.remainingMs() === 0;
  }

  /**
   * Limits for the next hop. They end HOP_MARGIN_MS earlier, so that the response still reaches the
   * caller, and never after `latestEndAtMs` (monotonic), when the lease or the freshness bound expires.
   */
  toNextHopLimits(latestEndAtMs = Infinity): NextHopLimits {
    const endsAtMs = Math.min(this.atMs - HOP_MARGIN_MS, latestEndAtMs);
    const remainingMs = Math.max(endsAtMs - this.clock.monotonicMs(), 0);
    const deadlineAtWallMs = Math.floor(this.clock.wallMs() + remainingMs);
    return { deadlineAtWallMs, remainingMs, callDepth: this.callDepth + 1 };
  }
}

const parseLimit = (text: string | undefined, fallback: number): number | undefined => {
  if (text === undefined) return fallback;
  return WHOLE_NUMBER.test(text) ? Number(text) : undefined;
};

/** Parses the caller's limits and bounds the timeout; refuses calls deeper than MAX_CALL_DEPTH. */
export const parseDeadline = (
  requested: RequestedLimits,
  bounds: TimeoutBounds,
  clock: Clock,
): DeadlineResult => {
  const timeoutMs = parseLimit(requested.timeoutMs, bounds.defaultTimeoutMs);
  const callDepth = parseLimit(requested.callDepth, 0);
  if (timeoutMs === undefined || callDepth === undefined) {
    return { kind: 'refused', code: 'malformed' };
  }
  if (callDepth > MAX_CALL_DEPTH) return { kind: 'refused', code: 'too-deep' };
  if (timeoutMs === 0) return { kind: 'refused', code: 'expired' };
  const boundedMs = Math.min(timeoutMs, bounds.maxTimeoutMs);
  return { kind: 'accepted', deadline: Deadline.create(clock, boundedMs, callDepth) };
};
