import type { AdmissionRequest, AdmissionResult, RefusalCode } from './types.js';

/** What an entry needs from its queue. */
export interface EntryOwner {
  readonly now: () => number;
  readonly createRetryAfterMs: (code: RefusalCode, predictedWaitMs: number) => number;
  /** The entry no longer waits; `hasStarted` is false when it was refused. */
  readonly onLeave: (entry: AdmissionEntry, hasStarted: boolean) => void;
  readonly onViolation: (name: 'not-run-is-true', detail: string) => void;
}

/** A request between its arrival and its answer. */
export class AdmissionEntry {
  readonly isOrder: boolean;

  readonly deadlineAtMs: number;

  readonly arrivedAtMs: number;

  /** Key in the queue. */
  readonly id: string;

  private currentState: 'waiting' | 'started' | 'answered' = 'waiting';

  private removeCallerListener: (() => void) | undefined;

  private constructor(
    id: string,
    request: AdmissionRequest,
    private readonly owner: EntryOwner,
    private readonly answer: (result: AdmissionResult<never>) => void,
  ) {
    this.id = id;
    this.isOrder = request.isOrder;
    this.deadlineAtMs = request.deadlineAtMs;
    this.arrivedAtMs = owner.now();
  }

  /** Creates the entry of a request that has just arrived. */
  static create(
    id: string,
    request: AdmissionRequest,
    owner: EntryOwner,
    answer: (result: AdmissionResult<never>) => void,
  ): AdmissionEntry {
    return new AdmissionEntry(id, request, owner, answer);
  }

  /** Whether the request still waits for a slot. */
  get isWaiting(): boolean {
    return this.currentState === 'waiting';
  }

  /** Refuses the waiting request when its caller goes away. */
  watchCaller(signal: AbortSignal): void {
    // The signal is not given to p-queue: p-queue frees the slot of a running task when its signal
    // aborts, although the task still uses the backend server.
    const onAbort = (): void => this.refuse('cancelled', 0);
    signal.addEventListener('abort', onAbort, { once: true });
    this.removeCallerListener = () => signal.removeEventListener('abort', onAbort);
  }

  /** Marks the task as started; from here on the answer cannot be `not-run`. */
  start(): void {
    this.leave('started');
  }

  /** Answers the request as not run and takes it out of the queue. */
  refuse(code: RefusalCode, predictedWaitMs: number): void {
    if (this.currentState !== 'waiting') {
      const detail = `refusal ${code} of a request that is ${this.currentState}`;
      this.owner.onViolation('not-run-is-true', detail);
      return;
    }
    this.leave('answered');
    this.answer({
      kind: 'not-run',
      code,
      predictedWaitMs,
      retryAfterMs: this.owner.createRetryAfterMs(code, predictedWaitMs),
      waitedMs: this.owner.now() - this.arrivedAtMs,
    });
  }

  private leave(state: 'started' | 'answered'): void {
    this.currentState = state;
    this.removeCallerListener?.();
    this.owner.onLeave(this, state === 'started');
  }
}
