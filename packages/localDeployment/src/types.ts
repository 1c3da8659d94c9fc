import type { Endpoint, FailureDomainId, ServiceName } from '@bronzelift/common';

/** One service of a local deployment. */
export interface ServiceShape {
  readonly service: ServiceName;
  readonly instances: number;
  readonly slots: number;
  readonly connections: number;
  readonly meanServiceMs: number;
  readonly coldSlots?: number;
}

/** Size of a local deployment. */
export interface DeploymentShape {
  readonly name: string;
  readonly failureDomainIds: readonly FailureDomainId[];
  readonly services: readonly ServiceShape[];
  /** Entry VMs, spread over the failure domains in turn. */
  readonly entries: number;
}

/** Addresses of one entry VM. */
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

/** Options of a local deployment. */
export interface DeploymentOptions {
  /** Folder for settings and logs; it must exist. */
  readonly directory: string;
  readonly seed: number;
  readonly logRetentionMs?: number;
  /** Lines added to the settings file of every entry daemon. */
  readonly extraSettings?: string;
}
