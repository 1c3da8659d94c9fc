import type { InstanceId } from '@bronzelift/common';

/**
 * Slots that an entry VM may use while it holds its lease: those that it kept through every change
 * since they were last settled, and, once the newest epoch is settled, all that it holds.
 *
 * A slot that was lost in between is not kept, even if it comes back: another member may have used
 * it meanwhile. For the same reason nothing is kept when epochs were skipped.
 */
export class SlotRights {
  private held: ReadonlyMap<InstanceId, readonly number[]> = new Map();

  private usable = new Map<InstanceId, ReadonlySet<number>>();

  private settledEpoch = 0;

  private constructor(private epoch: number) {}

  /** Creates rights to no slots. */
  static create(): SlotRights {
    return new SlotRights(0);
  }

  /**
   * Adopts the slots held in a new epoch. `isContiguous` is false when epochs between the former
   * one and this one are unknown.
   */
  adopt(
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
        const still = slots.filter((slot) => former.has(slot));
        if (still.length > 0) kept.set(instanceId, new Set(still));
      }
    }
    this.epoch = epoch;
    this.held = held;
    this.usable = kept;
  }

  /** Makes every held slot usable; `epoch` is the epoch that was found settled. */
  settle(epoch: number): void {
    if (epoch !== this.epoch || this.settledEpoch === epoch) return;
    this.settledEpoch = epoch;
    this.usable = new Map();
    for (const [instanceId, slots] of this.held) this.usable.set(instanceId, new Set(slots));
  }

  /** Whether the slot may be used while the lease is held. */
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
