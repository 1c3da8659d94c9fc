import { assertNever } from '@bronzelift/common';

import type { AttemptProof } from './sendAttempt.js';
import type { BackendAttempt, BackendResponse, CloseReason, SentFailureReason } from './types.js';

const CLOSE_REASONS: Readonly<Record<SentFailureReason, CloseReason>> = {
  timeout: 'in-doubt',
  reset: 'reset',
  'cut-short': 'in-doubt',
  mismatched: 'in-doubt',
  malformed: 'in-doubt',
  cancelled: 'cancelled',
};

/** Why a connection closes after an attempt that leaves it unusable. */
export const explainClose = (
  attempt: BackendAttempt,
): { readonly reason: CloseReason; readonly detail: string } => {
  switch (attempt.kind) {
    case 'answered':
    case 'refused':
      return { reason: 'ended-by-backend', detail: 'the backend server asked to close' };
    case 'too-large':
      return { reason: 'in-doubt', detail: 'response larger than the buffer limit' };
    case 'not-sent': {
      const reason = attempt.reason === 'cancelled' ? 'cancelled' : 'reset';
      return { reason, detail: attempt.detail };
    }
    case 'failed-after-send':
      return { reason: CLOSE_REASONS[attempt.reason], detail: attempt.detail };
    default:
      return assertNever(attempt);
  }
};

/** Why a response must not be passed on as complete; undefined when nothing speaks against it. */
export const findAnswerProblem = (
  response: BackendResponse,
  proof: AttemptProof | undefined,
): string | undefined => {
  if (proof === undefined || !proof.isComplete) return 'incomplete response';
  const { answeredId, requestId, statedBytes } = proof;
  if (answeredId !== undefined && answeredId !== requestId) {
    return `response to request ${answeredId} for request ${requestId}`;
  }
  if (statedBytes !== undefined && statedBytes !== response.body.length) {
    return `${response.body.length} of ${statedBytes} bytes`;
  }
  return undefined;
};
