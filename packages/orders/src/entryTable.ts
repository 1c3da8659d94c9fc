import { ENTRY_LIFETIME_MS } from './constants.js';
import { toKeptAnswer } from './utils.js';

import type { OrderEntry, RegistryLimits, StoredAnswer } from './types.js';

interface Slot {
  entry: OrderEntry;
  expiresAtMs: number;
}

/** Bounds the time that one call spends on expired entries. */
const MAX_EXPIRED_PER_CALL = 64;

const storedBytes = (entry: OrderEntry): number =>
  entry.kind === 'completed' ? (entry.answer.body?.byteLength ?? 0) : 0;

/** Entries by key, with their lifetime and the memory bounds. */
export class EntryTable {
  /** In the order of expiry, because every entry has the same lifetime. */
  private readonly slots = new Map<string, Slot>();

  private bodyBytes = 0;

  private constructor(private readonly limits: RegistryLimits) {}

  /** Creates an empty table. */
  static create(limits: RegistryLimits): EntryTable {
    return new EntryTable(limits);
  }

  get size(): number {
    return this.slots.size;
  }

  get storedBodyBytes(): number {
    return this.bodyBytes;
  }

  /** Whether another key may be added. */
  hasRoom(): boolean {
    return this.slots.size < this.limits.maxEntries && this.bodyBytes < this.limits.maxBodyBytes;
  }

  get(key: string): OrderEntry | undefined {
    return this.slots.get(key)?.entry;
  }

  /** Adds or replaces an entry; a replaced one keeps its time of expiry. */
  set(key: string, entry: OrderEntry, nowMs: number): void {
    const slot = this.slots.get(key);
    this.bodyBytes += storedBytes(entry);
    if (slot === undefined) {
      this.slots.set(key, { entry, expiresAtMs: nowMs + ENTRY_LIFETIME_MS });
      return;
    }
    this.bodyBytes -= storedBytes(slot.entry);
    slot.entry = entry;
  }

  delete(key: string): void {
    const slot = this.slots.get(key);
    if (slot === undefined) return;
    this.bodyBytes -= storedBytes(slot.entry);
    this.slots.delete(key);
  }

  /** The answer as it may be kept: without its body when that is too large or there is no room. */
  toKept(answer: StoredAnswer): StoredAnswer {
    const size = answer.body?.byteLength ?? 0;
    return toKeptAnswer(answer, this.bodyBytes + size <= this.limits.maxBodyBytes);
  }

  /** Removes some entries past their lifetime; attempts in flight stay. */
  removeExpired(nowMs: number): void {
    let remaining = MAX_EXPIRED_PER_CALL;
    for (const [key, slot] of this.slots) {
      if (slot.expiresAtMs > nowMs || remaining === 0) return;
      remaining -= 1;
      const { entry } = slot;
      this.delete(key);
      if (entry.kind === 'claiming' || entry.kind === 'running') this.set(key, entry, nowMs);
    }
  }

  entries(): [string, OrderEntry][] {
    return [...this.slots].map(([key, slot]) => [key, slot.entry]);
  }
}
