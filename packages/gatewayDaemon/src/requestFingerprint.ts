import { createHmac } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import { FINGERPRINT_LENGTH } from './constants.js';

/** The parts of a request that a caller repeats when it sends the same request again. */
export interface RepeatedParts {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer | undefined;
}

/** Headers by which an instance can tell callers apart. */
const CALLER_HEADERS = ['host', 'authorization', 'cookie'] as const;

/**
 * Creates a keyed hash that is the same on all entry VMs whenever a caller repeats a request to a
 * service. Neither the content of a request nor its caller can be read from it.
 */
export const createRequestFingerprint = (service: string, request: RepeatedParts): string => {
  const { method, path, headers, body } = request;
  const texts = [method, path, ...CALLER_HEADERS.map((name) => headers[name] ?? null)];
  return createHmac('sha256', service)
    .update(`${JSON.stringify(texts)}\n`)
    .update(body ?? '')
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
};
