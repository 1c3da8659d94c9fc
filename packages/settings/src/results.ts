import { createRequire } from 'node:module';

import type * as tsResults from 'ts-results';

// `ts-results` is CommonJS: its default import is undefined when mocha loads the tests
// with `require`, and its named imports fail under ESM. `require` works in both.
const load = createRequire(import.meta.url);
const loaded = load('ts-results') as typeof tsResults;

/** Wraps a value as a success. */
export const { Ok } = loaded;

/** Wraps an error as a failure. */
export const { Err } = loaded;
