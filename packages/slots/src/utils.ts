import { createHash } from 'node:crypto';

import type { InstanceId, VmId } from '@bronzelift/common';

import type { SlotAssignment } from './types.js';

/** 32-bit hash of a name; slow, meant to be taken once for each name. */
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

/** Slots that one member holds, by instance; instances without any are left out. */
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

/** Holder of slot 0 of an instance: it probes the instance and decides its allowance. */
export const ownerOf = (assignment: SlotAssignment, instanceId: InstanceId): VmId | undefined =>
  assignment.get(instanceId)?.[0];
