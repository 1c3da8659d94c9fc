/** A refused order; its key is refused again until the time given to the caller. */
export interface Refusal {
  readonly code: string;
  readonly retryAtMs: number;
  readonly newTicket: string | undefined;
}

/** Refused keys for their retry-after time. Forgetting one early only allows another attempt. */
export class RefusalMemory {
  private readonly refusals = new Map<string, Refusal>();

  private constructor(private readonly maxRefusals: number) {}

  /** Creates an empty memory for at most this many keys. */
  static create(maxRefusals: number): RefusalMemory {
    return new RefusalMemory(maxRefusals);
  }

  get size(): number {
    return this.refusals.size;
  }

  /** The refusal of a key while its retry-after time lasts. */
  find(key: string, nowMs: number): Refusal | undefined {
    const refusal = this.refusals.get(key);
    if (refusal === undefined || refusal.retryAtMs > nowMs) return refusal;
    this.refusals.delete(key);
    return undefined;
  }

  remember(key: string, refusal: Refusal, nowMs: number): void {
    this.refusals.delete(key);
    this.removeOldest(nowMs);
    this.refusals.set(key, refusal);
  }

  private removeOldest(nowMs: number): void {
    for (const [key, refusal] of this.refusals) {
      if (refusal.retryAtMs > nowMs && this.refusals.size < this.maxRefusals) return;
      this.refusals.delete(key);
    }
  }
}
