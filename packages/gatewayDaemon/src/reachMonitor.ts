import { shuffle } from '@bronzelift/common';
import type { Clock, RandomSource, ServiceName } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import {
  LISTING_DELAY_MS,
  MAX_RESPONSE_AGE_MS,
  MIN_REACH_NOTICE_INTERVAL_MS,
  RECOVERY_PROBES,
  RECOVERY_PROBE_INTERVAL_MS,
} from './constants.js';
import type { MemberTable } from './memberTable.js';
import type { Prober } from './prober.js';
import type { ServiceRuntime } from './serviceRuntime.js';

/** Dependencies of a ReachMonitor. */
export interface ReachMonitorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly members: MemberTable;
  readonly prober: Prober;
  readonly services: ReadonlyMap<ServiceName, ServiceRuntime>;
  /** Called when the other entry VMs have to learn of a change at once. */
  readonly onChange: () => void;
}

/**
 * Decides whether this entry VM is cut off: it reaches no instance, while other members reach those
 * that it does not. If all members fail alike, the instances do, and none of them withdraws.
 */
export class ReachMonitor {
  private unreached: readonly ServiceName[] = [];

  private cutOff = false;

  private reachedSinceMs = -Infinity;

  private noticeAtMs = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: ReachMonitorOptions) {}

  /** Creates a monitor that does not probe; call `start`. */
  static create(options: ReachMonitorOptions): ReachMonitor {
    return new ReachMonitor(options);
  }

  /** Services whose instances this entry VM does not reach, or hardly. */
  get unreachedServices(): readonly ServiceName[] {
    return this.unreached;
  }

  /** Whether this entry VM reaches no instances although others do. */
  get isCutOff(): boolean {
    return this.cutOff;
  }

  /** Whether this entry VM reaches neither instances nor members that were there before. */
  get isIsolated(): boolean {
    const { members } = this.options;
    return this.reachesNothing() && members.all().length > 0 && members.live().length === 0;
  }

  /** Starts to probe the instances of services that are not reached. */
  start(): void {
    this.timer = setInterval(() => this.check(), RECOVERY_PROBE_INTERVAL_MS);
  }

  /** Stops probing. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Updates the state after a change of a service or of the other members. */
  update(): void {
    const unreached = [...this.options.services.values()]
      .filter(({ reachabilityState }) => reachabilityState !== 'reached')
      .map(({ name }) => name);
    const cutOff = this.calculateCutOff(unreached);
    const hasChanged =
      cutOff !== this.cutOff ||
      unreached.length !== this.unreached.length ||
      unreached.some((name) => !this.unreached.includes(name));
    this.unreached = unreached;
    if (!hasChanged) return;
    if (cutOff !== this.cutOff) {
      this.options.log.warn(
        LogComponent.member,
        cutOff ? 'cut off from instances' : 'not cut off',
        {
          unreached: unreached.join(','),
        },
      );
    }
    this.cutOff = cutOff;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.noticeAtMs < MIN_REACH_NOTICE_INTERVAL_MS) return;
    this.noticeAtMs = nowMs;
    this.options.onChange();
  }

  private calculateCutOff(unreached: readonly ServiceName[]): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (unreached.length > 0 && this.reachesNothing()) {
      this.reachedSinceMs = nowMs;
      return this.options.members.isAnyReaching(unreached);
    }
    return this.cutOff && nowMs - this.reachedSinceMs < LISTING_DELAY_MS;
  }

  private reachesNothing(): boolean {
    const services = [...this.options.services.values()].filter(({ size }) => size > 0);
    const isReached = ({ reachabilityState, responseAgeMs }: ServiceRuntime): boolean =>
      reachabilityState === 'reached' && responseAgeMs <= MAX_RESPONSE_AGE_MS;
    return (
      services.some(({ reachabilityState }) => reachabilityState !== 'reached') &&
      !services.some(isReached)
    );
  }

  private check(): void {
    for (const service of this.options.services.values()) service.updateReachability();
    if (this.unreached.length === 0 && !this.cutOff) return;
    for (const name of this.unreached) this.probeSome(this.options.services.get(name));
    this.update();
  }

  private probeSome(service: ServiceRuntime | undefined): void {
    if (service === undefined) return;
    const probed = [...service.instances].filter(
      ({ isLeaving, isReplaced }) => !isLeaving && !isReplaced,
    );
    for (const instance of shuffle(this.options.random, probed).slice(0, RECOVERY_PROBES)) {
      this.options.prober.probe(service, instance);
    }
  }
}
