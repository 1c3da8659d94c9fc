import { LAPSE_GRACE_MS, STORE_OUTAGE_MS } from './constants.js';

/**
 * Recognizes the end of an outage of the store from the reads of all entry VMs. For a while after
 * it, a missing registration may be one that lapsed although its instance lives.
 */
export class OutageTracker {
  private lastReadAtMs = -Infinity;

  private endedAtMs = -Infinity;

  private constructor() {
    // Created through `create`.
  }

  /** Creates a tracker that has seen no read. */
  static create(): OutageTracker {
    return new OutageTracker();
  }

  /** Notes a successful read of any entry VM; `hasFailures` when reads failed lately. */
  observeRead(atMs: number, hasFailures: boolean): void {
    if (atMs <= this.lastReadAtMs) return;
    const isGap = Number.isFinite(this.lastReadAtMs) && atMs - this.lastReadAtMs > STORE_OUTAGE_MS;
    if (isGap && hasFailures) this.endedAtMs = atMs;
    this.lastReadAtMs = atMs;
  }

  /** Whether lapsed registrations may still come back. */
  isRecovering(nowMs: number): boolean {
    return nowMs - this.endedAtMs < LAPSE_GRACE_MS;
  }
}
