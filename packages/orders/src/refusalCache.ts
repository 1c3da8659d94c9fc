/** A refused order; retries of its key are refused as well until `retryAtMs`. */
export interface Refusal {
  readonly code: string;
  readonly retryAtMs: number;
  readonly newTicket: string | undefined;
}

/** Refused keys until their Retry-After has passed. Early removal only allows another attempt. */
export class RefusalCache {
  private readonly refusals = new Map<string, Refusal>();

  private constructor(private readonly maxRefusals: number) {}

  static create(maxRefusals: number): RefusalCache {
    return new RefusalCache(maxRefusals);
  }

  get size(): number {
    return this.refusals.size;
  }

  /** Refusal of a key, until its retry time has passed. */
  find(key: string, nowMs: number): Refusal | undefined {
    const refusal = this.refusals.get(key);
    if (refusal === undefined || refusal.retryAtMs > nowMs) return refusal;
    this.refusals.delete(key);
    return undefined;
  }

  set(key: string, refusal: Refusal, nowMs: number): void {
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
