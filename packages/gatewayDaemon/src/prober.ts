import type { BackendAttempt } from '@bronzelift/backend-client';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import { observeAttempt } from '@bronzelift/routing';

import { PROBE_ATTEMPT_TIMEOUT_MS, PROBE_REQUEST_ID } from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { ServiceRuntime } from './serviceRuntime.js';

/** What a probe showed. */
export type ProbeResult =
  /** The instance answered and is the expected one. */
  | { readonly kind: 'answered'; readonly isHealthy: boolean }
  /** Another instance has the address now. */
  | { readonly kind: 'replaced'; readonly foundId: string }
  | { readonly kind: 'failed'; readonly detail: string }
  /** The share of this entry VM in the probes of the service is spent; nothing was sent. */
  | { readonly kind: 'over-budget' };

/** Parameters of a prober. */
export interface ProberOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

const NEVER_ABORTED = new AbortController().signal;

/** Asks instances for their load and whether they are cold, once at a time each. */
export class Prober {
  private readonly running = new Map<InstanceRuntime, Promise<ProbeResult>>();

  private constructor(private readonly options: ProberOptions) {}

  /** Creates a prober. */
  static create(options: ProberOptions): Prober {
    return new Prober(options);
  }

  /** Probes an instance, or joins the probe that is on its way. Never rejects. */
  probe(service: ServiceRuntime, instance: InstanceRuntime): Promise<ProbeResult> {
    const known = this.running.get(instance);
    if (known !== undefined) return known;
    if (!service.tryProbe()) {
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
    const result = this.judge(service, instance, attempt);
    // A health response says little about the work itself, so that a failed one does not count as
    // a failed request unless the instance could not be reached at all.
    const isReached = attempt.kind === 'answered' || attempt.kind === 'refused';
    if (isReached) handle.end({ kind: 'answered', latencyMs: attempt.durationMs });
    else handle.end(observeAttempt(attempt));
    return result;
  }

  private judge(
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
    instance.noteHealth(load.coldForMs);
    service.observeLoad(instance);
    const isHealthy = status >= 200 && status < 300;
    return { kind: 'answered', isHealthy };
  }
}
