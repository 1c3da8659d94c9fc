import { StepError } from '@bronzelift/common';
import { z } from 'zod';

import type { InstanceOptions } from './types.js';

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();

/** Schema of an entry in the instances file of the backend stand-in. */
export const instanceOptionsSchema = z.strictObject({
  instanceId: z.string().min(1),
  service: z.string().min(1),
  failureDomainId: z.string().min(1),
  port: z.number().int().min(0).max(65_535).optional(),
  slots: z.number().int().positive().optional(),
  maxConnections: count.optional(),
  maxQueue: count.optional(),
  meanServiceMs: z.number().positive().optional(),
  serviceSigma: z.number().nonnegative().optional(),
  coldSlots: z.number().int().positive().optional(),
  coldFactor: z.number().min(1).optional(),
  warmupRequestsPerSlot: count.optional(),
  stallMs: durationMs.optional(),
  unannouncedColdGraceMs: durationMs.optional(),
  probeCostMs: durationMs.optional(),
  connectionCostMs: durationMs.optional(),
  startsCold: z.boolean().optional(),
});

/** Schema of the instances file of the backend stand-in. */
export const fleetSchema = z.array(instanceOptionsSchema).min(1);

/** Parses an instances file; throws one error that lists all schema problems. */
export const parseFleet = (text: string): InstanceOptions[] => {
  const parsed = fleetSchema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  throw StepError.create('read instances', 'local', z.prettifyError(parsed.error));
};

/** Describes the instances of one service, spread evenly over failure domains. */
export interface FleetPlan extends Omit<
  InstanceOptions,
  'instanceId' | 'failureDomainId' | 'port'
> {
  readonly count: number;
  readonly failureDomainIds: readonly string[];
  /** Port of the first instance; the others use the next ports. 0 or undefined selects free ports. */
  readonly firstPort?: number;
}

/** Creates the options of the instances of a plan; ids are `<service>-<number>` from 1. */
export const createInstanceOptions = (plan: FleetPlan): InstanceOptions[] => {
  const { count: instanceCount, failureDomainIds, firstPort = 0, ...common } = plan;
  return Array.from({ length: instanceCount }, (_, index) => ({
    ...common,
    instanceId: `${plan.service}-${index + 1}`,
    failureDomainId: failureDomainIds[index % failureDomainIds.length]!,
    port: firstPort === 0 ? 0 : firstPort + index,
  }));
};
