import type { Quarantine } from '@bronzelift/admission';
import { describeError } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import { QUARANTINE_STORE_RETRY_MS } from './constants.js';
import type { CrashGuard } from './crashGuard.js';
import type { ControlStore } from './types.js';

/** Dependencies of a QuarantineStore. */
export interface QuarantineStoreOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly store: ControlStore;
  readonly guard: CrashGuard;
}

/** Keeps quarantined requests in the store, so that they outlast all entry VMs. */
export class QuarantineStore {
  private hasRead = false;

  private isSyncing = false;

  private failedAtMs = -Infinity;

  /** Fingerprints that the store has, as far as this entry VM knows. */
  private readonly recorded = new Set<string>();

  private constructor(private readonly options: QuarantineStoreOptions) {}

  static create(options: QuarantineStoreOptions): QuarantineStore {
    return new QuarantineStore(options);
  }

  /** Forgets what was read and recorded, because the store was restored from a copy. */
  reset(): void {
    this.hasRead = false;
    this.recorded.clear();
  }

  /** Reads the store once, and records there what it lacks. Never rejects. */
  async sync(): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (this.isSyncing || nowMs - this.failedAtMs < QUARANTINE_STORE_RETRY_MS) return;
    this.isSyncing = true;
    try {
      if (!this.hasRead) await this.read();
      const missing = this.listMissing();
      if (missing.length > 0) await this.record(missing);
    } catch (error) {
      this.failedAtMs = this.options.clock.monotonicMs();
      this.options.log.warn(LogComponent.log, 'quarantines not exchanged with the store', {
        error: describeError(error),
      });
    }
    this.isSyncing = false;
  }

  private async read(): Promise<void> {
    const { store, guard } = this.options;
    const quarantines = await store.readQuarantines();
    this.hasRead = true;
    for (const { fingerprint } of quarantines) this.recorded.add(fingerprint);
    guard.addQuarantines(quarantines, 'store');
  }

  private listMissing(): Quarantine[] {
    return this.options.guard
      .listQuarantines()
      .filter(({ fingerprint }) => !this.recorded.has(fingerprint));
  }

  private async record(quarantines: readonly Quarantine[]): Promise<void> {
    const inForce = this.options.guard.listQuarantines().map(({ fingerprint }) => fingerprint);
    const ended = [...this.recorded].filter((fingerprint) => !inForce.includes(fingerprint));
    await this.options.store.recordQuarantines(quarantines, ended);
    for (const fingerprint of ended) this.recorded.delete(fingerprint);
    for (const { fingerprint } of quarantines) this.recorded.add(fingerprint);
  }
}
