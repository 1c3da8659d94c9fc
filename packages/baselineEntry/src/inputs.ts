import { parseEndpoint } from '@bronzelift/common';
import { z } from 'zod';

import { POLICIES } from './constants.js';
import type { BaselineInstance, BaselinePeer, Policy } from './types.js';

const endpoint = z.string().transform((text, context) => {
  const parsed = parseEndpoint(text);
  if (parsed) return parsed;
  context.addIssue({ code: 'custom', message: `not an address of the form host:port: ${text}` });
  return z.NEVER;
});

const instancesSchema = z.array(
  z.object({
    service: z.string().min(1),
    address: endpoint,
    slots: z.number().int().positive(),
  }),
);

const peerSchema = z
  .string()
  .transform((text) => text.split(','))
  .pipe(z.tuple([z.string().min(1), z.string().min(1), endpoint]));

/** Parses the instances file; throws a ZodError or SyntaxError when it is malformed. */
export const parseInstances = (text: string): BaselineInstance[] =>
  instancesSchema.parse(JSON.parse(text));

/** Parses `vmId,failureDomainId,host:port`; throws a ZodError when it is malformed. */
export const parsePeer = (text: string): BaselinePeer => {
  const [vmId, failureDomainId, caller] = peerSchema.parse(text);
  return { vmId, failureDomainId, caller };
};

/** Parses the name of a policy; throws a ZodError when it is unknown. */
export const parsePolicy = (text: string): Policy => z.enum(POLICIES).parse(text);
