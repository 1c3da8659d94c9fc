import { BackendHeader, CallerHeader, PeerHeader } from '@bronzelift/common';

/** A connect on the same network takes about 1 ms; a second covers a lost packet. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Idle connections are closed after this time. */
export const DEFAULT_IDLE_TIMEOUT_MS = 60_000;

/**
 * A connection is not used any more this long before its backend server closes it: a stated idle
 * time counts whole seconds from the other end, and a request on its way must not cross the close.
 */
export const IDLE_CLOSE_MARGIN_MS = 600;

/** Larger responses are not buffered. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;

/** TCP keep-alive finds peers that vanished while a connection is idle. */
export const TCP_KEEP_ALIVE_MS = 10_000;

/** Headers that concern one connection only (RFC 9110, 7.6.1). */
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

/** Prefix of the headers between callers and entry daemons. */
export const OWN_HEADER_PREFIX = 'bronzelift-';

/** Headers of a caller that are not sent: `host`, `expect` and the length are set anew. */
export const STRIPPED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...Object.values(BackendHeader),
  ...Object.values(PeerHeader),
  CallerHeader.idempotencyKey,
  'host',
  'expect',
  'content-length',
]);

/** Headers of a backend server that are not passed on. */
export const STRIPPED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  ...Object.values(BackendHeader),
  ...Object.values(PeerHeader),
]);

/** Value of `x-not-run` on a refusal. */
export const NOT_RUN_VALUE = '1';

/** Node fires timers above this after 1 ms. */
export const MAX_TIMER_MS = 2 ** 31 - 1;
