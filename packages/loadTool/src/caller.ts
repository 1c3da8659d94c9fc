import { Agent } from 'node:http';

import type { Clock, Endpoint, RandomSource } from '@bronzelift/common';
import { CallerHeader, Outcome, assertNever, randomInteger, sleep } from '@bronzelift/common';
import { SERVICE_TIME_HEADER } from '@bronzelift/standins';

import { AddressCache } from './addressCache.js';
import type { CachedAddresses } from './addressCache.js';
import type { Arrival } from './arrivals.js';
import {
  RESPONSE_GRACE_MS,
  LOAD_DEFAULTS,
  MIN_ATTEMPT_MS,
  RETRY_PAUSE_MS,
  TICKET_SEPARATOR,
} from './constants.js';
import { TIMEOUT_CODE, sendRequest } from './httpClient.js';
import type { Attempt } from './httpClient.js';
import { RequestTrace } from './requestTrace.js';
import { getErrorCode, isExpectedBody, getNumberHeader, getTextHeader } from './utils.js';

/** Options that all callers of a run share, except for `random`. */
export interface CallerOptions {
  readonly entryEndpoints: readonly Endpoint[];
  /** Prefix that makes the generated parts of idempotency keys unique across runs. */
  readonly runId: string;
  readonly unknownRepeats: number;
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface Target {
  readonly endpoint: Endpoint;
  readonly ticket: string;
}

type Answer = Extract<Attempt, { kind: 'answer' }>;

type NoAnswer = Extract<Attempt, { kind: 'no-answer' }>;

/** Whether the request is finished, or else the pause before its next attempt. */
type NextStep = { readonly done: true } | { readonly done: false; readonly pauseMs: number };

const FINISHED: NextStep = { done: true };

const createRetry = (pauseMs: number): NextStep => ({ done: false, pauseMs });

/** Simulates one caller, which caches addresses, reuses connections and retries requests. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true });

  private readonly addresses: AddressCache;

  private constructor(private readonly options: CallerOptions) {
    const { entryEndpoints, clock, random } = options;
    this.addresses = AddressCache.create(entryEndpoints, this.agent, clock, random);
  }

  /** Creates a caller with an empty address cache and no open connections. */
  static create(options: CallerOptions): Caller {
    return new Caller(options);
  }

  /** Closes the caller's connections to entry VMs. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends one request, with retries, until it has a final outcome or its `patienceMs` is over. */
  async perform(arrival: Arrival, intendedAtMs: number): Promise<RequestTrace> {
    const { clock, runId } = this.options;
    const trace = RequestTrace.create(arrival, `${runId}-${arrival.index}`, intendedAtMs);
    const retryUntilMs = intendedAtMs + (arrival.service.patienceMs ?? LOAD_DEFAULTS.patienceMs);
    for (;;) {
      const step = await this.attempt(trace, retryUntilMs);
      if (step.done || clock.monotonicMs() + step.pauseMs + MIN_ATTEMPT_MS > retryUntilMs) break;
      if (step.pauseMs > 0) await sleep(step.pauseMs);
    }
    trace.finish(clock.monotonicMs());
    return trace;
  }

  private async attempt(trace: RequestTrace, retryUntilMs: number): Promise<NextStep> {
    const { arrival } = trace;
    const cached = await this.addresses.find(arrival.service.service);
    if (!cached) {
      trace.recordUnreachable();
      return createRetry(RETRY_PAUSE_MS);
    }
    const target = this.pickTarget(cached, trace);
    if (trace.isOrder && trace.key === undefined) {
      trace.useKey(`${target.ticket}${TICKET_SEPARATOR}${trace.callerPart}`);
    }
    const limitMs = arrival.service.timeoutMs ?? LOAD_DEFAULTS.timeoutMs;
    const nowMs = this.options.clock.monotonicMs();
    const timeoutMs = Math.max(1, Math.ceil(Math.min(limitMs, retryUntilMs - nowMs)));
    trace.startAttempt(nowMs);
    const attempt = await sendRequest({
      endpoint: target.endpoint,
      method: trace.method,
      path: trace.path,
      headers: {
        [CallerHeader.timeoutMs]: String(timeoutMs),
        ...(trace.key === undefined ? {} : { [CallerHeader.idempotencyKey]: trace.key }),
      },
      body: trace.body,
      timeoutMs: timeoutMs + RESPONSE_GRACE_MS,
      agent: this.agent,
    });
    return this.handleAttempt(trace, target, attempt);
  }

  /** Picks the home of the ticket, which is listed first, for an order; any address for a lookup. */
  private pickTarget(cached: CachedAddresses, trace: RequestTrace): Target {
    const { endpoints, ticket } = cached;
    const lastIndex = endpoints.length - 1;
    // A retried order uses the next address in case the first one does not respond.
    const index = trace.isOrder
      ? trace.unknownAttempts % endpoints.length
      : randomInteger(this.options.random, 0, lastIndex);
    return { endpoint: endpoints[index]!, ticket };
  }

  private handleAttempt(trace: RequestTrace, target: Target, attempt: Attempt): NextStep {
    switch (attempt.kind) {
      case 'connect-failed':
        trace.recordUnreachable();
        return createRetry(this.dropAddress(trace, target) > 0 ? 0 : RETRY_PAUSE_MS);
      case 'no-answer':
        return this.handleNoAnswer(trace, target, attempt);
      case 'incomplete':
        trace.recordIncomplete();
        return this.handleUnknown(trace, 'incomplete', false);
      case 'answer':
        return this.handleAnswer(trace, attempt);
      default:
        return assertNever(attempt);
    }
  }

  private handleNoAnswer(trace: RequestTrace, target: Target, attempt: NoAnswer): NextStep {
    const isTimeout = attempt.code === TIMEOUT_CODE;
    if (isTimeout) this.dropAddress(trace, target);
    return this.handleUnknown(trace, attempt.code, attempt.reusedConnection && !isTimeout);
  }

  private dropAddress(trace: RequestTrace, target: Target): number {
    return this.addresses.drop(trace.arrival.service.service, target.endpoint);
  }

  private handleAnswer(trace: RequestTrace, answer: Answer): NextStep {
    const outcome = getTextHeader(answer.headers, CallerHeader.outcome);
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (outcome === Outcome.notRun) return Caller.handleNotRun(trace, answer);
    if (outcome === Outcome.unknown) return this.handleUnknown(trace, getErrorCode(answer), false);
    if (outcome !== Outcome.ran) {
      return this.handleUnknown(trace, `no-outcome-${answer.status}`, false);
    }
    if (!isSuccess) trace.recordFailed(`status-${answer.status}`);
    else if (isExpectedBody(trace, answer.body)) {
      const serviceUs = getNumberHeader(answer.headers, SERVICE_TIME_HEADER);
      trace.recordServed(this.options.clock.monotonicMs(), serviceUs);
    } else trace.recordWrongAnswer();
    return FINISHED;
  }

  private static handleNotRun(trace: RequestTrace, answer: Answer): NextStep {
    trace.recordNotRun(getErrorCode(answer));
    const ticket = getTextHeader(answer.headers, CallerHeader.newTicket);
    if (ticket !== undefined && trace.isOrder) {
      trace.useKey(`${ticket}${TICKET_SEPARATOR}${trace.callerPart}`);
    }
    return createRetry(
      getNumberHeader(answer.headers, CallerHeader.retryAfterMs) ?? RETRY_PAUSE_MS,
    );
  }

  private handleUnknown(trace: RequestTrace, code: string, wasClosedOnReuse: boolean): NextStep {
    trace.recordUnknown(code);
    if (trace.isOrder) {
      return trace.unknownAttempts <= this.options.unknownRepeats
        ? createRetry(RETRY_PAUSE_MS)
        : FINISHED;
    }
    // Retries an idempotent request once, because a server may close an idle connection just as it
    // is reused.
    return wasClosedOnReuse && trace.unknownAttempts === 1 ? createRetry(0) : FINISHED;
  }
}
