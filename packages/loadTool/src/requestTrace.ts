import type { Arrival } from './arrivals.js';
import { LOAD_DEFAULTS } from './constants.js';

/** Final outcome of a request after all of its attempts. */
export type Verdict = 'served' | 'refused' | 'unknown' | 'failed';

/** Last outcome that a caller observed for an idempotency key. */
export type KeyOutcome = 'ran' | 'not-run' | 'unknown' | 'unsent';

const UNREACHABLE_CODE = 'unreachable';

/** Tracks attempts, outcome and latency of one request from its intended send time to its end. */
export class RequestTrace {
  readonly method: string;

  readonly path: string;

  readonly body: string;

  /** Idempotency keys of an order in the order of use, with the last outcome of each. */
  readonly keys = new Map<string, KeyOutcome>();

  verdict: Verdict = 'refused';

  code = UNREACHABLE_CODE;

  attempts = 0;

  unknownAttempts = 0;

  incompleteAnswers = 0;

  wrongAnswers = 0;

  /** Time from the intended send time to the end of the request, including all retries. */
  latencyMs = 0;

  /** Duration of the last attempt minus the service time of the backend server. */
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

  /** Creates the trace of a request before its first attempt. */
  static create(arrival: Arrival, callerPart: string, intendedAtMs: number): RequestTrace {
    return new RequestTrace(arrival, callerPart, intendedAtMs);
  }

  get isOrder(): boolean {
    return this.arrival.kind === 'order';
  }

  /** Idempotency key of the next attempt. */
  get key(): string | undefined {
    return this.currentKey;
  }

  /** Sets the idempotency key of the following attempts. */
  useKey(key: string): void {
    this.currentKey = key;
    if (!this.keys.has(key)) this.keys.set(key, 'unsent');
  }

  /** Counts an attempt and stores its start time. */
  startAttempt(nowMs: number): void {
    this.attempts += 1;
    this.attemptStartedAtMs = nowMs;
  }

  /** Records that nothing was sent; the outcome of earlier attempts stays valid. */
  recordUnreachable(): void {
    if (this.verdict === 'refused') this.code = UNREACHABLE_CODE;
  }

  /** Records a response with outcome not-run. */
  recordNotRun(code: string): void {
    this.setOutcome('refused', code, 'not-run');
  }

  /** Records an attempt after which the request may or may not have run. */
  recordUnknown(code: string): void {
    this.unknownAttempts += 1;
    this.setOutcome('unknown', code, 'unknown');
  }

  /** Records a response that ended before its announced length. */
  recordIncomplete(): void {
    this.incompleteAnswers += 1;
  }

  /** Records a response with outcome ran and a status other than 2xx. */
  recordFailed(code: string): void {
    this.setOutcome('failed', code, 'ran');
  }

  /** Records a 2xx response whose body belongs to another request or is damaged. */
  recordWrongAnswer(): void {
    this.wrongAnswers += 1;
    this.setOutcome('failed', 'wrong-answer', 'ran');
  }

  /** Records a complete 2xx response with the expected body. */
  recordServed(nowMs: number, serviceUs: number | undefined): void {
    this.setOutcome('served', 'served', 'ran');
    if (serviceUs === undefined) return;
    this.addedMs = Math.max(0, nowMs - this.attemptStartedAtMs - serviceUs / 1000);
  }

  /** Sets the latency when the request has ended. */
  finish(nowMs: number): void {
    this.latencyMs = nowMs - this.intendedAtMs;
  }

  private setOutcome(verdict: Verdict, code: string, keyOutcome: KeyOutcome): void {
    this.verdict = verdict;
    this.code = code;
    if (this.currentKey !== undefined) this.keys.set(this.currentKey, keyOutcome);
  }
}
