import type { ColdCause } from './types.js';

/** Capacity and service time of a cold instance, and how it warms up. */
export interface ColdStartOptions {
  readonly slots: number;
  readonly coldSlots: number;
  readonly coldFactor: number;
  readonly warmupRequestsPerSlot: number;
  readonly unannouncedColdGraceMs: number;
}

/** Tracks the concurrency limit of a cold instance, which rises as it serves requests. */
export class ColdStart {
  private served = 0;

  private cause: ColdCause = 'start';

  private coldSinceMs = 0;

  private constructor(private readonly options: ColdStartOptions) {}

  /** Creates the state of an instance that has just started. */
  static create(options: ColdStartOptions, nowMs: number): ColdStart {
    const state = new ColdStart(options);
    state.becomeCold('start', nowMs);
    return state;
  }

  /** Restarts the warm-up from the beginning. */
  becomeCold(cause: ColdCause, nowMs: number): void {
    this.served = 0;
    this.cause = cause;
    this.coldSinceMs = nowMs;
  }

  /** Ends the warm-up immediately. */
  becomeWarm(): void {
    this.served = this.totalWarmupRequests;
  }

  /** Counts a served request towards the warm-up. */
  recordServed(): void {
    this.served += 1;
  }

  /** Whether the instance is still cold. */
  get isCold(): boolean {
    return this.served < this.totalWarmupRequests;
  }

  /** Number of concurrent requests above which the instance is overloaded. */
  get bearable(): number {
    if (!this.isCold) return Infinity;
    const { coldSlots, warmupRequestsPerSlot } = this.options;
    return coldSlots + Math.floor(this.served / warmupRequestsPerSlot);
  }

  /** Multiplier of the service time; falls linearly from `coldFactor` to 1 during warm-up. */
  get serviceFactor(): number {
    if (!this.isCold) return 1;
    const warmFraction = this.served / this.totalWarmupRequests;
    return 1 + (this.options.coldFactor - 1) * (1 - warmFraction);
  }

  /** Describes why the instance became cold and how long ago. */
  describe(nowMs: number): { cause: ColdCause; sinceColdMs: number } {
    return { cause: this.cause, sinceColdMs: nowMs - this.coldSinceMs };
  }

  /** Whether the instance became cold unannounced so recently that no client can know it yet. */
  isInGrace(nowMs: number): boolean {
    const { cause, sinceColdMs } = this.describe(nowMs);
    return cause === 'unannounced' && sinceColdMs < this.options.unannouncedColdGraceMs;
  }

  private get totalWarmupRequests(): number {
    const { slots, coldSlots, warmupRequestsPerSlot } = this.options;
    return Math.max(0, slots - coldSlots) * warmupRequestsPerSlot;
  }
}
