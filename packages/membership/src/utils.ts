import { assertNever, formatMember } from '@bronzelift/common';
import type { MemberId } from '@bronzelift/common';

import type { GoneReason, KnownCounters } from './types.js';

/** Key of one start of an entry daemon in maps. */
export const memberKey = (member: MemberId): string => formatMember(member);

/** Members needed for more than half of a roster. */
export const quorumOf = (memberCount: number): number => Math.floor(memberCount / 2) + 1;

/** Compares texts by code unit, the same on every machine. */
export const compareText = (left: string, right: string): number => {
  if (left === right) return 0;
  return left < right ? -1 : 1;
};

/** Whether a peer that reports these counters knows nothing newer. */
export const isAtMost = (reported: KnownCounters, known: KnownCounters): boolean =>
  reported.epoch <= known.epoch &&
  reported.configurationVersion <= known.configurationVersion &&
  reported.drainRevision <= known.drainRevision;

/** The time that the given number of entries reach or exceed; -Infinity when there are fewer. */
export const thatManyLatest = (timesMs: readonly number[], count: number): number =>
  Float64Array.from(timesMs).sort().reverse()[count - 1] ?? -Infinity;

/** Sentence for the log about a member that has stopped. */
export const formatGone = (member: MemberId, reason: GoneReason): string => {
  const name = formatMember(member);
  switch (reason) {
    case 'refused':
      return `${name} is gone: its address refused two connections`;
    case 'replaced':
      return `${name} is gone: another process answered at its address`;
    case 'stopped':
      return `${name} is gone: it announced its departure`;
    case 'vm-gone':
      return `${name} is gone: its VM left the VM list`;
    case 'recorded':
      return `${name} is gone: the log records that it stopped`;
    default:
      return assertNever(reason);
  }
};
