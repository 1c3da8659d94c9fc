import { BackendHeader, CallerHeader, PeerHeader } from '@bronzelift/common';

/** Connecting on the same network takes about 1 ms; one second allows for a lost packet. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Idle time after which `sweep` closes a connection. */
export const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

/**
 * A connection is not used if its backend server may close it within this time. The server gives
 * its idle timeout in whole seconds and measures the idle time itself, and no request must be in
 * transit while the server closes the connection.
 */
export const IDLE_CLOSE_MARGIN_MS = 600;

/** Larger responses are not buffered; their attempts end as too large. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** Idle time before TCP keep-alive probes, which detect that the peer of a connection is gone. */
export const TCP_KEEP_ALIVE_MS = 10_000;

/** Headers that apply to a single connection only (RFC 9110, 7.6.1). */
export const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-authentication-info',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
] as const;

/** Prefix of the headers that callers and entry daemons exchange. */
export const OWN_HEADER_PREFIX = 'bronzelift-';

/** Caller headers that are not sent on; `host` and the content length are set again. */
export const STRIPPED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...Object.values(BackendHeader),
  ...Object.values(PeerHeader),
  CallerHeader.idempotencyKey,
  'host',
  'expect',
  'content-length',
]);

/** Response headers of a backend server that are not passed on to the caller. */
export const STRIPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...Object.values(BackendHeader),
  ...Object.values(PeerHeader),
]);

/** Value of `x-not-run` in the response of a backend server that refused a request. */
export const NOT_RUN_VALUE = '1';

/** Longest delay of a timer: Node fires timers with a longer delay after 1 ms. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Maximum size of the headers and framing of a response with a small body. */
export const MAX_OVERHEAD_BYTES = 65_536;

/** Maximum framing of a large body as a share of its size; chunks of 20 bytes have a quarter. */
export const MAX_OVERHEAD_SHARE = 0.25;

/** Smaller pieces of a body are copied into buffers of this size. */
export const COLLECTED_PART_BYTES = 16_384;

/** Bytes of responses that a process buffers at the same time, over all pools. */
export const MAX_BUFFERED_RESPONSE_BYTES = 67_108_864;

/** Refused and failed requests that a connection remembers; with this many it is closed. */
export const MAX_FAILED_IDS = 64;

/** Request id that marks a probe inside the process; probes are sent without an id. */
export const PROBE_REQUEST_ID = '';
