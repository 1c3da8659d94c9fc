import type { Endpoint, FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';
import type { IniProblem } from '@bronzelift/settings';

/** One mistake in the operators' file. */
export type ConfigurationProblem = IniProblem;

/** Whether a target may receive work. */
export const SERVICE_STATES = ['in', 'out'] as const;
export type ServiceState = (typeof SERVICE_STATES)[number];

/** One service. */
export interface ServiceConfiguration {
  readonly name: ServiceName;
  /** Slots an instance may use right after its start. */
  readonly coldSlots: number;
  /** Answers at normal latency that raise the allowance by one slot. */
  readonly warmupAnswers: number;
  /** Backend time per instance for measuring load, in milliseconds per second. */
  readonly probeBudgetMsPerS: number;
  /** Deadline of a request that names none. */
  readonly defaultTimeoutMs: number;
  /** Largest request body. */
  readonly maxBodyBytes: number;
}

/** One failure domain. */
export interface DomainConfiguration {
  readonly id: FailureDomainId;
  readonly state: ServiceState;
}

/** One backend server process of a service. */
export interface InstanceConfiguration {
  readonly id: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  readonly vmId: VmId;
  readonly address: Endpoint;
  /** Requests the instance may run at the same time. */
  readonly slots: number;
  /** Connections the instance accepts from all entry VMs together. */
  readonly connections: number;
  readonly state: ServiceState;
}

/** The operators' file. */
export interface Configuration {
  readonly services: readonly ServiceConfiguration[];
  readonly domains: readonly DomainConfiguration[];
  readonly instances: readonly InstanceConfiguration[];
}
