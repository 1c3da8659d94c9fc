import { createHash } from 'node:crypto';

import type { InstanceId, VmId } from '@bronzelift/common';

import type { SlotAssignment } from './types.js';

/** Calculates a 32-bit hash of a name; slow, so callers calculate it once for each name. */
export const hashName = (name: string): number =>
  createHash('sha1').update(name).digest().readUInt32LE(0);

/* eslint-disable no-bitwise -- integer mixing is defined on 32-bit words */
/** Mixes two 32-bit hashes into one (the finalizer of MurmurHash3). */
export const mixHashes = (left: number, right: number): number => {
  let mixed = Math.imul(left, 0x9e3779b1) ^ right;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};
/* eslint-enable no-bitwise */

/** Lists the slots that one member holds, by instance; instances without any are omitted. */
export const heldSlots = (assignment: SlotAssignment, vmId: VmId): Map<InstanceId, number[]> => {
  const held = new Map<InstanceId, number[]>();
  for (const [instanceId, holders] of assignment) {
    const slots: number[] = [];
    for (let slot = 0; slot < holders.length; slot++) {
      if (holders[slot] === vmId) slots.push(slot);
    }
    if (slots.length > 0) held.set(instanceId, slots);
  }
  return held;
};

/** Finds the holder of slot 0 of an instance, which probes the instance and sets its allowance. */
export const findOwner = (assignment: SlotAssignment, instanceId: InstanceId): VmId | undefined =>
  assignment.get(instanceId)?.[0];
