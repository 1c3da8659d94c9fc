import type { Clock } from '@bronzelift/common';

import {
  COMPLETION_MEMORY_MS,
  CRASHES_TO_QUARANTINE,
  CRASHES_TO_SUSPECT,
  END_DISPUTE_MS,
  MAX_COMPLETIONS,
  MAX_CRASHES_PER_REQUEST,
  MAX_QUARANTINES,
  MAX_SUSPECTS,
  QUARANTINE_MS,
} from './constants.js';

/** A request that ran at an instance process when that process ended. */
export interface CrashReport {
  readonly fingerprint: string;
  /** Identifies one run of an instance, so that reports of several members count once. */
  readonly instanceProcess: string;
}

/** A request that is no longer sent to instances until the given time. */
export interface Quarantine {
  readonly fingerprint: string;
  /** Unix milliseconds. */
  readonly untilWallMs: number;
}

/** What is known of a request: whether instances may run it, and whether a crash is its last try. */
export type CrashVerdict = 'unsuspected' | 'suspected' | 'quarantined';

const dropOldest = (map: Map<string, unknown>, maxEntries: number): void => {
  for (const key of map.keys()) {
    if (map.size <= maxEntries) return;
    map.delete(key);
  }
};

/**
 * Tells a request that crashes instances from those that ran beside it: it was present when several
 * instance processes ended, and was completed nowhere meanwhile. Keeps fingerprints only.
 */
export class CrashLedger {
  /** Time of each crash at which a request was present, by instance process. */
  private readonly suspects = new Map<string, Map<string, number>>();

  /** Monotonic time of the latest completion of each request. */
  private readonly completions = new Map<string, number>();

  private readonly quarantines = new Map<string, number>();

  /** Time at which each instance process was last reported as ended. */
  private readonly endedProcesses = new Map<string, number>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CrashLedger {
    return new CrashLedger(clock);
  }

  /** Judges a request by the crashes at which it was present. */
  judge(fingerprint: string): CrashVerdict {
    if (this.isQuarantined(fingerprint)) return 'quarantined';
    const crashes = this.suspects.get(fingerprint)?.size ?? 0;
    if (crashes >= CRASHES_TO_QUARANTINE) return 'quarantined';
    return crashes >= CRASHES_TO_SUSPECT ? 'suspected' : 'unsuspected';
  }

  /** Records a report; false if it is known or the request was completed recently. */
  recordCrash({ fingerprint, instanceProcess }: CrashReport): boolean {
    const nowMs = this.clock.monotonicMs();
    if (this.isCompleted(fingerprint)) return false;
    const crashes = this.suspects.get(fingerprint) ?? new Map<string, number>();
    if (crashes.has(instanceProcess) || crashes.size >= MAX_CRASHES_PER_REQUEST) return false;
    crashes.set(instanceProcess, nowMs);
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, crashes);
    this.endedProcesses.set(instanceProcess, nowMs);
    dropOldest(this.suspects, MAX_SUSPECTS);
    dropOldest(this.endedProcesses, MAX_SUSPECTS);
    return true;
  }

  /** Records that an instance completed a request; true if this ends a suspicion. */
  recordCompletion(fingerprint: string): boolean {
    this.completions.delete(fingerprint);
    this.completions.set(fingerprint, this.clock.monotonicMs());
    dropOldest(this.completions, MAX_COMPLETIONS);
    return this.suspects.delete(fingerprint);
  }

  /** Whether a request was completed within COMPLETION_MEMORY_MS. */
  isCompleted(fingerprint: string): boolean {
    const atMs = this.completions.get(fingerprint) ?? -Infinity;
    return this.clock.monotonicMs() - atMs <= COMPLETION_MEMORY_MS;
  }

  /**
   * Records that an instance process responded to a request that was sent at the given monotonic
   * time; true if it was reported as ended before, which is then void.
   */
  recordResponse(instanceProcess: string, sentAtMs: number): boolean {
    const endedAtMs = this.endedProcesses.get(instanceProcess);
    if (endedAtMs === undefined || sentAtMs <= endedAtMs) return false;
    // Later on, another process may respond under the same id.
    if (this.clock.monotonicMs() - endedAtMs > END_DISPUTE_MS) return false;
    return this.voidCrash(instanceProcess);
  }

  /** Removes all reports that an instance process ended; false if there are none. */
  voidCrash(instanceProcess: string): boolean {
    if (!this.endedProcesses.delete(instanceProcess)) return false;
    for (const [fingerprint, crashes] of this.suspects) {
      if (crashes.delete(instanceProcess) && crashes.size === 0) this.suspects.delete(fingerprint);
    }
    return true;
  }

  /** Quarantines the requests whose crashes nobody has disputed in time, and returns them. */
  confirmDue(): Quarantine[] {
    const nowMs = this.clock.monotonicMs();
    const confirmed: Quarantine[] = [];
    for (const [fingerprint, crashes] of this.suspects) {
      const undisputed = [...crashes.values()].filter((atMs) => nowMs - atMs >= END_DISPUTE_MS);
      if (undisputed.length < CRASHES_TO_QUARANTINE) continue;
      confirmed.push({ fingerprint, untilWallMs: this.clock.wallMs() + QUARANTINE_MS });
    }
    for (const quarantine of confirmed) {
      this.suspects.delete(quarantine.fingerprint);
      this.addQuarantine(quarantine);
    }
    return confirmed;
  }

  /** Adds a quarantine that another member or the store knows; false if it is known. */
  addQuarantine({ fingerprint, untilWallMs }: Quarantine): boolean {
    const wallMs = this.clock.wallMs();
    if (untilWallMs <= wallMs) return false;
    const isNew = !this.isQuarantined(fingerprint);
    const knownUntilMs = this.quarantines.get(fingerprint) ?? -Infinity;
    const untilMs = Math.min(untilWallMs, wallMs + QUARANTINE_MS);
    this.quarantines.set(fingerprint, Math.max(knownUntilMs, untilMs));
    if (this.quarantines.size > MAX_QUARANTINES) this.dropFirstQuarantine();
    return isNew && this.quarantines.has(fingerprint);
  }

  /** Quarantines in force. */
  listQuarantines(): Quarantine[] {
    return [...this.quarantines]
      .filter(([fingerprint]) => this.isQuarantined(fingerprint))
      .map(([fingerprint, untilWallMs]) => ({ fingerprint, untilWallMs }));
  }

  private isQuarantined(fingerprint: string): boolean {
    const untilWallMs = this.quarantines.get(fingerprint);
    if (untilWallMs === undefined) return false;
    if (untilWallMs > this.clock.wallMs()) return true;
    this.quarantines.delete(fingerprint);
    return false;
  }

  /** Drops the quarantine that ends first; all members drop the same one. */
  private dropFirstQuarantine(): void {
    const [first] = [...this.quarantines].sort(
      ([left, leftMs], [right, rightMs]) => leftMs - rightMs || (left < right ? -1 : 1),
    );
    if (first !== undefined) this.quarantines.delete(first[0]);
  }
}
