import type { BackendAttempt } from '@bronzelift/backend-client';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import type { FoundInstance } from './instanceFinder.js';
import type { CallerRequest, FailureReason, RefusalReason } from './types.js';
import type { RequestContext } from './requestContext.js';

/** Writes one log line for each decision on a request, with the inputs of the decision. */
export class RequestLog {
  private constructor(
    private readonly log: DecisionLog,
    private readonly configurationVersion: () => number | undefined,
  ) {}

  static create(log: DecisionLog, configurationVersion: () => number | undefined): RequestLog {
    return new RequestLog(log, configurationVersion);
  }

  /** Logs that a request is sent, and why this instance was selected. */
  sent(
    { request, route, service, deadlineAtMs }: RequestContext,
    found: FoundInstance,
    nowMs: number,
  ): void {
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
      maxRequestsPerS: instance.maxRequestsPerS,
      leftMs: Math.round(deadlineAtMs - nowMs),
      version: this.configurationVersion(),
    });
  }

  /** Logs how an attempt ended, and the decision that follows. */
  ended(
    { request, service }: RequestContext,
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

  /** Logs that an instance has ended while it ran a request. */
  instanceEnded(
    { request, route, service }: RequestContext,
    instanceId: string,
    fingerprint: string,
  ): void {
    this.log.info(LogComponent.backend, 'instance ended during a request', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      instance: instanceId,
      fingerprint,
    });
  }

  /** Logs the refusal of a request that no instance has run. */
  refused(
    { request, route, service, deadlineAtMs }: RequestContext,
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

  /** Logs that a request failed although an instance may have run it. */
  failed({ request, route, service }: RequestContext, reason: FailureReason, nowMs: number): void {
    this.log.info(LogComponent.route, 'failed', {
      request: request.requestId,
      route: route.name,
      service: service.name,
      reason,
      tookMs: Math.round(nowMs - request.arrivedAtMs),
    });
  }

  /** Logs that no route of the current configuration matches. */
  notFound({ requestId, path }: CallerRequest, host: string | undefined): void {
    const version = this.configurationVersion();
    this.log.info(LogComponent.route, 'no route', { request: requestId, host, path, version });
  }

  /**
   * Logs a request that is refused because the configuration or the instances are not known yet.
   */
  withoutState({ requestId }: CallerRequest): void {
    this.log.info(LogComponent.admit, 'refused: state not known yet', { request: requestId });
  }
}
