import { shuffle } from '@bronzelift/common';
import type { Clock, Endpoint, FailureDomainId, MemberId, RandomSource } from '@bronzelift/common';

import {
  ADDRESSES_KEEP_FOR_MS,
  RECENTLY_HEARD_MS,
  SILENCE_LIMIT_MS,
  TICKET_VALID_MS,
} from './constants.js';
import type { RosterMember } from './types.js';

/** A roster member with its state as seen by this entry VM. */
export interface AddressCandidate {
  readonly member: RosterMember;
  /** Whether the member serves callers; false while it joins or leaves, or after it has stopped. */
  readonly isServing: boolean;
  /** Whether the member's VM or failure domain is taken out of service. */
  readonly isTakenOut: boolean;
  /** Milliseconds since the last message of the member arrived; 0 for this entry VM itself. */
  readonly silentMs: number;
}

/** Endpoint of an entry VM for callers, with its failure domain. */
export interface CallerAddress extends Endpoint {
  readonly failureDomainId: FailureDomainId;
}

/** Response to a caller that requests the addresses of entry VMs. */
export interface AddressAnswer {
  /** Ordered by preference: the caller should try them in this order. */
  readonly addresses: readonly CallerAddress[];
  readonly keepForMs: number;
  /** Ticket with which the caller must start the idempotency keys of its orders. */
  readonly ticket: string;
  readonly ticketValidForMs: number;
}

/** Members that decide about the orders of a ticket, and its time of issue. */
export interface Ticket {
  readonly home: MemberId;
  /** Undefined when the system had a single member at the time of issue. */
  readonly witness: MemberId | undefined;
  readonly issuedAtMs: number;
}

const TICKET_PATTERN =
  /^v1\.([a-z0-9-]+)\.([a-z0-9]+)\.([a-z0-9-]+)\.([a-z0-9]+|-)\.([0-9]{1,15})$/;
const NO_MEMBER = '-';

/** Formats a ticket as text, with `-` in place of a missing witness. */
export const formatTicket = ({ home, witness, issuedAtMs }: Ticket): string => {
  const witnessVmId = witness?.vmId ?? NO_MEMBER;
  const witnessIncarnation = witness?.incarnation ?? NO_MEMBER;
  const members = `${home.vmId}.${home.incarnation}.${witnessVmId}.${witnessIncarnation}`;
  return `v1.${members}.${Math.trunc(issuedAtMs)}`;
};

/** Parses a ticket; undefined when the text is malformed. */
export const parseTicket = (text: string): Ticket | undefined => {
  const match = TICKET_PATTERN.exec(text);
  if (!match) return undefined;
  const [, homeVmId, homeIncarnation, witnessVmId, witnessIncarnation, issuedAtMs] = match;
  const isAlone = witnessVmId === NO_MEMBER && witnessIncarnation === NO_MEMBER;
  if (!isAlone && witnessIncarnation === NO_MEMBER) return undefined;
  return {
    home: { vmId: homeVmId!, incarnation: homeIncarnation! },
    witness: isAlone ? undefined : { vmId: witnessVmId!, incarnation: witnessIncarnation! },
    issuedAtMs: Number(issuedAtMs),
  };
};

/** Selects the addresses and the ticket for callers. */
export class AddressBook {
  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  static create(clock: Clock, random: RandomSource): AddressBook {
    return new AddressBook(clock, random);
  }

  /**
   * Answers a caller; undefined when no member serves. Members heard recently come first, in random
   * order to distribute the callers; those not heard for a while come last, and silent ones are
   * excluded. If every serving member is taken out of service, these members are still listed,
   * because they can forward a request or answer that it was not run.
   */
  answer(candidates: readonly AddressCandidate[]): AddressAnswer | undefined {
    const serving = candidates.filter(
      (candidate) => candidate.isServing && candidate.silentMs < SILENCE_LIMIT_MS,
    );
    const inService = serving.filter((candidate) => !candidate.isTakenOut);
    const listed = shuffle(this.random, inService.length > 0 ? inService : serving);
    const recent = listed.filter((candidate) => candidate.silentMs < RECENTLY_HEARD_MS);
    const late = listed.filter((candidate) => candidate.silentMs >= RECENTLY_HEARD_MS);
    const ordered = [...recent, ...late];
    const [home] = ordered;
    if (!home) return undefined;
    const witness = this.chooseWitness(home.member, candidates);
    const ticket = { home: home.member, witness, issuedAtMs: this.clock.wallMs() };
    return {
      addresses: ordered.map(({ member }) => ({
        ...member.callerEndpoint,
        failureDomainId: member.failureDomainId,
      })),
      keepForMs: ADDRESSES_KEEP_FOR_MS,
      ticket: formatTicket(ticket),
      ticketValidForMs: TICKET_VALID_MS,
    };
  }

  /**
   * Chooses a witness for a home: if possible a serving member that was heard recently and is in
   * another failure domain. Among equals, members taken out of service are chosen last, since their
   * VMs are likely to stop. `excluded` are members that the home is known not to reach.
   */
  chooseWitness(
    home: MemberId & { readonly failureDomainId: FailureDomainId },
    candidates: readonly AddressCandidate[],
    excluded: readonly MemberId[] = [],
  ): RosterMember | undefined {
    const excludedVmIds = new Set([home, ...excluded].map(({ vmId }) => vmId));
    const eligible = shuffle(
      this.random,
      candidates.filter(({ member, isServing }) => isServing && !excludedVmIds.has(member.vmId)),
    );
    const penaltyOf = ({ member, isTakenOut, silentMs }: AddressCandidate): number =>
      (silentMs >= RECENTLY_HEARD_MS ? 4 : 0) +
      (member.failureDomainId === home.failureDomainId ? 2 : 0) +
      (isTakenOut ? 1 : 0);
    const [best] = eligible.sort((left, right) => penaltyOf(left) - penaltyOf(right));
    return best?.member;
  }
}
