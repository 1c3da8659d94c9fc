import type { Configuration } from './types.js';

/** Maximum size of the configuration file. */
export const MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024;

/** Default values of the optional keys of a service. */
export const SERVICE_DEFAULTS = {
  coldSlots: 1,
  warmupAnswers: 10,
  probeBudgetMsPerS: 20,
  defaultTimeoutMs: 2000,
  maxBodyBytes: 1_048_576,
} as const;

/** Names that no service may have because the entry daemon's own paths start with them. */
export const RESERVED_SERVICE_NAMES: ReadonlySet<string> = new Set(['bronzelift']);

/** Configuration in force before an operator applies the first configuration. */
export const EMPTY_CONFIGURATION: Configuration = { services: [], domains: [], instances: [] };
