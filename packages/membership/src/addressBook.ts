import { shuffle } from '@bronzelift/common';
import type { Clock, Endpoint, FailureDomainId, MemberId, RandomSource } from '@bronzelift/common';

import { KEEP_FOR_MS, RECENTLY_HEARD_MS, SILENT_MS, TICKET_VALID_MS } from './constants.js';
import type { RosterMember } from './types.js';

/** A roster member, with what this entry VM knows about it. */
export interface AddressCandidate {
  readonly member: RosterMember;
  /** True when it serves callers; false while it joins, leaves or has stopped. */
  readonly isServing: boolean;
  /** True when its VM or failure domain is taken out of service. */
  readonly isTakenOut: boolean;
  /** Milliseconds since it was heard; 0 for this entry VM itself. */
  readonly silentMs: number;
}

/** An address for a caller. */
export interface CallerAddress extends Endpoint {
  readonly failureDomainId: FailureDomainId;
}

/** Answer to a caller that asks for addresses. */
export interface AddressAnswer {
  /** In the order in which the caller should try them. */
  readonly addresses: readonly CallerAddress[];
  readonly keepForMs: number;
  /** Prefix of the idempotency keys of orders. */
  readonly ticket: string;
  readonly ticketValidForMs: number;
}

/** Contents of a ticket. */
export interface Ticket {
  readonly home: MemberId;
  /** Undefined when the system had a single member. */
  readonly witness: MemberId | undefined;
  readonly issuedAtMs: number;
}

const TICKET_PATTERN =
  /^v1\.([a-z0-9-]+)\.([a-z0-9]+)\.([a-z0-9-]+)\.([a-z0-9]+|-)\.([0-9]{1,15})$/;
const NO_MEMBER = '-';

/** Text form of a ticket. */
export const formatTicket = ({ home, witness, issuedAtMs }: Ticket): string => {
  const witnessVmId = witness?.vmId ?? NO_MEMBER;
  const witnessIncarnation = witness?.incarnation ?? NO_MEMBER;
  const members = `${home.vmId}.${home.incarnation}.${witnessVmId}.${witnessIncarnation}`;
  return `v1.${members}.${Math.trunc(issuedAtMs)}`;
};

/** Parses a ticket; returns undefined when the text is not one. */
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

/** Decides which addresses and which ticket a caller receives. */
export class AddressBook {
  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Creates an address book. */
  static create(clock: Clock, random: RandomSource): AddressBook {
    return new AddressBook(clock, random);
  }

  /**
   * Answers a caller; undefined when no member serves. Members heard recently come first, in random
   * order, so that the callers spread; those not heard for a while come last, and silent ones are
   * left out. When every failure domain is taken out, members of those domains are named all the
   * same: they can say that the request was not run, or forward it.
   */
  answer(candidates: readonly AddressCandidate[]): AddressAnswer | undefined {
    const serving = candidates.filter((one) => one.isServing && one.silentMs < SILENT_MS);
    const inService = serving.filter((one) => !one.isTakenOut);
    const listed = shuffle(this.random, inService.length > 0 ? inService : serving);
    const recent = listed.filter((one) => one.silentMs < RECENTLY_HEARD_MS);
    const late = listed.filter((one) => one.silentMs >= RECENTLY_HEARD_MS);
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
      keepForMs: KEEP_FOR_MS,
      ticket: formatTicket(ticket),
      ticketValidForMs: TICKET_VALID_MS,
    };
  }

  /**
   * Chooses a witness for a home: a serving member heard recently, in another failure domain if there
   * is one. Among equals, members of a domain taken out are chosen last, since their VMs are likely to
   * stop. `excluded` are members known to be unreachable for the home.
   */
  chooseWitness(
    home: MemberId & { readonly failureDomainId: FailureDomainId },
    candidates: readonly AddressCandidate[],
    excluded: readonly MemberId[] = [],
  ): RosterMember | undefined {
    const excludedVmIds = new Set([home, ...excluded].map(({ vmId }) => vmId));
    const possible = shuffle(
      this.random,
      candidates.filter(({ member, isServing }) => isServing && !excludedVmIds.has(member.vmId)),
    );
    const penaltyOf = ({ member, isTakenOut, silentMs }: AddressCandidate): number =>
      (silentMs >= RECENTLY_HEARD_MS ? 4 : 0) +
      (member.failureDomainId === home.failureDomainId ? 2 : 0) +
      (isTakenOut ? 1 : 0);
    const [best] = possible.sort((left, right) => penaltyOf(left) - penaltyOf(right));
    return best?.member;
  }
}
