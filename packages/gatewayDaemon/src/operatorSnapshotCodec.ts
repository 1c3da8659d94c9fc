import * as z from 'zod';

import { MAX_COLD_MS } from './constants.js';
import type { OperatorSnapshot } from './controlState.js';
import { isPosition } from './fieldBounds.js';

const durationMs = z.number().nonnegative();
const count = z.number().int().nonnegative();
const position = z.number().refine(isPosition);

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  isIdempotent: z.boolean(),
  timeoutMs: durationMs,
  latencyObjectiveMs: durationMs,
  priority: z.number(),
  parts: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })),
  maxAttempts: z.number(),
  allowedRegions: z.array(z.string()),
});

const serviceSchema = z.object({
  name: z.string(),
  healthPath: z.string(),
  maxConnections: z.number(),
  coldRequestsPerS: z.number(),
});

const configurationSchema = z.object({
  version: count,
  routes: z.array(routeSchema),
  services: z.array(serviceSchema),
  limits: z.object({
    maxHeaderBytes: count,
    maxBodyBytes: count,
    headerTimeoutMs: durationMs,
    idleTimeoutMs: durationMs,
  }),
});

const domains = z.array(z.string());

const snapshotSchema = z.object({
  revision: position,
  nextOffset: position,
  configuration: configurationSchema.optional(),
  domainsOut: domains,
  restoredDomains: z.object({ domainsOut: domains, forMs: durationMs.max(MAX_COLD_MS) }).optional(),
});

/** Decodes the operators' state of another entry VM; undefined if a field is out of bounds. */
export const decodeOperatorSnapshot = (value: unknown): OperatorSnapshot | undefined => {
  const parsed = snapshotSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { configuration, restoredDomains, ...others } = parsed.data;
  return { ...others, configuration, restoredDomains };
};
