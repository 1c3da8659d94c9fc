import { Agent } from 'node:http';

import type { Clock, Endpoint, RandomSource } from '@bronzelift/common';
import { CallerHeader, Outcome, assertNever, randomInteger, sleep } from '@bronzelift/common';
import { SERVICE_TIME_HEADER } from '@bronzelift/standins';

import { AddressBook } from './addressBook.js';
import type { KnownAddresses } from './addressBook.js';
import type { Arrival } from './arrivals.js';
import {
  ANSWER_GRACE_MS,
  LOAD_DEFAULTS,
  MIN_ATTEMPT_MS,
  RETRY_PAUSE_MS,
  TICKET_SEPARATOR,
} from './constants.js';
import { TIMEOUT_CODE, sendRequest } from './httpClient.js';
import type { Attempt } from './httpClient.js';
import { RequestTrace } from './requestTrace.js';
import { codeOf, isExpectedBody, numberHeader, textHeader } from './utils.js';

/** What a caller needs to know of the run. */
export interface CallerOptions {
  readonly entryEndpoints: readonly Endpoint[];
  /** Makes the caller parts of keys unique over runs. */
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

/** Whether the request is finished or is to be sent again after a pause. */
type Step = { readonly done: true } | { readonly done: false; readonly pauseMs: number };

const DONE: Step = { done: true };

const again = (pauseMs: number): Step => ({ done: false, pauseMs });

/** One caller: keeps addresses and connections and repeats requests as the protocol allows. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true });

  private readonly addresses: AddressBook;

  private constructor(private readonly options: CallerOptions) {
    const { entryEndpoints, clock, random } = options;
    this.addresses = AddressBook.create(entryEndpoints, this.agent, clock, random);
  }

  /** Creates a caller without addresses or connections. */
  static create(options: CallerOptions): Caller {
    return new Caller(options);
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Performs one request until it is answered or the patience of the caller is over. */
  async perform(arrival: Arrival, intendedAtMs: number): Promise<RequestTrace> {
    const { clock, runId } = this.options;
    const trace = RequestTrace.create(arrival, `${runId}-${arrival.index}`, intendedAtMs);
    const untilMs = intendedAtMs + (arrival.service.patienceMs ?? LOAD_DEFAULTS.patienceMs);
    for (;;) {
      const step = await this.attempt(trace, untilMs);
      if (step.done || clock.monotonicMs() + step.pauseMs + MIN_ATTEMPT_MS > untilMs) break;
      if (step.pauseMs > 0) await sleep(step.pauseMs);
    }
    trace.finish(clock.monotonicMs());
    return trace;
  }

  private async attempt(trace: RequestTrace, untilMs: number): Promise<Step> {
    const { arrival } = trace;
    const known = await this.addresses.find(arrival.service.service);
    if (!known) {
      trace.noteUnreachable();
      return again(RETRY_PAUSE_MS);
    }
    const target = this.pickTarget(known, trace);
    if (trace.isOrder && trace.key === undefined) {
      trace.useKey(`${target.ticket}${TICKET_SEPARATOR}${trace.callerPart}`);
    }
    const limitMs = arrival.service.timeoutMs ?? LOAD_DEFAULTS.timeoutMs;
    const nowMs = this.options.clock.monotonicMs();
    const timeoutMs = Math.max(1, Math.ceil(Math.min(limitMs, untilMs - nowMs)));
    trace.beginAttempt(nowMs);
    const attempt = await sendRequest({
      endpoint: target.endpoint,
      method: trace.method,
      path: trace.path,
      headers: {
        [CallerHeader.timeoutMs]: String(timeoutMs),
        ...(trace.key === undefined ? {} : { [CallerHeader.idempotencyKey]: trace.key }),
      },
      body: trace.body,
      timeoutMs: timeoutMs + ANSWER_GRACE_MS,
      agent: this.agent,
    });
    return this.evaluate(trace, target, attempt);
  }

  /** Orders go to the home of their ticket, which is listed first; lookups to any address. */
  private pickTarget(known: KnownAddresses, trace: RequestTrace): Target {
    const { endpoints, ticket } = known;
    const last = endpoints.length - 1;
    // A repeated order tries another address in case the first one is silent.
    const index = trace.isOrder
      ? trace.unknownAttempts % endpoints.length
      : randomInteger(this.options.random, 0, last);
    return { endpoint: endpoints[index]!, ticket };
  }

  private evaluate(trace: RequestTrace, target: Target, attempt: Attempt): Step {
    switch (attempt.kind) {
      case 'connect-failed':
        trace.noteUnreachable();
        return again(this.dropAddress(trace, target) > 0 ? 0 : RETRY_PAUSE_MS);
      case 'no-answer':
        return this.evaluateNoAnswer(trace, target, attempt);
      case 'incomplete':
        trace.noteIncomplete();
        return this.noteUnknown(trace, 'incomplete', false);
      case 'answer':
        return this.evaluateAnswer(trace, attempt);
      default:
        return assertNever(attempt);
    }
  }

  private evaluateNoAnswer(trace: RequestTrace, target: Target, attempt: NoAnswer): Step {
    const isTimeout = attempt.code === TIMEOUT_CODE;
    if (isTimeout) this.dropAddress(trace, target);
    return this.noteUnknown(trace, attempt.code, attempt.reusedConnection && !isTimeout);
  }

  private dropAddress(trace: RequestTrace, target: Target): number {
    return this.addresses.drop(trace.arrival.service.service, target.endpoint);
  }

  private evaluateAnswer(trace: RequestTrace, answer: Answer): Step {
    const outcome = textHeader(answer.headers, CallerHeader.outcome);
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (outcome === Outcome.notRun) return Caller.noteNotRun(trace, answer);
    if (outcome === Outcome.unknown) return this.noteUnknown(trace, codeOf(answer), false);
    if (outcome !== Outcome.ran) {
      return this.noteUnknown(trace, `no-outcome-${answer.status}`, false);
    }
    if (!isSuccess) trace.noteFailed(`status-${answer.status}`);
    else if (isExpectedBody(trace, answer.body)) {
      const serviceUs = numberHeader(answer.headers, SERVICE_TIME_HEADER);
      trace.noteServed(this.options.clock.monotonicMs(), serviceUs);
    } else trace.noteWrongAnswer();
    return DONE;
  }

  private static noteNotRun(trace: RequestTrace, answer: Answer): Step {
    trace.noteNotRun(codeOf(answer));
    const ticket = textHeader(answer.headers, CallerHeader.newTicket);
    if (ticket !== undefined && trace.isOrder) {
      trace.useKey(`${ticket}${TICKET_SEPARATOR}${trace.callerPart}`);
    }
    return again(numberHeader(answer.headers, CallerHeader.retryAfterMs) ?? RETRY_PAUSE_MS);
  }

  private noteUnknown(trace: RequestTrace, code: string, closedOnReuse: boolean): Step {
    trace.noteUnknown(code);
    if (trace.isOrder) {
      return trace.unknownAttempts <= this.options.unknownRepeats ? again(RETRY_PAUSE_MS) : DONE;
    }
    // As usual for idempotent requests: a kept connection may close just as it is used again.
    return closedOnReuse && trace.unknownAttempts === 1 ? again(0) : DONE;
  }
}
