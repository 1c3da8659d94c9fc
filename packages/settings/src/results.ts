import { createRequire } from 'node:module';

import type * as tsResults from 'ts-results';

// `ts-results` is CommonJS: its default import is undefined when mocha loads the tests with
// `require`, and its named imports fail under ESM. `require` works in both cases.
const load = createRequire(import.meta.url);
const loaded = load('ts-results') as typeof tsResults;

/** Creates the result of a successful operation. */
export const { Ok } = loaded;

/** Creates the result of a failed operation. */
export const { Err } = loaded;
