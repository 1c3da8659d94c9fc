import { assertNever } from '@bronzelift/common';

import type { AttemptOutcome, RetryContext, RetryDecision } from './types.js';

const explainNoRetry = (context: RetryContext, isFree: boolean): string | undefined => {
  if (!context.isCallerPresent) return 'the caller went away';
  if (context.expectedLatencyMs > context.remainingMs) return 'too little time for a retry';
  if (!context.hasAlternative) return 'no other instance with a free slot';
  if (!isFree && !context.takeRetryToken()) return 'the retry budget is used up';
  return undefined;
};

const giveUp = (mayHaveRun: boolean, reason: string): RetryDecision =>
  mayHaveRun ? { kind: 'answer-unknown', reason } : { kind: 'answer-not-run', reason };

/** After an attempt that is proven not to have run, both kinds of request may be retried. */
const decideAfterNotRun = (context: RetryContext, isFree: boolean): RetryDecision => {
  // Another attempt of this order may be running.
  if (context.isOrder && context.mayHaveRun) {
    return giveUp(true, 'an earlier attempt of the order may have run');
  }
  const reason = explainNoRetry(context, isFree);
  return reason === undefined ? { kind: 'retry' } : giveUp(context.mayHaveRun, reason);
};

const decideAfterLoss = (context: RetryContext): RetryDecision => {
  if (context.isOrder) return giveUp(true, 'the order was sent and may have run');
  const reason = explainNoRetry(context, false);
  return reason === undefined ? { kind: 'retry' } : giveUp(true, reason);
};

/**
 * Decides what follows an attempt. A sent order is retried only with proof that it did not run:
 * the connection was never established, or the backend server refused it explicitly.
 */
export const decideRetry = (outcome: AttemptOutcome, context: RetryContext): RetryDecision => {
  switch (outcome.kind) {
    case 'answered':
      return { kind: 'pass-answer' };
    case 'not-sent':
      // Nothing reached a backend server, so that a retry adds no load to the budget.
      return decideAfterNotRun(context, true);
    case 'refused':
      return decideAfterNotRun(context, false);
    case 'failed-after-send':
      return decideAfterLoss(context);
    case 'too-large':
      // The response would be as large again.
      return giveUp(true, 'the response is too large to be passed on');
    default:
      return assertNever(outcome);
  }
};
