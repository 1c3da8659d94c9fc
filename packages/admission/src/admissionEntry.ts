import type { AdmissionRequest, AdmissionResult, RefusalCode } from './types.js';

/** Clock and callbacks that the queue gives to its entries. */
export interface EntryContext {
  readonly now: () => number;
  readonly createRetryAfterMs: (code: RefusalCode, predictedWaitMs: number) => number;
  /** Called when the entry no longer waits; `hasStarted` is false if its request was refused. */
  readonly onLeave: (entry: AdmissionEntry, hasStarted: boolean) => void;
  readonly onViolation: (name: 'not-run-is-true', detail: string) => void;
}

/** A request in the admission queue, from its arrival until it starts or is refused. */
export class AdmissionEntry {
  readonly isOrder: boolean;

  readonly deadlineAtMs: number;

  readonly arrivedAtMs: number;

  /** Key of the entry in the lanes of the queue. */
  readonly id: string;

  private currentState: 'waiting' | 'started' | 'answered' = 'waiting';

  private removeCallerListener: (() => void) | undefined;

  private constructor(
    id: string,
    request: AdmissionRequest,
    private readonly context: EntryContext,
    private readonly answer: (result: AdmissionResult<never>) => void,
  ) {
    this.id = id;
    this.isOrder = request.isOrder;
    this.deadlineAtMs = request.deadlineAtMs;
    this.arrivedAtMs = context.now();
  }

  /** Creates an entry that arrives now; `answer` is called only if the request is refused. */
  static create(
    id: string,
    request: AdmissionRequest,
    context: EntryContext,
    answer: (result: AdmissionResult<never>) => void,
  ): AdmissionEntry {
    return new AdmissionEntry(id, request, context, answer);
  }

  /** False once the request has started or was refused. */
  get isWaiting(): boolean {
    return this.currentState === 'waiting';
  }

  /** Refuses the waiting request when its caller disconnects. */
  watchCaller(signal: AbortSignal): void {
    // The signal is not given to p-queue: p-queue frees the slot of a running task when its signal
    // aborts, although the task still uses the backend server.
    const onAbort = (): void => this.refuse('cancelled', 0);
    signal.addEventListener('abort', onAbort, { once: true });
    this.removeCallerListener = () => signal.removeEventListener('abort', onAbort);
  }

  /** Marks the task as started; from then on the result can no longer be `not-run`. */
  start(): void {
    this.leave('started');
  }

  /** Ends the request with the result `not-run` and removes it from the queue. */
  refuse(code: RefusalCode, predictedWaitMs: number): void {
    if (this.currentState !== 'waiting') {
      const detail = `refusal ${code} of a request that is already ${this.currentState}`;
      this.context.onViolation('not-run-is-true', detail);
      return;
    }
    this.leave('answered');
    this.answer({
      kind: 'not-run',
      code,
      predictedWaitMs,
      retryAfterMs: this.context.createRetryAfterMs(code, predictedWaitMs),
      waitedMs: this.context.now() - this.arrivedAtMs,
    });
  }

  private leave(state: 'started' | 'answered'): void {
    this.currentState = state;
    this.removeCallerListener?.();
    this.context.onLeave(this, state === 'started');
  }
}
