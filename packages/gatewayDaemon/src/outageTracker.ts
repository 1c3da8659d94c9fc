import { REGISTRATION_RENEWAL_GRACE_MS, MIN_STORE_OUTAGE_MS } from './constants.js';

/**
 * Detects the end of a store outage from the reads of all entry VMs. For some time after the
 * outage, a registration may be missing only because its instance could not renew it during the
 * outage.
 */
export class OutageTracker {
  private lastReadAtMs = -Infinity;

  private endedAtMs = -Infinity;

  private constructor() {
    // Created through `create`.
  }

  static create(): OutageTracker {
    return new OutageTracker();
  }

  /**
   * Records a successful read of any entry VM; `hasFailures` tells whether reads failed recently.
   */
  recordRead(atMs: number, hasFailures: boolean): void {
    if (atMs <= this.lastReadAtMs) return;
    const isGap =
      Number.isFinite(this.lastReadAtMs) && atMs - this.lastReadAtMs > MIN_STORE_OUTAGE_MS;
    if (isGap && hasFailures) this.endedAtMs = atMs;
    this.lastReadAtMs = atMs;
  }

  /**
   * Monotonic time until which instances may renew registrations that expired during an outage;
   * undefined if that time has passed.
   */
  renewableUntilMs(nowMs: number): number | undefined {
    const untilMs = this.endedAtMs + REGISTRATION_RENEWAL_GRACE_MS;
    return nowMs < untilMs ? untilMs : undefined;
  }
}
