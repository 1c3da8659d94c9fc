import type { VmId } from '@bronzelift/common';

import { NEVER_LISTED_GONE_MS } from './constants.js';
import type { VmList } from './types.js';

/** Changes found in one read of the VM list. */
export interface VmListChanges {
  /** VMs listed as leaving for the first time. */
  readonly leaving: readonly VmId[];
  /** VMs that no longer exist. */
  readonly gone: readonly VmId[];
}

const NOTHING: VmListChanges = { leaving: [], gone: [] };

/**
 * Decides from successive VM lists which VMs are leaving or gone. The list lags, so that a VM counts
 * as gone only when it was listed and is then absent from two lists, the second with a later time;
 * or when it was expected (a roster member) and is never listed for a minute of list time.
 */
export class VmListTracker {
  private readonly listed = new Set<VmId>();

  private readonly leaving = new Set<VmId>();

  /** List time at which each VM was first found absent. */
  private readonly absentSinceMs = new Map<VmId, number>();

  private constructor(private asOfMs: number) {}

  /** Creates a tracker that has seen no list. */
  static create(): VmListTracker {
    return new VmListTracker(-Infinity);
  }

  /** Whether the latest list has the VM as leaving. */
  isLeaving(vmId: VmId): boolean {
    return this.leaving.has(vmId);
  }

  /** Takes a list; `expected` are VMs of roster members. A list not newer than the last is ignored. */
  recordList(list: VmList, expected: readonly VmId[]): VmListChanges {
    if (list.asOfMs <= this.asOfMs) return NOTHING;
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
