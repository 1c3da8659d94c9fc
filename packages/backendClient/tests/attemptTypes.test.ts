import { expect } from 'chai';

import { decideRetry, toAttemptObservation } from '@bronzelift/routing';

import type { BackendAttempt } from '../src/index.js';

describe('BackendAttempt', () => {
  it('is accepted by the routing functions without a conversion', () => {
    const attempt = {
      kind: 'failed-after-send',
      reason: 'malformed',
      detail: '',
      durationMs: 1,
    } as BackendAttempt;
    const context = {
      isOrder: true,
      mayHaveRun: false,
      remainingMs: 100,
      expectedLatencyMs: 1,
      hasAlternative: true,
      isCallerPresent: true,
      takeRetryToken: () => true,
    };
    expect(decideRetry(attempt, context).kind).to.equal('answer-unknown');
    expect(toAttemptObservation(attempt)).to.deep.equal({ kind: 'failed', failure: 'malformed' });
  });
});
