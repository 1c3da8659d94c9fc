import { assertNever } from '@bronzelift/common';

import type { AttemptObservation, ObservedAttempt } from './types.js';

const FIRST_SERVER_ERROR_STATUS = 500;

const CONNECT_FAILURES: ReadonlySet<string> = new Set(['connect-failed', 'connect-timeout']);

/** Converts the end of an attempt to an observation of its instance's latency or failure. */
export const toAttemptObservation = (attempt: ObservedAttempt): AttemptObservation => {
  switch (attempt.kind) {
    case 'not-sent':
      return CONNECT_FAILURES.has(attempt.reason)
        ? { kind: 'failed', failure: 'connect-failed' }
        : { kind: 'abandoned' };
    case 'refused':
      return { kind: 'failed', failure: 'refused' };
    case 'answered':
      return attempt.response.status >= FIRST_SERVER_ERROR_STATUS
        ? { kind: 'failed', failure: 'server-error' }
        : { kind: 'answered', latencyMs: attempt.durationMs };
    case 'too-large':
      return attempt.isLengthDeclared
        ? { kind: 'answered', latencyMs: attempt.durationMs }
        : { kind: 'failed', failure: 'malformed' };
    case 'failed-after-send':
      return attempt.reason === 'cancelled'
        ? { kind: 'abandoned' }
        : { kind: 'failed', failure: attempt.reason };
    default:
      return assertNever(attempt);
  }
};
