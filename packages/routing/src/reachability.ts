import { assertNever } from '@bronzelift/common';
import type { Clock, InstanceId } from '@bronzelift/common';

import {
  CONNECT_FAILURE_MEMORY_MS,
  INSTANCES_TO_BE_REACHED,
  INSTANCES_TO_BE_UNREACHED,
  MAX_IMPAIRED_SHARE,
} from './constants.js';

/**
 * Whether an entry VM reaches the instances of a service: `impaired` if most of them accept no new
 * connections, while open ones may still work, and `unreached` if none of them responds.
 */
export type ReachabilityState = 'reached' | 'impaired' | 'unreached';

/** What an attempt or a probe showed of the way to an instance. */
export type ReachabilityEvidence =
  'response-on-new-connection' | 'response' | 'connect-failed' | 'no-response';

/** Derives from attempts and probes whether this entry VM reaches the instances of a service. */
export class Reachability {
  /** Instances that failed since the last response of any instance. */
  private readonly failed = new Set<InstanceId>();

  /** Instances that responded since the service was not reached. */
  private readonly responded = new Set<InstanceId>();

  private readonly connectFailedAtMs = new Map<InstanceId, number>();

  private isUnreached = false;

  private responseAtMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly countInstances: () => number,
  ) {}

  static create(clock: Clock, countInstances: () => number): Reachability {
    return new Reachability(clock, countInstances);
  }

  /** Records evidence on one instance. */
  record(instanceId: InstanceId, evidence: ReachabilityEvidence): void {
    switch (evidence) {
      case 'response-on-new-connection':
        this.connectFailedAtMs.delete(instanceId);
        this.recordResponse(instanceId);
        return;
      case 'response':
        this.recordResponse(instanceId);
        return;
      case 'connect-failed':
        this.connectFailedAtMs.set(instanceId, this.clock.monotonicMs());
        this.recordFailure(instanceId);
        return;
      case 'no-response':
        this.recordFailure(instanceId);
        return;
      default:
        assertNever(evidence);
    }
  }

  /** Forgets an instance that is gone. */
  forget(instanceId: InstanceId): void {
    this.failed.delete(instanceId);
    this.responded.delete(instanceId);
    this.connectFailedAtMs.delete(instanceId);
  }

  /** Time since the last response of any instance; Infinity before the first one. */
  get responseAgeMs(): number {
    return this.clock.monotonicMs() - this.responseAtMs;
  }

  /** Current state; a service without instances counts as reached. */
  get state(): ReachabilityState {
    if (this.countInstances() === 0) return 'reached';
    if (this.isUnreached) return 'unreached';
    const limitMs = this.clock.monotonicMs() - CONNECT_FAILURE_MEMORY_MS;
    let refusing = 0;
    for (const atMs of this.connectFailedAtMs.values()) if (atMs >= limitMs) refusing += 1;
    return refusing > this.countInstances() * MAX_IMPAIRED_SHARE ? 'impaired' : 'reached';
  }

  private recordResponse(instanceId: InstanceId): void {
    this.responseAtMs = this.clock.monotonicMs();
    this.failed.clear();
    if (!this.isUnreached) return;
    this.responded.add(instanceId);
    if (this.responded.size < Math.min(INSTANCES_TO_BE_REACHED, this.countInstances())) return;
    this.isUnreached = false;
    this.connectFailedAtMs.clear();
  }

  private recordFailure(instanceId: InstanceId): void {
    this.failed.add(instanceId);
    if (this.failed.size < Math.min(INSTANCES_TO_BE_UNREACHED, this.countInstances())) return;
    if (!this.isUnreached) this.responded.clear();
    this.isUnreached = true;
  }
}
