import { constants } from 'node:os';

import { StepError, parseEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';
import { z } from 'zod';

import type { LoadOptions } from './types.js';

const count = z.number().int().nonnegative();
const durationMs = z.number().nonnegative();
const rate = z.number().nonnegative();

const endpoint = z.string().transform((text, context): Endpoint => {
  const parsed = parseEndpoint(text);
  if (parsed) return parsed;
  context.addIssue({
    code: 'custom',
    message: `"${text}" is not an address of the form host:port`,
  });
  return z.NEVER;
});

const signal = z.custom<NodeJS.Signals>(
  (value) => typeof value === 'string' && value in constants.signals,
  'must be the name of a signal',
);

const fault = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('behavior'),
    atMs: durationMs,
    url: z.url(),
    behavior: z.record(z.string(), z.unknown()),
  }),
  // 0 and negative ids address process groups; a fault may only signal a single process.
  z.strictObject({
    kind: z.literal('signal'),
    atMs: durationMs,
    pid: z.number().int().min(2),
    signal,
  }),
]);

/** Schema of a plan file for the load tool; `entryEndpoints` are written as `host:port`. */
export const loadPlanSchema = z.strictObject({
  name: z.string().optional(),
  seed: z.number().int().default(1),
  entryEndpoints: z.array(endpoint).min(1),
  services: z
    .array(
      z.strictObject({
        service: z.string().min(1),
        lookupsPerSecond: rate,
        ordersPerSecond: rate,
        timeoutMs: durationMs.optional(),
        patienceMs: durationMs.optional(),
        responseBytes: count.optional(),
      }),
    )
    .min(1),
  durationMs,
  profile: z
    .array(z.strictObject({ atMs: durationMs, factor: rate, rampMs: durationMs.optional() }))
    .optional(),
  callers: count.min(1).optional(),
  unknownRepeats: count.optional(),
  faults: z.array(fault).optional(),
  backendStandinUrls: z.array(z.url()).optional(),
  settleMs: durationMs.optional(),
  warmupMs: durationMs.optional(),
});

/** Parses a plan from JSON text; throws one error that lists all problems of an invalid plan. */
export const parseLoadPlan = (text: string): LoadOptions => {
  const parsed = loadPlanSchema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  throw StepError.create('read load plan', 'local', z.prettifyError(parsed.error));
};
