import { assertNever } from '@bronzelift/common';

import type { ResponseMetadata } from './sendAttempt.js';
import type { BackendAttempt, BackendResponse, CloseReason, SentFailureReason } from './types.js';

const CLOSE_REASONS: Readonly<Record<SentFailureReason, CloseReason>> = {
  timeout: 'in-doubt',
  reset: 'reset',
  'cut-short': 'in-doubt',
  mismatched: 'in-doubt',
  malformed: 'in-doubt',
  cancelled: 'cancelled',
};

/** Returns why a connection must be closed after an attempt that left it unusable. */
export const describeClose = (
  attempt: BackendAttempt,
): { readonly reason: CloseReason; readonly detail: string } => {
  switch (attempt.kind) {
    case 'answered':
    case 'refused':
      return {
        reason: 'ended-by-backend',
        detail: 'the backend server asked to close the connection',
      };
    case 'too-large':
      return { reason: 'in-doubt', detail: 'the response is larger than the buffer limit' };
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

/** Returns why a response must not be passed on as complete; undefined if it may be. */
export const findResponseProblem = (
  response: BackendResponse,
  metadata: ResponseMetadata | undefined,
): string | undefined => {
  if (metadata === undefined || !metadata.isComplete) return 'the response is incomplete';
  const { answeredId, requestId, contentLengthBytes } = metadata;
  if (answeredId !== undefined && answeredId !== requestId) {
    return `the response names request ${answeredId}, expected ${requestId}`;
  }
  if (contentLengthBytes !== undefined && contentLengthBytes !== response.body.length) {
    return `the body has ${response.body.length} of ${contentLengthBytes} bytes`;
  }
  return undefined;
};
