import type { Endpoint, FailureDomainId, Incarnation, MemberId, VmId } from '@bronzelift/common';

/** One incarnation of an entry daemon, as listed in the roster. */
export interface RosterMember {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly failureDomainId: FailureDomainId;
  readonly callerEndpoint: Endpoint;
  readonly peerEndpoint: Endpoint;
}

/** Members of the system as of one epoch. */
export interface Roster {
  /** Increases by one with each log record that can change which member holds a slot. */
  readonly epoch: number;
  readonly members: readonly RosterMember[];
  /** First epoch with the same members, if known; all epochs since then count as known. */
  readonly fromEpoch?: number;
}

/** Version counters of the control state that a member has adopted. */
export interface ControlStateCounters {
  readonly epoch: number;
  readonly configurationVersion: number;
  readonly drainRevision: number;
}

/** Counters that a peer reports of itself in a heartbeat or in the response to one. */
export interface PeerReport extends ControlStateCounters {
  /**
   * Lowest epoch that may still be in use, as far as the peer knows. 0 when the peer
   * knows neither the rosters before its own nor any unsettled roster.
   */
  readonly settledEpoch: number;
}

/** Evidence that a member has stopped. */
export type GoneReason =
  /** Its address refused a connection twice. */
  | 'refused'
  /** Another incarnation answered at its address. */
  | 'replaced'
  /** It announced its departure. */
  | 'stopped'
  /** The VM list no longer contains its VM. */
  | 'vm-gone'
  /** A log record shows that it left or was evicted for one of the reasons above. */
  | 'recorded';

/** An eviction that this member should append to the log now. */
export interface Eviction {
  readonly member: MemberId;
  readonly reason: 'silent' | 'gone';
}

/** Entry of the VM list; a VM with state `leaving` is about to be removed. */
export interface ListedVm {
  readonly vmId: VmId;
  readonly address: string;
  readonly failureDomainId: FailureDomainId;
  readonly state: 'live' | 'leaving';
}

/** Contents of the VM list as of one point in time. */
export interface VmList {
  /** Time in Unix milliseconds as of which the list is correct. */
  readonly asOfMs: number;
  readonly vms: readonly ListedVm[];
}
