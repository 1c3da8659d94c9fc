import type { FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';

/** An entry VM that can hold slots. */
export interface SlotMember {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
}

/** An instance whose slots are to be assigned. */
export interface SlotInstance {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  /** Number of requests that the instance can work on at once. */
  readonly slots: number;
}

/** Holder of every slot. The index in the list is the slot; empty when there are no members. */
export type SlotAssignment = ReadonlyMap<InstanceId, readonly VmId[]>;

/** Settings of the cold-start allowance. */
export interface AllowanceSettings {
  /** Slots of the instance. */
  readonly slots: number;
  /** Slots that a just-started instance can handle. */
  readonly coldSlots: number;
  /** Responses at normal latency that raise the allowance by one. */
  readonly warmupAnswers: number;
}

/** Why an allowance fell to coldSlots. */
export type ColdReason =
  'cold-report' | 'overload-refusal' | 'closed' | 'new-boot-id' | 'peer-report';

/** A response of an instance, as far as it says something about its load. */
export interface InstanceResponse {
  /** Milliseconds from the send to the complete response. */
  readonly latencyMs: number;
  /** True for a load probe: it proves which process answers, but says nothing about work. */
  readonly isProbe?: boolean;
  /** Value of `x-boot-id`, when present. */
  readonly bootId?: string;
  /** True when the instance reported that it is cold. */
  readonly isCold?: boolean;
  /** True when the instance refused the request for overload. */
  readonly isOverloadRefusal?: boolean;
}

/** How the latency of a response compares with the usual one. */
export type Pace = 'normal' | 'slow' | 'slow-series';

/** What the owner of an instance reports in heartbeats. */
export interface OwnerReport {
  readonly allowance: number;
  /**
   * Earliest local time in milliseconds at which the owner can have made the observation. For a
   * heartbeat response: the time at which the heartbeat was sent, minus the reported age.
   */
  readonly observedAtMs: number;
}
