import type { Clock, InstanceId } from '@bronzelift/common';
import { InstanceObservationSchema, ServiceLoadSchema } from '@bronzelift/protocol';
import type { InstanceObservation, ServiceLoad } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';

import { COLD_REPORT_MS, MAX_OBSERVATION_AGE_MS } from './constants.js';
import type { SlotDirectory } from './slotDirectory.js';

const createObservation = (
  instanceId: InstanceId,
  allowance: number,
  ageMs: number,
  cold = false,
): InstanceObservation =>
  create(InstanceObservationSchema, {
    instanceId,
    allowance,
    ageMs: Math.ceil(Math.min(ageMs, MAX_OBSERVATION_AGE_MS)),
    cold,
  });

/** Reports about instances and services that members exchange in heartbeats. */
export class InstanceReports {
  private readonly coldSeenAtMs = new Map<InstanceId, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly slots: SlotDirectory,
  ) {}

  /** Creates reports about the instances and services of `slots`. */
  static create(clock: Clock, slots: SlotDirectory): InstanceReports {
    return new InstanceReports(clock, slots);
  }

  /** Free slots and queue length of each service; 0 free slots if the member is not serving. */
  serviceLoads(isServing: boolean): ServiceLoad[] {
    return this.slots.allServices().map((service) => {
      const { queuedLookups, queuedOrders } = service.queue.stats();
      return create(ServiceLoadSchema, {
        service: service.name,
        freeSlots: isServing ? service.freeSlots() : 0,
        queued: queuedLookups + queuedOrders,
      });
    });
  }

  /** Allowances of owned instances, and instances recently observed to be cold. */
  observations(): InstanceObservation[] {
    const owned = this.slots
      .allInstances()
      .filter(({ id }) => this.slots.isOwner(id))
      .map(({ id, allowance }) => createObservation(id, allowance.allowed, allowance.ageMs()))
      .filter(({ ageMs }) => ageMs < MAX_OBSERVATION_AGE_MS);
    const nowMs = this.clock.monotonicMs();
    for (const [id, seenAtMs] of this.coldSeenAtMs) {
      if (nowMs - seenAtMs > COLD_REPORT_MS) this.coldSeenAtMs.delete(id);
    }
    const cold = [...this.coldSeenAtMs].map(([id, seenAtMs]) =>
      createObservation(id, 0, nowMs - seenAtMs, true),
    );
    return [...owned, ...cold];
  }

  /** Applies a peer's observations; `sentAtMs` is when the heartbeat that they answer was sent. */
  applyPeerObservations(
    observations: readonly InstanceObservation[],
    sentAtMs: number | undefined,
  ): void {
    for (const { instanceId, allowance, ageMs, cold } of observations) {
      const runtime = this.slots.findInstance(instanceId);
      if (!runtime) continue;
      if (cold) runtime.allowance.recordPeerColdReport(this.clock.monotonicMs() - ageMs);
      else if (sentAtMs !== undefined) {
        runtime.allowance.recordOwnerReport({ allowance, observedAtMs: sentAtMs - ageMs });
      }
    }
  }

  /** Records that this member has observed an instance to be cold. */
  recordCold(instanceId: InstanceId): void {
    this.coldSeenAtMs.set(instanceId, this.clock.monotonicMs());
  }
}
