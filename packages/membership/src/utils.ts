import { assertNever, formatMember } from '@bronzelift/common';
import type { MemberId } from '@bronzelift/common';

import type { GoneReason, ControlStateCounters } from './types.js';

/** Map key of one incarnation of an entry daemon. */
export const memberKey = (member: MemberId): string => formatMember(member);

/** Smallest number of members that is more than half of a roster. */
export const quorumOf = (memberCount: number): number => Math.floor(memberCount / 2) + 1;

/** Compares texts by code unit, so that the order does not depend on the locale of the machine. */
export const compareText = (left: string, right: string): number => {
  if (left === right) return 0;
  return left < right ? -1 : 1;
};

/** Whether each reported counter is at most the known one, so the sender has nothing newer. */
export const isCoveredBy = (reported: ControlStateCounters, known: ControlStateCounters): boolean =>
  reported.epoch <= known.epoch &&
  reported.configurationVersion <= known.configurationVersion &&
  reported.drainRevision <= known.drainRevision;

/** Finds the latest time that `count` of the times reach; -Infinity if there are fewer times. */
export const findNthLatest = (timesMs: readonly number[], count: number): number =>
  Float64Array.from(timesMs).sort().reverse()[count - 1] ?? -Infinity;

/** Log message about a member that has stopped, with the evidence for it. */
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
