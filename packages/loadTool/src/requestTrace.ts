import type { Arrival } from './arrivals.js';
import { LOAD_DEFAULTS } from './constants.js';

/** What became of a request in the end. */
export type Verdict = 'served' | 'refused' | 'unknown' | 'failed';

/** Last statement about one idempotency key. */
export type KeyOutcome = 'ran' | 'not-run' | 'unknown' | 'unsent';

const UNREACHABLE_CODE = 'unreachable';

/** One request of a caller from its intended send time to its end. */
export class RequestTrace {
  readonly method: string;

  readonly path: string;

  readonly body: string;

  /** Order keys in the order of use, with the last statement about each. */
  readonly keys = new Map<string, KeyOutcome>();

  verdict: Verdict = 'refused';

  code = UNREACHABLE_CODE;

  attempts = 0;

  unknownAttempts = 0;

  incompleteAnswers = 0;

  wrongAnswers = 0;

  /** From the intended send time to the end. */
  latencyMs = 0;

  /** Time of the last attempt less the service time of the backend server. */
  addedMs: number | undefined;

  private currentKey: string | undefined;

  private attemptStartedAtMs = 0;

  private constructor(
    readonly arrival: Arrival,
    readonly callerPart: string,
    private readonly intendedAtMs: number,
  ) {
    const { service, responseBytes = LOAD_DEFAULTS.responseBytes } = arrival.service;
    this.method = this.isOrder ? 'POST' : 'GET';
    this.path = this.isOrder
      ? `/${service}/orders?bytes=${responseBytes}`
      : `/${service}/lookups/${callerPart}?bytes=${responseBytes}`;
    this.body = this.isOrder ? JSON.stringify({ order: callerPart }) : '';
  }

  /** Creates the trace of a request that has not been sent. */
  static create(arrival: Arrival, callerPart: string, intendedAtMs: number): RequestTrace {
    return new RequestTrace(arrival, callerPart, intendedAtMs);
  }

  /** Whether the request is an order. */
  get isOrder(): boolean {
    return this.arrival.kind === 'order';
  }

  /** Idempotency key of the next attempt. */
  get key(): string | undefined {
    return this.currentKey;
  }

  /** Uses a key from now on. */
  useKey(key: string): void {
    this.currentKey = key;
    if (!this.keys.has(key)) this.keys.set(key, 'unsent');
  }

  /** Notes the start of an attempt. */
  beginAttempt(nowMs: number): void {
    this.attempts += 1;
    this.attemptStartedAtMs = nowMs;
  }

  /** Nothing was sent; what earlier attempts showed stays valid. */
  noteUnreachable(): void {
    if (this.verdict === 'refused') this.code = UNREACHABLE_CODE;
  }

  /** The system stated that the request was not run. */
  noteNotRun(code: string): void {
    this.conclude('refused', code, 'not-run');
  }

  /** The request may have run. */
  noteUnknown(code: string): void {
    this.unknownAttempts += 1;
    this.conclude('unknown', code, 'unknown');
  }

  /** The response ended before its announced length. */
  noteIncomplete(): void {
    this.incompleteAnswers += 1;
  }

  /** The request ran without success. */
  noteFailed(code: string): void {
    this.conclude('failed', code, 'ran');
  }

  /** A response 2xx whose body belongs to another request or is damaged. */
  noteWrongAnswer(): void {
    this.wrongAnswers += 1;
    this.conclude('failed', 'wrong-answer', 'ran');
  }

  /** The complete and correct response arrived. */
  noteServed(nowMs: number, serviceUs: number | undefined): void {
    this.conclude('served', 'served', 'ran');
    if (serviceUs === undefined) return;
    this.addedMs = Math.max(0, nowMs - this.attemptStartedAtMs - serviceUs / 1000);
  }

  /** Notes the end of the request. */
  finish(nowMs: number): void {
    this.latencyMs = nowMs - this.intendedAtMs;
  }

  private conclude(verdict: Verdict, code: string, keyOutcome: KeyOutcome): void {
    this.verdict = verdict;
    this.code = code;
    if (this.currentKey !== undefined) this.keys.set(this.currentKey, keyOutcome);
  }
}
