import type { ColdCause } from './types.js';

/** What the cold start of an instance depends on. */
export interface ColdStartOptions {
  readonly slots: number;
  readonly coldSlots: number;
  readonly coldFactor: number;
  readonly warmupRequestsPerSlot: number;
  readonly unannouncedColdGraceMs: number;
}

/** How much work at once a cold instance bears: it grows with each request served since. */
export class ColdStart {
  private served = 0;

  private cause: ColdCause = 'start';

  private sinceMs = 0;

  private constructor(private readonly options: ColdStartOptions) {}

  /** Creates the state of an instance that has just started. */
  static create(options: ColdStartOptions, nowMs: number): ColdStart {
    const state = new ColdStart(options);
    state.becomeCold('start', nowMs);
    return state;
  }

  /** Forgets all warmth. */
  becomeCold(cause: ColdCause, nowMs: number): void {
    this.served = 0;
    this.cause = cause;
    this.sinceMs = nowMs;
  }

  /** Becomes warm at once. */
  becomeWarm(): void {
    this.served = this.requestsToWarm;
  }

  /** Counts a served request. */
  recordServed(): void {
    this.served += 1;
  }

  /** Whether the instance is still cold. */
  get isCold(): boolean {
    return this.served < this.requestsToWarm;
  }

  /** Concurrent requests that the instance bears. */
  get bearable(): number {
    if (!this.isCold) return Infinity;
    const { coldSlots, warmupRequestsPerSlot } = this.options;
    return coldSlots + Math.floor(this.served / warmupRequestsPerSlot);
  }

  /** Factor on service times: falls linearly from `coldFactor` to 1 while it warms. */
  get serviceFactor(): number {
    if (!this.isCold) return 1;
    const warmth = this.served / this.requestsToWarm;
    return 1 + (this.options.coldFactor - 1) * (1 - warmth);
  }

  /** Why and since when the instance is cold. */
  describe(nowMs: number): { cause: ColdCause; sinceColdMs: number } {
    return { cause: this.cause, sinceColdMs: nowMs - this.sinceMs };
  }

  /** Whether nobody can know yet that the instance has become cold without notice. */
  isInGrace(nowMs: number): boolean {
    const { cause, sinceColdMs } = this.describe(nowMs);
    return cause === 'unannounced' && sinceColdMs < this.options.unannouncedColdGraceMs;
  }

  private get requestsToWarm(): number {
    const { slots, coldSlots, warmupRequestsPerSlot } = this.options;
    return Math.max(0, slots - coldSlots) * warmupRequestsPerSlot;
  }
}
