import type { Endpoint, FailureDomainId, InstanceId, ServiceName, VmId } from '@bronzelift/common';
import type { IniProblem } from '@bronzelift/settings';

/** An invalid section, key or value in the configuration file. */
export type ConfigurationProblem = IniProblem;

/**
 * States that an operator can give a failure domain or an instance: `in` may receive requests,
 * `out` may not.
 */
export const OPERATOR_STATES = ['in', 'out'] as const;
export type OperatorState = (typeof OPERATOR_STATES)[number];

/** Cold start, probe and request limits of one service. */
export interface ServiceConfiguration {
  readonly name: ServiceName;
  /** Number of slots of an instance that may be used right after its start. */
  readonly coldSlots: number;
  /** Number of responses at normal latency that raise the allowance by one slot. */
  readonly warmupAnswers: number;
  /** Backend time that probes of one instance may cost, in milliseconds per second. */
  readonly probeBudgetMsPerS: number;
  /** Timeout of a request whose caller sets none. */
  readonly defaultTimeoutMs: number;
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
}

/** A failure domain and whether its instances may receive requests. */
export interface DomainConfiguration {
  readonly id: FailureDomainId;
  readonly state: OperatorState;
}

/** One backend server process of a service. */
export interface InstanceConfiguration {
  readonly id: InstanceId;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  readonly vmId: VmId;
  readonly address: Endpoint;
  /** Number of requests that the instance may run at the same time. */
  readonly slots: number;
  /** Number of connections that the instance accepts from all entry VMs together. */
  readonly connections: number;
  readonly state: OperatorState;
}

/** Valid contents of the configuration file. */
export interface Configuration {
  readonly services: readonly ServiceConfiguration[];
  readonly domains: readonly DomainConfiguration[];
  readonly instances: readonly InstanceConfiguration[];
}
