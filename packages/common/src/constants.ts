/** Headers between callers and entry daemons, in lower case as Node passes them. */
export const CallerHeader = {
  timeoutMs: 'bronzelift-timeout-ms',
  idempotencyKey: 'idempotency-key',
  callDepth: 'bronzelift-call-depth',
  outcome: 'bronzelift-outcome',
  retryAfterMs: 'bronzelift-retry-after-ms',
  retryAfter: 'retry-after',
  newTicket: 'bronzelift-new-ticket',
} as const;

/** Headers between entry daemons and backend servers. */
export const BackendHeader = {
  deadlineMs: 'x-deadline-ms',
  requestId: 'x-request-id',
  idempotencyKey: 'idempotency-key',
  instanceId: 'x-instance-id',
  bootId: 'x-boot-id',
  loadInFlight: 'x-load-in-flight',
  loadSlots: 'x-load-slots',
  loadState: 'x-load-state',
  notRun: 'x-not-run',
} as const;

/** Headers on requests that one entry daemon forwards to another. */
export const PeerHeader = {
  forwardedBy: 'bronzelift-forwarded-by',
  targetIncarnation: 'bronzelift-target-incarnation',
  deadlineAtMs: 'bronzelift-deadline-at-ms',
  freeSlots: 'bronzelift-free-slots',
  mayWait: 'bronzelift-may-wait',
} as const;

/** Prefix of the paths that the entry daemon handles itself instead of forwarding. */
export const CALLER_API_PREFIX = '/bronzelift/v1';

/** Maximum depth of a call chain; deeper calls are refused. */
export const MAX_CALL_DEPTH = 12;

/** HTTP methods without side effects; every other method needs an idempotency key. */
export const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
