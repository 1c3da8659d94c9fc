import { z } from 'zod';

import { decimalNumber, endpoint, identifier, oneOf, wholeNumber } from '@bronzelift/settings';

import { RESERVED_SERVICE_NAMES, SERVICE_DEFAULTS } from './constants.js';
import { OPERATOR_STATES } from './types.js';

const MAX_SLOTS = 1000;
const MAX_CONNECTIONS = 100_000;
const MAX_WARMUP_ANSWERS = 1_000_000;
const MAX_TIMEOUT_MS = 600_000;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MS_PER_S = 1000;

/** Name of a service, which is the first segment of a request's path. */
export const serviceNameSchema = identifier('a service name').refine(
  (name) => !RESERVED_SERVICE_NAMES.has(name),
  `a name other than ${[...RESERVED_SERVICE_NAMES].join(', ')}`,
);

/** Id of a failure domain or an instance. */
export const idSchema = identifier('an id');

/** Keys of a `[service <name>]` section. */
export const serviceSchema = z
  .strictObject({
    cold_slots: wholeNumber(1, MAX_SLOTS, 'slots').default(SERVICE_DEFAULTS.coldSlots),
    warmup_answers: wholeNumber(1, MAX_WARMUP_ANSWERS, 'answers').default(
      SERVICE_DEFAULTS.warmupAnswers,
    ),
    probe_budget_ms_per_s: decimalNumber(0, MS_PER_S, 'milliseconds per second').default(
      SERVICE_DEFAULTS.probeBudgetMsPerS,
    ),
    default_timeout_ms: wholeNumber(1, MAX_TIMEOUT_MS, 'milliseconds').default(
      SERVICE_DEFAULTS.defaultTimeoutMs,
    ),
    max_body_bytes: wholeNumber(0, MAX_BODY_BYTES, 'bytes').default(SERVICE_DEFAULTS.maxBodyBytes),
  })
  .transform((keys) => ({
    coldSlots: keys.cold_slots,
    warmupAnswers: keys.warmup_answers,
    probeBudgetMsPerS: keys.probe_budget_ms_per_s,
    defaultTimeoutMs: keys.default_timeout_ms,
    maxBodyBytes: keys.max_body_bytes,
  }));

/** Keys of a `[domain <id>]` section. */
export const domainSchema = z.strictObject({ state: oneOf(OPERATOR_STATES).default('in') });

/** Keys of an `[instance <id>]` section. */
export const instanceSchema = z
  .strictObject({
    service: identifier('a service name'),
    failure_domain: identifier('a failure domain'),
    vm: identifier('a VM id'),
    address: endpoint(),
    slots: wholeNumber(1, MAX_SLOTS, 'slots'),
    connections: wholeNumber(1, MAX_CONNECTIONS, 'connections'),
    state: oneOf(OPERATOR_STATES).default('in'),
  })
  .transform((keys) => ({
    service: keys.service,
    failureDomainId: keys.failure_domain,
    vmId: keys.vm,
    address: keys.address,
    slots: keys.slots,
    connections: keys.connections,
    state: keys.state,
  }));
