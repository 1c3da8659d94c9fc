import { StepError } from '@bronzelift/common';
import { z } from 'zod';

import type { InstanceOptions } from './types.js';

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();

/** Schema of one instance in the file given to the backend stand-in. */
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

/** Schema of the file given to the backend stand-in: a list of instances. */
export const fleetSchema = z.array(instanceOptionsSchema).min(1);

/** Reads instances from JSON text; throws one error with all problems when it is invalid. */
export const parseFleet = (text: string): InstanceOptions[] => {
  const parsed = fleetSchema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  throw StepError.create('read instances', 'local', z.prettifyError(parsed.error));
};

/** Instances of one service spread evenly over failure domains. */
export interface FleetPlan extends Omit<
  InstanceOptions,
  'instanceId' | 'failureDomainId' | 'port'
> {
  readonly count: number;
  readonly failureDomainIds: readonly string[];
  /** Port of the first instance; the others follow. 0 or none takes any free ones. */
  readonly firstPort?: number;
}

/** Options of the instances of a plan, named `<service>-<number>` from 1. */
export const planFleet = (plan: FleetPlan): InstanceOptions[] => {
  const { count: instanceCount, failureDomainIds, firstPort = 0, ...common } = plan;
  return Array.from({ length: instanceCount }, (_, index) => ({
    ...common,
    instanceId: `${plan.service}-${index + 1}`,
    failureDomainId: failureDomainIds[index % failureDomainIds.length]!,
    port: firstPort === 0 ? 0 : firstPort + index,
  }));
};
