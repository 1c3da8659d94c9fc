import type { FailureDomainId, VmId } from '@bronzelift/common';

import { RELAY_COUNT } from '../constants.js';
import type { MemberStatus } from '../memberTable.js';
import { hashText } from '../utils.js';

/** What the election of relays considers of a member. */
export type RelayCandidate = Pick<MemberStatus, 'vmId' | 'failureDomainId' | 'phase'>;

const LEAVING_PENALTY = 2;
const SILENT_PENALTY = 4;

const ranks = new Map<VmId, number>();
const MAX_REMEMBERED_RANKS = 16_384;

/** Rank of a member; another one than in the election of readers, which have enough to do. */
const findRank = (vmId: VmId): number => {
  const known = ranks.get(vmId);
  if (known !== undefined) return known;
  if (ranks.size >= MAX_REMEMBERED_RANKS) ranks.clear();
  const rank = hashText(`relay ${vmId}`);
  ranks.set(vmId, rank);
  return rank;
};

const calculatePenalty = ({ phase }: RelayCandidate, isSilent: boolean): number => {
  const phasePenalty = { ready: 0, starting: 1, leaving: LEAVING_PENALTY }[phase];
  return phasePenalty + (isSilent ? SILENT_PENALTY : 0);
};

/**
 * Elects the relays of each failure domain from the live members in it. Members that know the same
 * live members elect the same relays; those that are leaving or do not respond come last.
 */
export const electRelays = <Candidate extends RelayCandidate>(
  candidates: readonly Candidate[],
  isSilent: (vmId: VmId) => boolean,
): Map<FailureDomainId, Candidate[]> => {
  const byDomain = new Map<FailureDomainId, { candidate: Candidate; order: number }[]>();
  for (const candidate of candidates) {
    const { vmId, failureDomainId } = candidate;
    const ranked = byDomain.get(failureDomainId) ?? [];
    const penalty = calculatePenalty(candidate, isSilent(vmId));
    // Ranks are 32-bit numbers, so that the penalty goes before them.
    ranked.push({ candidate, order: penalty * 2 ** 32 + findRank(vmId) });
    byDomain.set(failureDomainId, ranked);
  }
  return new Map(
    [...byDomain].map(([failureDomainId, ranked]) => [
      failureDomainId,
      ranked
        .sort((left, right) => left.order - right.order)
        .slice(0, RELAY_COUNT)
        .map(({ candidate }) => candidate),
    ]),
  );
};
