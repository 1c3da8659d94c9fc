import type { InstanceId } from '@bronzelift/common';

/**
 * Slots that an entry VM may use while it holds its lease. Until the newest epoch is settled, these
 * are the slots that were usable in the last settled epoch and have been held in every epoch since;
 * afterwards, all slots that it holds.
 *
 * A slot that was lost in between is not usable, even if it is assigned again: another member may
 * have used it meanwhile. For the same reason no slot stays usable if epochs were skipped.
 */
export class SlotRights {
  private held: ReadonlyMap<InstanceId, readonly number[]> = new Map();

  private usable = new Map<InstanceId, ReadonlySet<number>>();

  private settledEpoch = 0;

  private constructor(private epoch: number) {}

  static create(): SlotRights {
    return new SlotRights(0);
  }

  /**
   * Sets the slots held in a new epoch. `isContiguous` is false if epochs between the former epoch
   * and this one are unknown; then no slot stays usable until this epoch is settled.
   */
  setHeldSlots(
    epoch: number,
    held: ReadonlyMap<InstanceId, readonly number[]>,
    isContiguous: boolean,
  ): void {
    if (epoch < this.epoch) return;
    const kept = new Map<InstanceId, ReadonlySet<number>>();
    if (isContiguous) {
      for (const [instanceId, slots] of held) {
        const former = this.usable.get(instanceId);
        if (!former) continue;
        const retained = slots.filter((slot) => former.has(slot));
        if (retained.length > 0) kept.set(instanceId, new Set(retained));
      }
    }
    this.epoch = epoch;
    this.held = held;
    this.usable = kept;
  }

  /** Makes every held slot usable if `epoch`, which has settled, is the newest epoch. */
  settle(epoch: number): void {
    if (epoch !== this.epoch || this.settledEpoch === epoch) return;
    this.settledEpoch = epoch;
    this.usable = new Map();
    for (const [instanceId, slots] of this.held) this.usable.set(instanceId, new Set(slots));
  }

  /** Whether the slot may be used; the caller must hold the lease. */
  isUsable(instanceId: InstanceId, slot: number): boolean {
    return this.usable.get(instanceId)?.has(slot) ?? false;
  }

  /** Usable slots of an instance, in ascending order. */
  usableSlots(instanceId: InstanceId): number[] {
    return [...(this.usable.get(instanceId) ?? [])].sort((left, right) => left - right);
  }

  /** Whether the member is the settled owner of the instance, the only one that probes it. */
  isOwner(instanceId: InstanceId): boolean {
    return this.isUsable(instanceId, 0);
  }
}
