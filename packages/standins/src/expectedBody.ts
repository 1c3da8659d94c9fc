import { createHash } from 'node:crypto';

/** What the response body of the backend stand-in depends on. */
export interface ExpectedBodyInput {
  readonly method: string;
  /** Path and query as the backend server received them; `?bytes=` sets the size. */
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
}

const MAX_PADDED_BYTES = 16 * 1024 * 1024;

/** Size requested by `?bytes=`; 0 when absent or invalid. */
export const requestedBytes = (path: string): number => {
  const bytes = Number(new URL(path, 'http://backend').searchParams.get('bytes') ?? 0);
  return Number.isInteger(bytes) && bytes > 0 ? Math.min(bytes, MAX_PADDED_BYTES) : 0;
};

/** Response body of the backend stand-in for a request; the same for every run. */
export const expectedBody = (input: ExpectedBodyInput): string => {
  const { method, path, body, idempotencyKey } = input;
  const sha256 = createHash('sha256')
    .update(JSON.stringify([method, path, body, idempotencyKey ?? null]))
    .digest('hex');
  const render = (padding: string): string =>
    JSON.stringify({ method, path, idempotencyKey: idempotencyKey ?? null, sha256, padding });
  const missing = requestedBytes(path) - Buffer.byteLength(render(''));
  if (missing <= 0) return render('');
  return render(sha256.repeat(Math.ceil(missing / sha256.length)).slice(0, missing));
};
