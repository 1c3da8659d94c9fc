import type { BackendAttempt } from '@bronzelift/backend-client';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import type { FoundInstance } from './instanceFinder.js';
import type { CallerRequest, FailureReason, RefusalReason } from './types.js';
import type { Work } from './work.js';

/** One log line for each decision on a request, with the inputs that decided it. */
export class RequestLog {
  private constructor(
    private readonly log: DecisionLog,
    private readonly configurationVersion: () => number | undefined,
  ) {}

  /** Creates the log of the request path. */
  static create(log: DecisionLog, configurationVersion: () => number | undefined): RequestLog {
    return new RequestLog(log, configurationVersion);
  }

  /** An instance was chosen. */
  sent({ request, route, service, deadlineAtMs }: Work, found: FoundInstance, nowMs: number): void {
    const { instance } = found;
    this.log.info(LogComponent.route, 'sent to instance', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      instance: instance.id,
      domain: instance.record.failureDomainId,
      reason: found.reason,
      reportAgeMs: Number.isFinite(found.reportAgeMs) ? Math.round(found.reportAgeMs) : undefined,
      slowdown: found.slowdown,
      freeSlots: found.freeSlots,
      expectedMs: Math.round(found.expectedMs),
      cold: instance.isCold || undefined,
      leftMs: Math.round(deadlineAtMs - nowMs),
      version: this.configurationVersion(),
    });
  }

  /** An attempt has ended, and what follows from it. */
  ended(
    { request, service }: Work,
    attempt: BackendAttempt,
    { instance }: FoundInstance,
    decision: string,
  ): void {
    this.log.info(LogComponent.backend, `attempt ${attempt.kind}`, {
      request: request.requestId,
      service: service.name,
      instance: instance.id,
      status: 'response' in attempt ? attempt.response.status : undefined,
      reason: 'reason' in attempt ? attempt.reason : undefined,
      detail: 'detail' in attempt ? attempt.detail : undefined,
      tookMs: Math.round(attempt.durationMs),
      decision,
    });
  }

  /** A request is refused; no instance has run it. */
  refused(
    { request, route, service, deadlineAtMs }: Work,
    reason: RefusalReason,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    this.log.info(LogComponent.admit, 'refused', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      reason,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      leftMs: Math.round(deadlineAtMs - nowMs),
      utilization: service.utilization,
      retryAfterMs: Math.round(retryAfterMs),
      version: this.configurationVersion(),
    });
  }

  /** A request has no usable answer although it may have run. */
  failed({ request, route, service }: Work, reason: FailureReason, nowMs: number): void {
    this.log.info(LogComponent.route, 'failed', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      reason,
      tookMs: Math.round(nowMs - request.arrivedAtMs),
    });
  }

  /** No route of the configuration in force matches. */
  notFound({ requestId, path }: CallerRequest, host: string | undefined): void {
    const version = this.configurationVersion();
    this.log.info(LogComponent.route, 'no route', { request: requestId, host, path, version });
  }

  /** Nothing is known of configuration or instances yet. */
  withoutState({ requestId }: CallerRequest): void {
    this.log.info(LogComponent.admit, 'refused: state not known yet', { request: requestId });
  }
}
