import { z } from 'zod';

const durationMs = z.number().nonnegative();
const count = z.number().int().nonnegative();
const outageMode = z.enum(['refuse', 'hang']);

/** Makes the service respond with 503 or not at all, for `durationMs` or until `available`. */
const outage = z.strictObject({
  kind: z.literal('outage'),
  mode: outageMode.default('refuse'),
  durationMs: durationMs.optional(),
});

/** Ends an outage before its duration is over. */
const available = z.strictObject({ kind: z.literal('available') });

/** Delays every response by a fixed time; 0 removes the delay. */
const delay = z.strictObject({ kind: z.literal('delay'), delayMs: durationMs });

/** Faults and settings that can be applied to the log stand-in at run time. */
export const logBehaviorSchema = z.discriminatedUnion('kind', [
  outage,
  available,
  delay,
  /** Stores the records of the next `count` appends, but resets the connections of their clients. */
  z.strictObject({ kind: z.literal('lose-append-responses'), count }),
  z.strictObject({
    kind: z.literal('retention'),
    maxAgeMs: durationMs.nullable().optional(),
    maxRecords: count.nullable().optional(),
  }),
  z.strictObject({ kind: z.literal('append-limit'), perSecond: count }),
  /** Replaces the log with an empty one that has a new logId and starts at the given offset. */
  z.strictObject({ kind: z.literal('restart'), endOffset: count }),
  /** Makes the log unavailable only to the clients with these ids. */
  z.strictObject({
    kind: z.literal('block'),
    clientIds: z.array(z.string()).min(1),
    mode: outageMode.default('hang'),
  }),
  /** Unblocks the clients with these ids, or all clients if no ids are given. */
  z.strictObject({ kind: z.literal('unblock'), clientIds: z.array(z.string()).optional() }),
]);
export type LogBehavior = z.input<typeof logBehaviorSchema>;

/** Schema of VM list entries; their state defaults to live. */
export const vmEntriesSchema = z.array(
  z.strictObject({
    vmId: z.string().min(1),
    address: z.string().min(1),
    failureDomainId: z.string().min(1),
    state: z.enum(['live', 'leaving']).default('live'),
  }),
);

/** Faults and list changes that can be applied to the VM list stand-in at run time. */
export const vmListBehaviorSchema = z.discriminatedUnion('kind', [
  outage,
  available,
  delay,
  z.strictObject({
    kind: z.literal('add'),
    vms: vmEntriesSchema,
  }),
  z.strictObject({ kind: z.literal('leaving'), vmIds: z.array(z.string()).min(1) }),
  z.strictObject({ kind: z.literal('remove'), vmIds: z.array(z.string()).min(1) }),
  z.strictObject({ kind: z.literal('lag'), lagMs: durationMs }),
]);
export type VmListBehavior = z.input<typeof vmListBehaviorSchema>;

const target = z
  .union([
    z.literal('all'),
    z.strictObject({ instanceId: z.string() }),
    z.strictObject({ failureDomainId: z.string() }),
    z.strictObject({ service: z.string() }),
  ])
  .default('all');

/** Selects the instances to which a behavior of the backend stand-in applies. */
export type BehaviorTarget = z.output<typeof target>;

/** Faults in the response to a request that ran. */
export const RESPONSE_FAULTS = [
  'late',
  'crossed',
  'cut-short',
  'reset-midway',
  /** Blank lines in place of a response, until the connection is closed. */
  'endless-head',
  /** A body in chunks, until the connection is closed. */
  'endless-body',
] as const;
export type ResponseFaultName = (typeof RESPONSE_FAULTS)[number];

/** Faults and state changes that can be applied to the backend stand-in at run time. */
export const backendBehaviorSchema = z.discriminatedUnion('kind', [
  /** Resets all connections, closes the port for `downMs` and starts cold with a new boot id. */
  z.strictObject({ kind: z.literal('restart'), target, downMs: durationMs.default(0) }),
  /** Makes an instance cold unannounced: its boot id and connections stay the same. */
  z.strictObject({ kind: z.literal('cold'), target }),
  /** Makes an instance warm at once, to set up a test. */
  z.strictObject({ kind: z.literal('warm'), target }),
  /** Multiplies service times by `factor`; a factor of 1 restores them. */
  z.strictObject({ kind: z.literal('slow'), target, factor: z.number().positive() }),
  /** Accepts connections and requests but neither runs them nor responds until `unfreeze`. */
  z.strictObject({ kind: z.literal('freeze'), target, durationMs: durationMs.optional() }),
  z.strictObject({ kind: z.literal('unfreeze'), target }),
  z.strictObject({ kind: z.literal('drain'), target }),
  z.strictObject({ kind: z.literal('undrain'), target }),
  /** Responds with 500 at once, without the header for "not run", until `active` is false. */
  z.strictObject({ kind: z.literal('fail-fast'), target, active: z.boolean().default(true) }),
  /** Applies a fault to responses with the given probability, at most `count` times. */
  z.strictObject({
    kind: z.literal('response-fault'),
    target,
    fault: z.enum(RESPONSE_FAULTS),
    probability: z.number().min(0).max(1).default(1),
    count: count.optional(),
    /** Additional delay of a late response. */
    delayMs: durationMs.default(1000),
  }),
  z.strictObject({ kind: z.literal('clear-response-faults'), target }),
  /** Stops responding on all open connections permanently; new connections work. */
  z.strictObject({ kind: z.literal('silence-connections'), target }),
  /** Falsifies the load in headers and probe responses; without fields, reports the true load. */
  z.strictObject({
    kind: z.literal('misreport'),
    target,
    loadState: z.enum(['cold', 'warm', 'draining']).optional(),
    inFlight: count.optional(),
  }),
]);
export type BackendBehavior = z.input<typeof backendBehaviorSchema>;
export type ParsedLogBehavior = z.output<typeof logBehaviorSchema>;
export type ParsedVmListBehavior = z.output<typeof vmListBehaviorSchema>;
export type ParsedBackendBehavior = z.output<typeof backendBehaviorSchema>;
export type ResponseFault = Extract<ParsedBackendBehavior, { kind: 'response-fault' }>;
