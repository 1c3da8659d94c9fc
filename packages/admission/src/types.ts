import type { Clock, RandomSource } from '@bronzelift/common';

/** Priority, deadline and caller of a request that needs a slot. */
export interface AdmissionRequest {
  /** Orders start before lookups. */
  readonly isOrder: boolean;
  /** Monotonic time by which the caller needs its response. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects; only a request that still waits is removed. */
  readonly signal?: AbortSignal | undefined;
  /** Whether to refuse the request instead of queueing it if no slot is free; default false. */
  readonly isImmediate?: boolean | undefined;
}

/** Reason why a request was not run; `no-free-slot` applies only to immediate requests. */
export type RefusalCode =
  'overloaded' | 'no-free-slot' | 'displaced' | 'deadline-exceeded' | 'cancelled';

/** Result of an admitted or refused request; each request has exactly one. */
export type AdmissionResult<T> =
  | { readonly kind: 'completed'; readonly value: T; readonly waitedMs: number }
  /** The task ran and threw. */
  | { readonly kind: 'failed'; readonly error: unknown; readonly waitedMs: number }
  /** The task never started. */
  | {
      readonly kind: 'not-run';
      readonly code: RefusalCode;
      /**
       * Wait predicted at the refusal; Infinity without slots, 0 if the wait was not the reason.
       */
      readonly predictedWaitMs: number;
      /** Randomized; 0 for `cancelled` and `no-free-slot`, which are not sent to a caller. */
      readonly retryAfterMs: number;
      readonly waitedMs: number;
    };

/** Snapshot of the queue on which an admission decision is based. */
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

/** Decision to start, queue or refuse a request that needs a slot. */
export type AdmissionDecision =
  | { readonly kind: 'start' }
  | { readonly kind: 'wait'; readonly predictedWaitMs: number }
  /** The queue is full: the newest waiting lookup is refused, then the order waits. */
  | { readonly kind: 'displace-lookup'; readonly predictedWaitMs: number }
  | {
      readonly kind: 'refuse';
      readonly code: 'overloaded' | 'no-free-slot' | 'deadline-exceeded';
      readonly predictedWaitMs: number;
    };

/** Slots, queue lengths and times of an admission queue, for the status page. */
export interface AdmissionStats {
  readonly usableSlots: number;
  readonly running: number;
  readonly queuedOrders: number;
  readonly queuedLookups: number;
  readonly meanServiceTimeMs: number;
  /** Wait predicted for a lookup that arrives now; Infinity without slots. */
  readonly predictedWaitMs: number;
}

/** Calls `callback` once after a duration; the returned function cancels the timer. */
export type ScheduleTimer = (durationMs: number, callback: () => void) => () => void;

/** Dependencies and limits of an admission queue. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Schedules the scans for expired requests; by default with setTimeout. */
  readonly schedule?: ScheduleTimer;
  /** Mean service time assumed before the first response; default 10. */
  readonly initialServiceTimeMs?: number;
  /** Maximum number of waiting requests; default 2000. */
  readonly maxQueued?: number;
  /** Called with `not-run-is-true` when a request that has started or was answered is refused. */
  readonly onViolation: (name: 'not-run-is-true', detail: string) => void;
}
