import type { Clock } from '@bronzelift/common';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import type { ControlPlane } from './controlPlane.js';
import type { ControlState } from './controlState.js';
import type { MemberTable } from './memberTable.js';
import { getEra, toOffset } from './storePosition.js';
import type { StateFreshness } from './stateFreshness.js';
import type { ServiceRuntime } from './serviceRuntime.js';

const MS_PER_S = 1_000;

/** Components whose state the gauges show. */
export interface StateGaugesOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly state: ControlState;
  readonly members: MemberTable;
  readonly control: ControlPlane;
  readonly freshness: StateFreshness;
  readonly services: ReadonlyMap<string, ServiceRuntime>;
  /** Counts callers' requests without a complete response. */
  readonly countInFlight: () => number;
}

/** Sets the gauges of an entry VM's state each time the metrics are read. */
export class StateGauges {
  private configurationAtMs: number | undefined;

  private timerDelayMs = 0;

  private constructor(private readonly options: StateGaugesOptions) {}

  static create(options: StateGaugesOptions): StateGauges {
    return new StateGauges(options);
  }

  /** Records the time at which a configuration was applied. */
  recordConfigurationChange(): void {
    this.configurationAtMs = this.options.clock.monotonicMs();
  }

  /** Records the delay of a periodic timer, which shows how long the event loop was busy. */
  recordTimerDelay(delayMs: number): void {
    this.timerDelayMs = Math.max(delayMs, 0);
  }

  /** Sets all gauges to the current state. */
  update(): void {
    this.updateProcess();
    this.updateState();
    for (const service of this.options.services.values()) this.updateService(service);
  }

  private updateProcess(): void {
    const { metrics, log, countInFlight } = this.options;
    const { written, dropped, buffered } = log.counts();
    metrics.gauge('bronzelift_requests_in_flight').set(countInFlight());
    metrics.gauge('bronzelift_event_loop_delay_seconds').set(this.timerDelayMs / MS_PER_S);
    metrics.gauge('bronzelift_resident_memory_bytes').set(process.memoryUsage.rss());
    metrics.gauge('bronzelift_log_lines', { state: 'written' }).set(written);
    metrics.gauge('bronzelift_log_lines', { state: 'left-out' }).set(dropped);
    metrics.gauge('bronzelift_log_lines', { state: 'waiting' }).set(buffered);
  }

  private updateState(): void {
    const { clock, metrics, state, members, control, freshness } = this.options;
    const { configuration, revision } = state;
    if (configuration !== undefined) {
      metrics.gauge('bronzelift_configuration_version').set(configuration.version);
    }
    if (this.configurationAtMs !== undefined) {
      const ageMs = clock.monotonicMs() - this.configurationAtMs;
      metrics.gauge('bronzelift_configuration_age_seconds').set(ageMs / MS_PER_S);
    }
    metrics.gauge('bronzelift_operator_revision').set(toOffset(revision));
    const position = state.nextInstancePosition ?? -1;
    metrics.gauge('bronzelift_instance_list_offset').set(toOffset(position));
    metrics.gauge('bronzelift_store_era').set(getEra(position));
    metrics.gauge('bronzelift_known_read_age_seconds').set(freshness.readAgeMs / MS_PER_S);
    metrics.gauge('bronzelift_members').set(members.live().length + 1);
    metrics.gauge('bronzelift_relay').set(Number(control.isRelay));
    metrics.gauge('bronzelift_searching_relay').set(Number(control.isSearching));
    metrics.gauge('bronzelift_store_reader').set(Number(control.isReader));
    metrics.gauge('bronzelift_store_failing').set(Number(members.isOwnStoreFailing));
  }

  private updateService(service: ServiceRuntime): void {
    const { metrics } = this.options;
    const labels = { service: service.name };
    const instances = [...service.instances];
    const count = (isCounted: (instance: (typeof instances)[number]) => boolean): number =>
      instances.filter(isCounted).length;
    const counts = {
      registered: instances.length,
      draining: count(({ isLeaving }) => isLeaving),
      cold: count(({ isCold }) => isCold),
      pausing: count(({ pauseLeftMs }) => pauseLeftMs > 0),
      limited: count(({ maxRequestsPerS }) => maxRequestsPerS !== undefined),
      ejected: count(({ id }) => !service.selector.isUsable(id)),
    };
    for (const [condition, value] of Object.entries(counts)) {
      metrics.gauge('bronzelift_instances', { ...labels, condition }).set(value);
    }
    const { pending, size } = service.searches;
    const inFlight = instances.reduce((sum, { ownInFlight }) => sum + ownInFlight, 0);
    metrics
      .gauge('bronzelift_service_reached', labels)
      .set(Number(service.reachabilityState === 'reached'));
    metrics.gauge('bronzelift_service_utilization_ratio', labels).set(service.utilization);
    metrics.gauge('bronzelift_sends_in_flight', labels).set(inFlight);
    metrics.gauge('bronzelift_searches', { ...labels, state: 'running' }).set(pending);
    metrics.gauge('bronzelift_searches', { ...labels, state: 'waiting' }).set(size);
    metrics.gauge('bronzelift_retries_available', labels).set(service.retries.available);
  }
}
