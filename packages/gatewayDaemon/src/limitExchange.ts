import type { InstanceId } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';
import type { VersionedLimit } from '@bronzelift/slots';

import { LIMIT_REFRESH_INTERVAL_MS, LIMIT_RESENDS } from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';

/** The limit of an instance process, as entry VMs exchange it. */
export interface InstanceLimit extends VersionedLimit {
  readonly instanceId: InstanceId;
  readonly startedAtWallMs: number;
}

/** Access of a LimitExchange to the instances in use. */
export interface LimitExchangeOptions {
  readonly log: DecisionLog;
  readonly findInstance: (id: InstanceId) => InstanceRuntime | undefined;
  readonly listInstances: () => Iterable<InstanceRuntime>;
}

const toInstanceLimit = ({ id, record, limit }: InstanceRuntime): InstanceLimit => ({
  instanceId: id,
  startedAtWallMs: record.startedAtWallMs,
  ...limit.versioned,
});

/**
 * Decides which limits of instances are sent to the other entry VMs, and merges theirs. An entry VM
 * without a share of a limit sends nothing to the instance, and would never learn that it ended.
 */
export class LimitExchange {
  /** Changed limits with the number of times that they are still to be sent. */
  private readonly resends = new Map<InstanceRuntime, number>();

  private constructor(private readonly options: LimitExchangeOptions) {}

  static create(options: LimitExchangeOptions): LimitExchange {
    return new LimitExchange(options);
  }

  /** Records a change that a response to this entry VM contained; returns the limit to send. */
  recordChange(instance: InstanceRuntime): InstanceLimit {
    this.resends.set(instance, LIMIT_RESENDS);
    this.logChange(instance, 'response');
    return toInstanceLimit(instance);
  }

  /** Merges limits that another entry VM sent; those of unknown processes are ignored. */
  merge(limits: readonly InstanceLimit[]): void {
    for (const limit of limits) {
      const instance = this.options.findInstance(limit.instanceId);
      const isSameProcess = instance?.record.startedAtWallMs === limit.startedAtWallMs;
      if (instance !== undefined && isSameProcess && instance.mergeLimit(limit)) {
        this.logChange(instance, 'peer');
      }
    }
  }

  /** Takes the limits that are to be sent at this heartbeat. */
  takeDue(): InstanceLimit[] {
    const due = new Set(this.resends.keys());
    for (const [instance, count] of this.resends) {
      if (count > 1) this.resends.set(instance, count - 1);
      else this.resends.delete(instance);
    }
    for (const instance of this.listObserved()) {
      if (instance.limit.confirmationAgeMs >= LIMIT_REFRESH_INTERVAL_MS) due.add(instance);
    }
    for (const { limit } of due) limit.markSent();
    return [...due].map(toInstanceLimit);
  }

  /** Lists the limits that this entry VM observes itself, for a member that has started. */
  listObservedLimits(): InstanceLimit[] {
    return this.listObserved().map(toInstanceLimit);
  }

  private listObserved(): InstanceRuntime[] {
    return [...this.options.listInstances()].filter(
      ({ maxRequestsPerS, limit }) =>
        maxRequestsPerS !== undefined && limit.responseAgeMs <= LIMIT_REFRESH_INTERVAL_MS,
    );
  }

  private logChange({ id, maxRequestsPerS, limit }: InstanceRuntime, source: string): void {
    this.options.log.info(LogComponent.backend, 'instance limits its requests', {
      instance: id,
      maxRequestsPerS: maxRequestsPerS ?? 'none',
      version: limit.versioned.version,
      source,
    });
  }
}
