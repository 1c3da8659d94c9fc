import type { Endpoint, FailureDomainId, ServiceName } from '@bronzelift/common';

/** Number and capacity of the instances of one service. */
export interface ServiceShape {
  readonly service: ServiceName;
  readonly instances: number;
  readonly slots: number;
  readonly connections: number;
  readonly meanServiceMs: number;
  readonly coldSlots?: number;
}

/** Failure domains, services and number of entry VMs of a local deployment. */
export interface DeploymentShape {
  readonly name: string;
  readonly failureDomainIds: readonly FailureDomainId[];
  readonly services: readonly ServiceShape[];
  /** Number of entry VMs, which are distributed over the failure domains round-robin. */
  readonly entries: number;
}

/** Failure domain of one entry VM, and its endpoints for callers, peers and administration. */
export interface EntryAddresses {
  readonly vmId: string;
  readonly failureDomainId: FailureDomainId;
  readonly caller: Endpoint;
  readonly peer: Endpoint;
  readonly admin: Endpoint;
}

/** Address and failure domain of one instance of the backend stand-in. */
export interface InstancePlacement {
  readonly instanceId: string;
  readonly service: ServiceName;
  readonly failureDomainId: FailureDomainId;
  readonly vmId: string;
  readonly endpoint: Endpoint;
  readonly shape: ServiceShape;
}

/** Directory, seed and settings of a local deployment. */
export interface DeploymentOptions {
  /** Directory for settings files and logs; it must exist. */
  readonly directory: string;
  readonly seed: number;
  readonly logRetentionMs?: number;
  /** Lines appended to the settings file of every entry daemon. */
  readonly extraSettings?: string;
}
