import type { AdmissionEntry } from './admissionEntry.js';

/** Number of outdated entries in the list by arrival that is always allowed before a cleanup. */
const COMPACTION_THRESHOLD = 64;

/** Waiting orders and lookups of a queue; finds the newest lookup in constant time on average. */
export class WaitingLists {
  private readonly orders = new Set<AdmissionEntry>();

  private readonly lookups = new Set<AdmissionEntry>();

  /** Lookups in order of arrival; may contain entries that no longer wait. */
  private lookupsByArrival: AdmissionEntry[] = [];

  private constructor(readonly maxQueued: number) {}

  static create(maxQueued: number): WaitingLists {
    return new WaitingLists(maxQueued);
  }

  get orderCount(): number {
    return this.orders.size;
  }

  get lookupCount(): number {
    return this.lookups.size;
  }

  add(entry: AdmissionEntry): void {
    if (entry.isOrder) {
      this.orders.add(entry);
      return;
    }
    this.lookups.add(entry);
    this.lookupsByArrival.push(entry);
    if (this.lookupsByArrival.length > 2 * this.lookups.size + COMPACTION_THRESHOLD) {
      this.lookupsByArrival = [...this.lookups];
    }
  }

  delete(entry: AdmissionEntry): void {
    if (entry.isOrder) this.orders.delete(entry);
    else this.lookups.delete(entry);
  }

  /** Returns the waiting lookup that joined last. */
  newestLookup(): AdmissionEntry | undefined {
    for (;;) {
      const newest = this.lookupsByArrival[this.lookupsByArrival.length - 1];
      if (newest === undefined || newest.isWaiting) return newest;
      this.lookupsByArrival.pop();
    }
  }

  /** Returns a copy of all waiting requests. */
  all(): AdmissionEntry[] {
    return [...this.orders, ...this.lookups];
  }
}
