import type { AdmissionEntry } from './admissionEntry.js';

const COMPACTION_SLACK = 64;

/** The requests that wait for a slot, by kind; finds the newest lookup without a search. */
export class WaitingLists {
  private readonly orders = new Set<AdmissionEntry>();

  private readonly lookups = new Set<AdmissionEntry>();

  /** Lookups by arrival; entries that no longer wait are skipped. */
  private lookupsByArrival: AdmissionEntry[] = [];

  private constructor(readonly maxQueued: number) {}

  /** Creates empty lists. */
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
    if (this.lookupsByArrival.length > 2 * this.lookups.size + COMPACTION_SLACK) {
      this.lookupsByArrival = [...this.lookups];
    }
  }

  delete(entry: AdmissionEntry): void {
    if (entry.isOrder) this.orders.delete(entry);
    else this.lookups.delete(entry);
  }

  /** The lookup that joined last and still waits. */
  newestLookup(): AdmissionEntry | undefined {
    for (;;) {
      const newest = this.lookupsByArrival[this.lookupsByArrival.length - 1];
      if (newest === undefined || newest.isWaiting) return newest;
      this.lookupsByArrival.pop();
    }
  }

  /** All requests that wait, as a copy. */
  all(): AdmissionEntry[] {
    return [...this.orders, ...this.lookups];
  }
}
