import type { InstanceRecord } from './types.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Calculates the FNV-1a hash of a text as an unsigned 32-bit number. */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- FNV-1a is defined on 32-bit words
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise -- to an unsigned number
  return hash >>> 0;
};

/** Describes what of a registration has to be the same on all entry VMs. */
export const describeRegistration = (record: InstanceRecord): string => {
  const { id, service, slots, startedAtWallMs, isDraining, endpoint } = record;
  const process = `${id} ${startedAtWallMs} ${endpoint.host}:${endpoint.port}`;
  return `${process} ${service} ${slots} ${isDraining}`;
};

/** Orders two records of an instance by process start and sequence; negative if left is older. */
export const compareProcessVersions = (left: InstanceRecord, right: InstanceRecord): number =>
  left.startedAtWallMs - right.startedAtWallMs || left.sequence - right.sequence;
