import type { Route } from '../../src/types.js';

/** A route of one service, with some fields replaced. */
export const createRoute = (fields: Partial<Route> = {}): Route => ({
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  isIdempotent: true,
  timeoutMs: 800,
  latencyObjectiveMs: 200,
  priority: 1,
  parts: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  allowedRegions: [],
  ...fields,
});
