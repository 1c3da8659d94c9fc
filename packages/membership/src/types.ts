import type { Endpoint, FailureDomainId, Incarnation, MemberId, VmId } from '@bronzelift/common';

/** One start of an entry daemon, as listed in the roster. */
export interface RosterMember {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly failureDomainId: FailureDomainId;
  readonly callerEndpoint: Endpoint;
  readonly peerEndpoint: Endpoint;
}

/** Members at one epoch. */
export interface Roster {
  /** Counter that advances by one with each log record that can change who holds a slot. */
  readonly epoch: number;
  readonly members: readonly RosterMember[];
  /** First epoch with the same members, where known; the epochs from there on are not unknown. */
  readonly fromEpoch?: number;
}

/** Counters of the control state that a member has adopted. */
export interface KnownCounters {
  readonly epoch: number;
  readonly configurationVersion: number;
  readonly drainRevision: number;
}

/** What a peer says about itself in a heartbeat or its response. */
export interface PeerReport extends KnownCounters {
  /**
   * Lowest epoch that may still be in use according to the peer. 0 when it does not know the
   * rosters before its own and has nothing else that is unsettled.
   */
  readonly settledEpoch: number;
}

/** Why a member is certain to have stopped. */
export type GoneReason =
  /** Its address refused a connection twice. */
  | 'refused'
  /** Another incarnation answered at its address. */
  | 'replaced'
  /** It announced its departure. */
  | 'stopped'
  /** The VM list no longer contains its VM. */
  | 'vm-gone'
  /** It was evicted on the log for one of these reasons, or left. */
  | 'recorded';

/** An eviction that a member should append to the log. */
export interface Eviction {
  readonly member: MemberId;
  readonly reason: 'silent' | 'gone';
}

/** State of a VM on the VM list. */
export interface ListedVm {
  readonly vmId: VmId;
  readonly address: string;
  readonly failureDomainId: FailureDomainId;
  readonly state: 'live' | 'leaving';
}

/** One read of the VM list. */
export interface VmList {
  /** Time in Unix milliseconds that the list describes. */
  readonly asOfMs: number;
  readonly vms: readonly ListedVm[];
}
