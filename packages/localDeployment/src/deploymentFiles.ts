import { formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import { LOOPBACK } from './constants.js';
import type { DeploymentShape, EntryAddresses, InstancePlacement } from './types.js';

/** Distributes the instances of each service over the failure domains round-robin. */
export const createInstancePlacements = (
  shape: DeploymentShape,
  ports: readonly number[],
): InstancePlacement[] => {
  const placements: InstancePlacement[] = [];
  for (const service of shape.services) {
    for (let index = 0; index < service.instances; index++) {
      const domain = shape.failureDomainIds[index % shape.failureDomainIds.length]!;
      const instanceId = `${service.service}-${index + 1}`;
      const endpoint = { host: LOOPBACK, port: ports[placements.length]! };
      const placement = { instanceId, service: service.service, failureDomainId: domain };
      placements.push({ ...placement, vmId: `vm-${instanceId}`, endpoint, shape: service });
    }
  }
  return placements;
};

/** Assigns each entry VM a failure domain and ports for callers, peers and administration. */
export const createEntryAddresses = (
  shape: DeploymentShape,
  ports: readonly number[],
): EntryAddresses[] =>
  Array.from({ length: shape.entries }, (_, index) => {
    const [caller, peer, admin] = ports.slice(index * 3, index * 3 + 3);
    return {
      vmId: `entry-${index + 1}`,
      failureDomainId: shape.failureDomainIds[index % shape.failureDomainIds.length]!,
      caller: { host: LOOPBACK, port: caller! },
      peer: { host: LOOPBACK, port: peer! },
      admin: { host: LOOPBACK, port: admin! },
    };
  });

/** Formats the operators' configuration file of a deployment. */
export const formatConfiguration = (
  shape: DeploymentShape,
  instances: readonly InstancePlacement[],
): string => {
  const lines: string[] = [];
  for (const service of shape.services) {
    lines.push(`[service ${service.service}]`, `cold_slots = ${service.coldSlots ?? 1}`, '');
  }
  for (const domain of shape.failureDomainIds) lines.push(`[domain ${domain}]`, 'state = in', '');
  for (const instance of instances) {
    lines.push(
      `[instance ${instance.instanceId}]`,
      `service = ${instance.service}`,
      `failure_domain = ${instance.failureDomainId}`,
      `vm = ${instance.vmId}`,
      `address = ${formatEndpoint(instance.endpoint)}`,
      `slots = ${instance.shape.slots}`,
      `connections = ${instance.shape.connections}`,
      '',
    );
  }
  return lines.join('\n');
};

/** Formats the settings file of one entry daemon; `extra` is appended to it. */
export const formatEntrySettings = (
  entry: EntryAddresses,
  log: Endpoint,
  vmList: Endpoint,
  logRetentionMs: number,
  extra: string,
): string =>
  [
    '[entry]',
    `vm_id = ${entry.vmId}`,
    `failure_domain = ${entry.failureDomainId}`,
    '[caller]',
    `host = ${entry.caller.host}`,
    `port = ${entry.caller.port}`,
    '[peer]',
    `host = ${entry.peer.host}`,
    `port = ${entry.peer.port}`,
    '[admin]',
    `host = ${entry.admin.host}`,
    `port = ${entry.admin.port}`,
    '[log]',
    `address = ${formatEndpoint(log)}`,
    `retention_ms = ${logRetentionMs}`,
    '[vm_list]',
    `address = ${formatEndpoint(vmList)}`,
    extra,
    '',
  ].join('\n');
