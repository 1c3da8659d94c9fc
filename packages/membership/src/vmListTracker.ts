import type { VmId } from '@bronzelift/common';

import { NEVER_LISTED_GONE_MS } from './constants.js';
import type { VmList } from './types.js';

/** VMs whose state changed between the previous VM list and this one. */
export interface VmListChanges {
  /** VMs that this list gives as leaving, but not the previous one. */
  readonly leaving: readonly VmId[];
  /** VMs that no longer exist. */
  readonly gone: readonly VmId[];
}

const NO_CHANGES: VmListChanges = { leaving: [], gone: [] };

/**
 * Detects leaving and gone VMs by comparing successive VM lists. The list lags, so a VM counts as
 * gone only if it was listed and is then absent from two lists with different times, or if it was
 * expected (as the VM of a roster member), never listed, and absent for one minute by list times.
 */
export class VmListTracker {
  private readonly listed = new Set<VmId>();

  private readonly leaving = new Set<VmId>();

  /** Time (`asOfMs`) of the first list in which each VM was absent. */
  private readonly absentSinceMs = new Map<VmId, number>();

  private constructor(private asOfMs: number) {}

  static create(): VmListTracker {
    return new VmListTracker(-Infinity);
  }

  /** Whether the latest list contains the VM with the state `leaving`. */
  isLeaving(vmId: VmId): boolean {
    return this.leaving.has(vmId);
  }

  /** Processes a list newer than the last one; `expected` are the VMs of roster members. */
  recordList(list: VmList, expected: readonly VmId[]): VmListChanges {
    if (list.asOfMs <= this.asOfMs) return NO_CHANGES;
    this.asOfMs = list.asOfMs;
    const present = new Set(list.vms.map(({ vmId }) => vmId));
    const gone: VmId[] = [];
    for (const vmId of new Set([...this.listed, ...expected])) {
      if (!present.has(vmId) && this.recordAbsent(vmId)) gone.push(vmId);
    }
    for (const vmId of present) {
      this.listed.add(vmId);
      this.absentSinceMs.delete(vmId);
    }
    const leavingNow = list.vms.filter(({ state }) => state === 'leaving').map(({ vmId }) => vmId);
    const leaving = leavingNow.filter((vmId) => !this.leaving.has(vmId));
    this.leaving.clear();
    leavingNow.forEach((vmId) => this.leaving.add(vmId));
    for (const vmId of this.absentSinceMs.keys()) {
      if (!this.listed.has(vmId) && !expected.includes(vmId)) this.absentSinceMs.delete(vmId);
    }
    return { leaving, gone };
  }

  private recordAbsent(vmId: VmId): boolean {
    const sinceMs = this.absentSinceMs.get(vmId);
    if (sinceMs === undefined) {
      this.absentSinceMs.set(vmId, this.asOfMs);
      return false;
    }
    const wasListed = this.listed.has(vmId);
    if (!wasListed && this.asOfMs - sinceMs < NEVER_LISTED_GONE_MS) return false;
    this.listed.delete(vmId);
    this.absentSinceMs.delete(vmId);
    return true;
  }
}
