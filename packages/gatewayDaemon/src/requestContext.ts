import type { BackendAttempt } from '@bronzelift/backend-client';
import type { InstanceId } from '@bronzelift/common';

import { createRequestFingerprint } from './requestFingerprint.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { CallerRequest, Route } from './types.js';

/** A request with its route, service and time limits; times are monotonic. */
export interface RequestContextOptions {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceRuntime;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  /** Whether the caller was refused before and retries, as its shorter timeout shows. */
  readonly isCallerRetry: boolean;
}

/** State of a request across its attempts. */
export class RequestContext {
  /** Instances that were selected for an attempt, even if they could not be reached. */
  readonly triedInstances = new Set<InstanceId>();

  private sentCount = 0;

  private hasAmbiguousAttempt = false;

  private answer: BackendAttempt | undefined;

  private knownFingerprint: string | undefined;

  private constructor(private readonly options: RequestContextOptions) {}

  static create(options: RequestContextOptions): RequestContext {
    return new RequestContext(options);
  }

  get request(): CallerRequest {
    return this.options.request;
  }

  get route(): Route {
    return this.options.route;
  }

  get service(): ServiceRuntime {
    return this.options.service;
  }

  get deadlineAtMs(): number {
    return this.options.deadlineAtMs;
  }

  get objectiveAtMs(): number {
    return this.options.objectiveAtMs;
  }

  get isCallerRetry(): boolean {
    return this.options.isCallerRetry;
  }

  /** Hash that is the same whenever the caller repeats the request. */
  get fingerprint(): string {
    const { request, service } = this.options;
    this.knownFingerprint ??= createRequestFingerprint(service.name, request);
    return this.knownFingerprint;
  }

  /** Number of attempts that reached an instance, or may have. */
  get sentAttemptCount(): number {
    return this.sentCount;
  }

  /**
   * Whether an instance may have run the request: an attempt was sent and was not explicitly
   * refused.
   */
  get mayHaveRun(): boolean {
    return this.hasAmbiguousAttempt;
  }

  /** Whether another member forwarded the request, so that it must not be forwarded again. */
  get isForwarded(): boolean {
    return this.options.request.forwardedService !== undefined;
  }

  /** The latest response of an instance, even if it reports a failure. */
  get lastResponse(): BackendAttempt | undefined {
    return this.answer;
  }

  /** Records that another member received the request and its answer is not known. */
  recordUnknownForward(): void {
    this.hasAmbiguousAttempt = true;
  }

  /** Records the outcome of an attempt. */
  recordAttempt(attempt: BackendAttempt): void {
    if (attempt.kind === 'not-sent') return;
    this.sentCount += 1;
    if (attempt.kind === 'answered') this.answer = attempt;
    if (attempt.kind !== 'refused') this.hasAmbiguousAttempt = true;
  }
}
