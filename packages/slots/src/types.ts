import type { FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';

/** An entry VM that slots can be assigned to. */
export interface SlotMember {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
}

/** Instance whose slots are assigned, with the group that it belongs to. */
export interface SlotInstance {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  /** Number of requests that the instance can handle at the same time. */
  readonly slots: number;
}

/** Holder of every slot, indexed by slot; the lists are empty if there are no members. */
export type SlotAssignment = ReadonlyMap<InstanceId, readonly VmId[]>;

/** Slot limits and warmup rate of an instance after a cold start. */
export interface AllowanceSettings {
  /** Number of slots of the warm instance. */
  readonly slots: number;
  /** Number of slots that a just-started instance can handle. */
  readonly coldSlots: number;
  /** Number of responses at normal latency that raise the allowance by one slot. */
  readonly warmupAnswers: number;
}

/** Reason why an allowance fell to coldSlots. */
export type ColdReason =
  'cold-report' | 'overload-refusal' | 'closed' | 'new-boot-id' | 'peer-report';

/** The fields of an instance's response that show whether it is warm. */
export interface InstanceResponse {
  /** Milliseconds from the send to the complete response. */
  readonly latencyMs: number;
  /** True for a load probe: it identifies the process, but its latency does not count. */
  readonly isProbe?: boolean;
  /** Value of `x-boot-id`, when present. */
  readonly bootId?: string;
  /** True when the instance reported that it is cold. */
  readonly isCold?: boolean;
  /** True when the instance refused the request for overload. */
  readonly isOverloadRefusal?: boolean;
}

/** Latency of a response compared with the usual one of the instance. */
export type LatencyClass = 'normal' | 'slow' | 'slow-series';

/** Allowance of an instance that its owner reports in heartbeats. */
export interface OwnerReport {
  readonly allowance: number;
  /**
   * Earliest local time in milliseconds at which the owner can have made the observation. For a
   * heartbeat response: the time at which the heartbeat was sent, minus the reported age.
   */
  readonly observedAtMs: number;
}
