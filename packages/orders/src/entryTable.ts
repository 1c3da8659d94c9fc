import { ENTRY_LIFETIME_MS } from './constants.js';
import { toStorableAnswer } from './utils.js';

import type { OrderEntry, RegistryLimits, StoredAnswer } from './types.js';

interface TimedEntry {
  entry: OrderEntry;
  expiresAtMs: number;
}

/** Limits the time that one call of `removeExpired` takes. */
const MAX_EXPIRED_PER_CALL = 64;

const storedBytes = (entry: OrderEntry): number =>
  entry.kind === 'completed' ? (entry.answer.body?.byteLength ?? 0) : 0;

/** Map of entries by key that expires entries and enforces the memory limits. */
export class EntryTable {
  /** Ordered by expiry, because all entries have the same lifetime. */
  private readonly slots = new Map<string, TimedEntry>();

  private bodyBytes = 0;

  private constructor(private readonly limits: RegistryLimits) {}

  static create(limits: RegistryLimits): EntryTable {
    return new EntryTable(limits);
  }

  get size(): number {
    return this.slots.size;
  }

  get storedBodyBytes(): number {
    return this.bodyBytes;
  }

  /** Whether another key can be added within the limits of entries and body bytes. */
  hasRoom(): boolean {
    return this.slots.size < this.limits.maxEntries && this.bodyBytes < this.limits.maxBodyBytes;
  }

  get(key: string): OrderEntry | undefined {
    return this.slots.get(key)?.entry;
  }

  /** Adds or replaces an entry; a replacement keeps the time of expiry. */
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

  /** Prepares a response for storage; drops a body that is too large or exceeds the total limit. */
  toStorable(answer: StoredAnswer): StoredAnswer {
    const size = answer.body?.byteLength ?? 0;
    return toStorableAnswer(answer, this.bodyBytes + size <= this.limits.maxBodyBytes);
  }

  /** Removes up to `MAX_EXPIRED_PER_CALL` expired entries; attempts in flight are kept. */
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
