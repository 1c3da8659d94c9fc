import type { BackendAttempt } from '@bronzelift/backend-client';
import type { InstanceId } from '@bronzelift/common';

import type { ServiceRuntime } from './serviceRuntime.js';
import type { CallerRequest, Route } from './types.js';

/** What is known of a request before its first attempt; times are monotonic. */
export interface WorkOptions {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: ServiceRuntime;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  /** The caller was refused before and came back, as its shorter wait shows. */
  readonly hasReturned: boolean;
}

/** A request on its way, with what its attempts have shown so far. */
export class Work {
  /** Instances that it was to be sent to. */
  readonly tried = new Set<InstanceId>();

  private sendCount = 0;

  private hasUnprovenAttempt = false;

  private answer: BackendAttempt | undefined;

  private constructor(private readonly options: WorkOptions) {}

  /** Creates the work of a request that has just been read. */
  static create(options: WorkOptions): Work {
    return new Work(options);
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

  get hasReturned(): boolean {
    return this.options.hasReturned;
  }

  /** Sends that reached an instance, or may have. */
  get sends(): number {
    return this.sendCount;
  }

  /** Whether an attempt was sent and ended without proof that it did not run. */
  get mayHaveRun(): boolean {
    return this.hasUnprovenAttempt;
  }

  /** The last response of an instance, also one that states a failure. */
  get lastAnswer(): BackendAttempt | undefined {
    return this.answer;
  }

  /** Notes the end of an attempt. */
  noteAttempt(attempt: BackendAttempt): void {
    if (attempt.kind === 'not-sent') return;
    this.sendCount += 1;
    if (attempt.kind === 'answered') this.answer = attempt;
    if (attempt.kind !== 'refused') this.hasUnprovenAttempt = true;
  }
}
