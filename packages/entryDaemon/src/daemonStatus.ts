import type { Clock } from '@bronzelift/common';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import { Phase } from '@bronzelift/protocol';

import type { ControlPlane } from './controlPlane.js';
import type { MemberSession } from './memberSession.js';
import type { OrderService } from './orderService.js';
import type { SlotDirectory } from './slotDirectory.js';

const MS_PER_S = 1_000;

/** Components and times of a daemon from which its status is created. */
export interface StatusParts {
  readonly clock: Clock;
  readonly startedAtMs: number;
  readonly configurationAdoptedAtMs: number;
  readonly phase: Phase;
  readonly session: MemberSession;
  readonly control: ControlPlane;
  readonly slots: SlotDirectory;
  readonly orders: OrderService;
  readonly invariants: Invariants;
  readonly log: DecisionLog;
}

/** Mean backend milliseconds per second spent on probes and spare connections since the start. */
const calculateProbeSpendingMsPerS = ({ clock, slots, startedAtMs }: StatusParts): number => {
  const spentMs = slots.allInstances().reduce((sum, instance) => sum + instance.probeSpentMs, 0);
  return (spentMs * MS_PER_S) / Math.max(1, clock.monotonicMs() - startedAtMs);
};

const describeMembership = (parts: StatusParts): Record<string, unknown> => {
  const { lease, self } = parts.session;
  return {
    vmId: self.vmId,
    incarnation: self.incarnation,
    failureDomainId: self.failureDomainId,
    phase: Phase[parts.phase].toLowerCase(),
    isReady: parts.phase === Phase.SERVING && lease.isLeaseHeld(),
    epoch: lease.epoch,
    members: parts.control.state.members.length,
    leaseHeld: lease.isLeaseHeld(),
    leaseRemainingMs: lease.leaseRemainingMs(),
    freshnessRemainingMs: lease.freshnessRemainingMs(),
    isSettled: lease.isSettled(),
  };
};

const describeControl = ({
  clock,
  control,
  configurationAdoptedAtMs,
}: StatusParts): Record<string, unknown> => {
  const { state } = control;
  return {
    configurationVersion: state.configurationVersion,
    configurationAgeMs: clock.monotonicMs() - configurationAdoptedAtMs,
    drainRevision: state.drainRevision,
    takenOut: state.takenOut,
    logAgeMs: control.logAgeMs() ?? null,
  };
};

const describeServices = (parts: StatusParts): Record<string, unknown> => {
  const instances = parts.slots.allInstances();
  return {
    slotsHeld: instances.reduce((sum, instance) => sum + instance.heldSlotCount, 0),
    slotsInUse: instances.reduce((sum, instance) => sum + instance.usedSlotCount, 0),
    probeSpendingMsPerS: calculateProbeSpendingMsPerS(parts),
    services: parts.slots.allServices().map((service) => ({
      service: service.name,
      ...service.queue.stats(),
      freeSlots: service.freeSlots(),
    })),
    instances: instances.map((instance) => instance.status()),
    orders: parts.orders.coordinator.stats(),
  };
};

/** Creates the document that `/status` returns on the admin port. */
export const createDaemonStatus = (parts: StatusParts): Record<string, unknown> => {
  const violations = parts.invariants.snapshot();
  return {
    ...describeMembership(parts),
    ...describeControl(parts),
    ...describeServices(parts),
    violations: violations.counts,
    latestViolations: violations.latest,
    logLines: parts.log.counts(),
  };
};
