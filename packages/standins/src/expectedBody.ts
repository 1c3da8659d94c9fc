import { createHash } from 'node:crypto';

/** Parts of a request that determine the response body of the backend stand-in. */
export interface ExpectedBodyInput {
  readonly method: string;
  /** Path and query as received by the backend server; `?bytes=` sets the size of the response. */
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
}

const MAX_PADDED_BYTES = 16 * 1024 * 1024;

/** Parses the body size requested by `?bytes=`; returns 0 when it is absent or invalid. */
export const parseRequestedBytes = (path: string): number => {
  const bytes = Number(new URL(path, 'http://backend').searchParams.get('bytes') ?? 0);
  return Number.isInteger(bytes) && bytes > 0 ? Math.min(bytes, MAX_PADDED_BYTES) : 0;
};

/**
 * Creates the response body of the backend stand-in for a request. The same request always gets the
 * same body, so that a caller can verify that it received the response to its own request.
 */
export const createExpectedBody = (input: ExpectedBodyInput): string => {
  const { method, path, body, idempotencyKey } = input;
  const sha256 = createHash('sha256')
    .update(JSON.stringify([method, path, body, idempotencyKey ?? null]))
    .digest('hex');
  const render = (padding: string): string =>
    JSON.stringify({ method, path, idempotencyKey: idempotencyKey ?? null, sha256, padding });
  const missingBytes = parseRequestedBytes(path) - Buffer.byteLength(render(''));
  if (missingBytes <= 0) return render('');
  return render(sha256.repeat(Math.ceil(missingBytes / sha256.length)).slice(0, missingBytes));
};
