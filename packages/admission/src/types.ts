import type { Clock, RandomSource } from '@bronzelift/common';

/** A request that asks for a slot. */
export interface AdmissionRequest {
  /** Orders go before lookups. */
  readonly isOrder: boolean;
  /** Monotonic time by which the caller needs its response. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller goes away; only requests that still wait are removed. */
  readonly signal?: AbortSignal | undefined;
  /** Refuse instead of waiting when no slot is free now; default false. */
  readonly isImmediate?: boolean | undefined;
}

/** Why a request was answered without being run; `no-free-slot` only for immediate requests. */
export type RefusalCode =
  'overloaded' | 'no-free-slot' | 'displaced' | 'deadline-exceeded' | 'cancelled';

/** Result of an admission; exactly one per request. */
export type AdmissionResult<T> =
  | { readonly kind: 'completed'; readonly value: T; readonly waitedMs: number }
  /** The task ran and threw. */
  | { readonly kind: 'failed'; readonly error: unknown; readonly waitedMs: number }
  /** The task never started. */
  | {
      readonly kind: 'not-run';
      readonly code: RefusalCode;
      /** Infinity without slots; 0 when the wait was not the reason. */
      readonly predictedWaitMs: number;
      /** Randomized; 0 for `cancelled` and `no-free-slot`, which are not answered to a caller. */
      readonly retryAfterMs: number;
      readonly waitedMs: number;
    };

/** State of the queue as the decision sees it. */
export interface AdmissionView {
  readonly nowMs: number;
  readonly usableSlots: number;
  /** Usable slots before they became 0; equal to usableSlots otherwise. */
  readonly lastUsableSlots: number;
  /** Time since the usable slots became 0; 0 while there are some. */
  readonly withoutSlotsForMs: number;
  readonly running: number;
  readonly queuedOrders: number;
  readonly queuedLookups: number;
  readonly meanServiceTimeMs: number;
  /** Share of the recent starts that were orders, from 0 to 1. */
  readonly orderShare: number;
  readonly maxQueued: number;
}

/** What to do with a request that asks for a slot. */
export type AdmissionDecision =
  | { readonly kind: 'start' }
  | { readonly kind: 'wait'; readonly predictedWaitMs: number }
  /** The queue is full: the newest waiting lookup is answered not run, then the order waits. */
  | { readonly kind: 'displace-lookup'; readonly predictedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly code: 'overloaded' | 'no-free-slot' | 'deadline-exceeded';
      readonly predictedWaitMs: number;
    };

/** Counts of an admission queue. */
export interface AdmissionStats {
  readonly usableSlots: number;
  readonly running: number;
  readonly queuedOrders: number;
  readonly queuedLookups: number;
  readonly meanServiceTimeMs: number;
  /** Wait predicted for a lookup that arrives now; Infinity without slots. */
  readonly predictedWaitMs: number;
}

/** Calls back once after a duration; the returned function cancels. */
export type ScheduleTimer = (durationMs: number, callback: () => void) => () => void;

/** Parameters of an admission queue. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Default: setTimeout. */
  readonly schedule?: ScheduleTimer;
  /** Mean service time assumed until responses were measured; default 10. */
  readonly initialServiceTimeMs?: number;
  /** Requests that may wait; default 2000. */
  readonly maxQueued?: number;
  /** Called under the name `not-run-is-true`. */
  readonly onViolation: (name: 'not-run-is-true', detail: string) => void;
}
