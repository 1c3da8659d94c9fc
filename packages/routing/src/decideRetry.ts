import { assertNever } from '@bronzelift/common';

import type { AttemptOutcome, RetryContext, RetryDecision } from './types.js';

const explainNoRetry = (context: RetryContext, isExemptFromBudget: boolean): string | undefined => {
  if (!context.isCallerPresent) return 'the caller disconnected';
  if (context.expectedLatencyMs > context.remainingMs) return 'too little time for a retry';
  if (!context.hasAlternative) return 'no other instance with a free slot';
  if (!isExemptFromBudget && !context.takeRetryToken()) return 'the retry budget is used up';
  return undefined;
};

const endWithoutRetry = (mayHaveRun: boolean, reason: string): RetryDecision =>
  mayHaveRun ? { kind: 'answer-unknown', reason } : { kind: 'answer-not-run', reason };

/**
 * Decides after an attempt that certainly did not run; both orders and lookups may be retried after
 * it.
 */
const decideAfterNotRun = (context: RetryContext, isExemptFromBudget: boolean): RetryDecision => {
  // Another attempt of this order may be running.
  if (context.isOrder && context.mayHaveRun) {
    return endWithoutRetry(true, 'an earlier attempt of the order may have run');
  }
  const reason = explainNoRetry(context, isExemptFromBudget);
  return reason === undefined ? { kind: 'retry' } : endWithoutRetry(context.mayHaveRun, reason);
};

const decideAfterUnknownOutcome = (context: RetryContext): RetryDecision => {
  if (context.isOrder) return endWithoutRetry(true, 'the order was sent and may have run');
  const reason = explainNoRetry(context, false);
  return reason === undefined ? { kind: 'retry' } : endWithoutRetry(true, reason);
};

/**
 * Decides whether to retry a request after an attempt, or with which result to end it. A sent order
 * is retried only if it certainly did not run: the connection was never established, or the backend
 * server refused it explicitly.
 */
export const decideRetry = (outcome: AttemptOutcome, context: RetryContext): RetryDecision => {
  switch (outcome.kind) {
    case 'answered':
      return { kind: 'pass-answer' };
    case 'not-sent':
      // The attempt reached no backend server, so the retry adds no load and needs no budget.
      return decideAfterNotRun(context, true);
    case 'refused':
      return decideAfterNotRun(context, false);
    case 'failed-after-send':
      return decideAfterUnknownOutcome(context);
    case 'too-large':
      // Without a declared length the instance may have sent bytes without end.
      if (!outcome.isLengthDeclared) return decideAfterUnknownOutcome(context);
      // The response to a retry would be just as large.
      return endWithoutRetry(true, 'the response is too large to be forwarded');
    default:
      return assertNever(outcome);
  }
};
