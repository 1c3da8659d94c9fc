import type { FailureDomainId, VmId } from '@bronzelift/common';

import type { MemberStatus } from '../memberTable.js';

/** A member as relays list it for others. */
export interface ListedMember {
  readonly status: MemberStatus;
  readonly host: string;
}

/** Digest of the live members of a failure domain, as a relay knows them. */
export interface DomainDigest {
  readonly failureDomainId: FailureDomainId;
  readonly digest: number;
}

/** Live members of a failure domain, as a relay knows them. */
export interface DomainRoster extends DomainDigest {
  readonly members: readonly ListedMember[];
}

/** Periodic message of a relay to the members of its failure domain and to other relays. */
export interface RelayDigest {
  readonly status: MemberStatus;
  readonly domains: readonly DomainDigest[];
  /** Time since the relay heard a reader of the store; NEVER_READ_AGE_MS if it never did. */
  readonly readerAgeMs: number;
  /** Age of the latest read of the store that the relay knows of; NEVER_READ_AGE_MS for none. */
  readonly readAgeMs: number;
}

/** Change of the members that a relay lists for a failure domain. */
export interface RosterChange {
  readonly relayId: VmId;
  readonly failureDomainId: FailureDomainId;
  /** Digest before the change; the change applies only to this list. */
  readonly formerDigest: number;
  readonly digest: number;
  readonly changed: readonly ListedMember[];
  readonly removed: readonly VmId[];
}
