import { PROBE_REQUEST_ID } from '@bronzelift/backend-client';
import type { BackendAttempt } from '@bronzelift/backend-client';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { toAttemptObservation } from '@bronzelift/routing';

import { PROBE_ATTEMPT_TIMEOUT_MS } from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { ServiceRuntime } from './serviceRuntime.js';

/** Outcome of a probe. */
export type ProbeResult =
  /** The expected instance responded. */
  | { readonly kind: 'answered'; readonly isHealthy: boolean }
  /** Another instance responded at the address. */
  | { readonly kind: 'replaced'; readonly foundId: string }
  | { readonly kind: 'failed'; readonly detail: string }
  /** This entry VM's share of the probe budget is used up; nothing was sent. */
  | { readonly kind: 'over-budget' }
  /** What the instance states allows this entry VM no probe now; nothing was sent. */
  | { readonly kind: 'over-limit' };

/** Dependencies of a Prober. */
export interface ProberOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

const NEVER_ABORTED = new AbortController().signal;

/** Requests load and cold state from instances, with at most one probe per instance at a time. */
export class Prober {
  private readonly running = new Map<InstanceRuntime, Promise<ProbeResult>>();

  private constructor(private readonly options: ProberOptions) {}

  static create(options: ProberOptions): Prober {
    return new Prober(options);
  }

  /** Probes an instance, or returns the probe that is in progress. Never rejects. */
  probe(service: ServiceRuntime, instance: InstanceRuntime): Promise<ProbeResult> {
    const probeInProgress = this.running.get(instance);
    if (probeInProgress !== undefined) return probeInProgress;
    if (!service.tryTakeLimitToken(instance)) return Promise.resolve({ kind: 'over-limit' });
    if (!service.tryTakeProbe()) {
      this.options.metrics
        .counter('bronzelift_probes_over_budget_total', { service: service.name })
        .increment();
      return Promise.resolve({ kind: 'over-budget' });
    }
    const probe = this.run(service, instance).finally(() => this.running.delete(instance));
    this.running.set(instance, probe);
    return probe;
  }

  private async run(service: ServiceRuntime, instance: InstanceRuntime): Promise<ProbeResult> {
    const { clock, metrics } = this.options;
    metrics.counter('bronzelift_probes_total', { service: service.name }).increment();
    if (instance.maxRequestsPerS !== undefined) {
      metrics
        .counter('bronzelift_limited_arrivals_total', { service: service.name, kind: 'probe' })
        .increment();
    }
    const isTrial = service.selector.isTrialDue(instance.id);
    const handle = service.selector.begin({ instanceId: instance.id, isTrial });
    const attempt = await instance.send(
      {
        method: 'GET',
        path: service.policy?.healthPath ?? '/',
        headers: {},
        requestId: PROBE_REQUEST_ID,
        deadlineAtWallMs: clock.wallMs() + PROBE_ATTEMPT_TIMEOUT_MS,
        timeoutMs: PROBE_ATTEMPT_TIMEOUT_MS,
      },
      true,
      NEVER_ABORTED,
    );
    const result = this.toProbeResult(service, instance, attempt);
    // The status of a health response does not show whether requests succeed. A failed probe
    // therefore counts as a failed request only if the instance could not be reached.
    const isReached = attempt.kind === 'answered' || attempt.kind === 'refused';
    if (isReached) handle.end({ kind: 'answered', latencyMs: attempt.durationMs });
    else handle.end(toAttemptObservation(attempt));
    return result;
  }

  private toProbeResult(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    attempt: BackendAttempt,
  ): ProbeResult {
    if (attempt.kind !== 'answered' && attempt.kind !== 'refused') {
      const detail = 'detail' in attempt ? attempt.detail : attempt.kind;
      this.options.log.info(LogComponent.probe, 'probe failed', {
        service: service.name,
        instance: instance.id,
        detail,
      });
      return { kind: 'failed', detail };
    }
    const { load, status } = attempt.response;
    if (load.instanceId !== undefined && load.instanceId !== instance.id) {
      this.options.log.info(LogComponent.probe, 'address belongs to another instance', {
        service: service.name,
        instance: instance.id,
        found: load.instanceId,
      });
      instance.markReplaced();
      return { kind: 'replaced', foundId: load.instanceId };
    }
    instance.recordHealth(load.coldForMs);
    service.recordLoad(instance);
    const isHealthy = status >= 200 && status < 300;
    return { kind: 'answered', isHealthy };
  }
}
