import type { Configuration } from './types.js';

/** Largest operators' file. */
export const MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024;

/** Values of the keys of a service that may be left out. */
export const SERVICE_DEFAULTS = {
  coldSlots: 1,
  warmupAnswers: 10,
  probeBudgetMsPerS: 20,
  defaultTimeoutMs: 2000,
  maxBodyBytes: 1_048_576,
} as const;

/** First part of the path of a caller's request; taken by the entry daemon's own paths. */
export const RESERVED_SERVICE_NAMES: ReadonlySet<string> = new Set(['bronzelift']);

/** In force before the first apply. */
export const EMPTY_CONFIGURATION: Configuration = { services: [], domains: [], instances: [] };
