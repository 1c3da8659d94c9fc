import type { RandomSource } from '@bronzelift/common';
import { shuffle } from '@bronzelift/common';
import { formatTicket } from '@bronzelift/membership';
import type { AddressAnswer } from '@bronzelift/membership';

import { ADDRESSES_KEEP_FOR_MS, TICKET_VALID_MS } from './constants.js';
import type { BaselinePeer } from './types.js';

/** Lists all peers in random order, with a well-formed ticket that baseline processes ignore. */
export const createAddressResponse = (
  peers: readonly BaselinePeer[],
  incarnation: string,
  nowMs: number,
  random: RandomSource,
): AddressAnswer => {
  const shuffledPeers = shuffle(random, peers);
  const [home, witness] = shuffledPeers.map(({ vmId }) => ({ vmId, incarnation }));
  return {
    addresses: shuffledPeers.map(({ caller, failureDomainId }) => ({ ...caller, failureDomainId })),
    keepForMs: ADDRESSES_KEEP_FOR_MS,
    ticket: formatTicket({ home: home!, witness, issuedAtMs: nowMs }),
    ticketValidForMs: TICKET_VALID_MS,
  };
};
