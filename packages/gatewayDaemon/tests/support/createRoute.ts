import type { Route } from '../../src/types.js';

/** Creates an idempotent route to one service, with the given fields replaced. */
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
