import type { Clock, FailureDomainId, InstanceId, RandomSource, VmId } from '@bronzelift/common';
import type { Configuration, ServiceConfiguration } from '@bronzelift/configuration';
import type { ControlState, RosterMember } from '@bronzelift/control-log';
import type { MemberLease } from '@bronzelift/membership';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import { SlotRights, assignSlots } from '@bronzelift/slots';

import { InstanceRuntime } from './instanceRuntime.js';
import type { SendGate } from './sendGate.js';
import { ServiceRuntime } from './serviceRuntime.js';

/** Roster and configuration of one epoch; together they decide who holds which slot. */
export type EpochState = Pick<ControlState, 'epoch' | 'members' | 'configuration'>;

/** Parameters of the slot directory. */
export interface SlotDirectoryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly invariants: Invariants;
  readonly ownVmId: VmId;
  readonly ownDomainId: FailureDomainId;
  readonly gate: SendGate;
  readonly currentLease: () => MemberLease;
  readonly onCold: (instanceId: InstanceId, reason: string) => void;
}

type HeldSlots = ReadonlyMap<InstanceId, readonly number[]>;

/** Settings that an instance takes from its service when it is created. */
const createInstanceKey = (
  instance: Configuration['instances'][number],
  { coldSlots, warmupAnswers, probeBudgetMsPerS }: ServiceConfiguration,
): string => JSON.stringify([instance, coldSlots, warmupAnswers, probeBudgetMsPerS]);

/** Services, instances and the slots that this entry VM holds of them. */
export class SlotDirectory {
  private readonly services = new Map<string, ServiceRuntime>();

  private readonly instances = new Map<InstanceId, InstanceRuntime>();

  private rights = SlotRights.create();

  /** Epochs that are known but not adopted, because lost slots still carry requests. */
  private pending: EpochState[] = [];

  private restriction: HeldSlots | undefined;

  private constructor(private readonly options: SlotDirectoryOptions) {}

  /** Creates an empty directory. */
  static create(options: SlotDirectoryOptions): SlotDirectory {
    return new SlotDirectory(options);
  }

  /** The service of a name. */
  findService(name: string): ServiceRuntime | undefined {
    return this.services.get(name);
  }

  /** All services. */
  allServices(): readonly ServiceRuntime[] {
    return [...this.services.values()];
  }

  /** All instances. */
  allInstances(): readonly InstanceRuntime[] {
    return [...this.instances.values()];
  }

  findInstance(id: InstanceId): InstanceRuntime | undefined {
    return this.instances.get(id);
  }

  /** Whether this entry VM is the settled owner of an instance. */
  isOwner(id: InstanceId): boolean {
    return this.rights.isOwner(id);
  }

  /** Forgets all rights, when the incarnation of this member is discarded. */
  discardRights(): void {
    this.rights = SlotRights.create();
    this.pending = [];
    this.restriction = undefined;
    this.refresh();
  }

  /** Takes a configuration and the targets that are out of service. */
  applyConfiguration(
    configuration: Configuration,
    isOut: (instance: Configuration['instances'][number]) => boolean,
  ): void {
    this.updateServices(configuration);
    this.updateInstances(configuration);
    for (const runtime of this.instances.values()) runtime.setOut(isOut(runtime.configuration));
    const byService = new Map<string, InstanceRuntime[]>();
    for (const { id, service } of configuration.instances) {
      const own = byService.get(service) ?? [];
      own.push(this.instances.get(id)!);
      byService.set(service, own);
    }
    for (const service of this.services.values()) {
      service.setInstances(byService.get(service.name) ?? []);
    }
    this.refresh();
  }

  /**
   * Takes newer epochs in ascending order. Slots that were lost are not used from now on; an epoch is
   * adopted, and so reported to the peers, once requests on such slots have ended.
   */
  enqueueEpochs(epochs: readonly EpochState[]): void {
    const known = this.pending.at(-1)?.epoch ?? this.options.currentLease().epoch;
    this.pending.push(...epochs.filter(({ epoch }) => epoch > known));
    this.adoptPending();
  }

  /** Adopts epochs whose lost slots are idle, and refreshes the usable slots. */
  adoptPending(): void {
    if (this.pending.length > 0) {
      const steps = this.pending.map((state) => ({ state, held: this.ownSlots(state) }));
      this.restriction = steps.reduce<HeldSlots | undefined>(
        (former, { held }) => (former ? SlotDirectory.intersect(former, held) : held),
        undefined,
      );
      const isBusy = [...this.instances.values()].some((runtime) =>
        runtime.isBusyOutside(this.restriction!.get(runtime.id) ?? []),
      );
      if (!isBusy) this.adopt(steps);
    }
    this.refresh();
  }

  /** Recomputes which slots may be used and how many requests may run. */
  refresh(): void {
    const lease = this.options.currentLease();
    if (lease.isSettled()) this.rights.settle(lease.epoch);
    for (const runtime of this.instances.values()) {
      const usable = this.rights.usableSlots(runtime.id);
      const allowed = this.restriction?.get(runtime.id);
      const held = this.restriction ? usable.filter((slot) => allowed?.includes(slot)) : usable;
      runtime.setHeld(held, held.includes(0));
    }
    const isSending = this.options.gate.remainingMs() > 0;
    for (const service of this.services.values()) service.refresh(isSending);
  }

  /** Keeps connections and probes going. */
  maintain(): void {
    for (const runtime of this.instances.values()) runtime.maintain();
  }

  /** Closes all connections. */
  close(): void {
    for (const runtime of this.instances.values()) runtime.close();
  }

  private static intersect(left: HeldSlots, right: HeldSlots): HeldSlots {
    const both = new Map<InstanceId, readonly number[]>();
    for (const [id, slots] of left) {
      const other = right.get(id) ?? [];
      both.set(
        id,
        slots.filter((slot) => other.includes(slot)),
      );
    }
    return both;
  }

  private adopt(steps: readonly { state: EpochState; held: HeldSlots }[]): void {
    const lease = this.options.currentLease();
    for (const { state, held } of steps) {
      const { epoch, members } = state;
      const adoption = lease.adoptRoster({ epoch, members });
      if (adoption.isAdopted) this.rights.adopt(epoch, held, adoption.isContiguous);
    }
    const last = steps.at(-1)!;
    const slots = [...last.held.values()].reduce((sum, one) => sum + one.length, 0);
    this.options.log.info(LogComponent.slots, 'slots assigned', {
      epoch: last.state.epoch,
      members: last.state.members.length,
      slots,
    });
    this.pending = [];
    this.restriction = undefined;
  }

  private ownSlots(state: EpochState): HeldSlots {
    const assignment = assignSlots(
      state.members.map(({ vmId, failureDomainId }: RosterMember) => ({ vmId, failureDomainId })),
      state.configuration.instances.map(({ id, service, failureDomainId, slots }) => ({
        instanceId: id,
        service,
        failureDomainId,
        slots,
      })),
    );
    const held = new Map<InstanceId, readonly number[]>();
    for (const [id, holders] of assignment) {
      const own = holders.flatMap((vmId, slot) => (vmId === this.options.ownVmId ? [slot] : []));
      if (own.length > 0) held.set(id, own);
    }
    return held;
  }

  private updateServices(configuration: Configuration): void {
    const named = new Set(configuration.services.map(({ name }) => name));
    for (const name of this.services.keys()) if (!named.has(name)) this.services.delete(name);
    for (const service of configuration.services) {
      const known = this.services.get(service.name);
      if (known) {
        known.configure(service);
        continue;
      }
      const { clock, random, ownDomainId, log, invariants } = this.options;
      this.services.set(
        service.name,
        ServiceRuntime.create({
          clock,
          random,
          ownDomainId,
          configuration: service,
          log,
          invariants,
        }),
      );
    }
  }

  private updateInstances(configuration: Configuration): void {
    const services = new Map(configuration.services.map((service) => [service.name, service]));
    const listed = new Map(configuration.instances.map((instance) => [instance.id, instance]));
    for (const [id, runtime] of this.instances) {
      const instance = listed.get(id);
      const service = instance && services.get(instance.service);
      const isSame = service && createInstanceKey(instance, service) === runtime.settingsKey;
      if (isSame) continue;
      runtime.retire();
      this.instances.delete(id);
    }
    for (const instance of configuration.instances) {
      if (this.instances.has(instance.id)) continue;
      const runtime = InstanceRuntime.create({
        clock: this.options.clock,
        instance,
        service: services.get(instance.service)!,
        settingsKey: createInstanceKey(instance, services.get(instance.service)!),
        invariants: this.options.invariants,
        onCold: this.options.onCold,
        onChange: () => this.services.get(instance.service)?.wake(),
      });
      this.instances.set(instance.id, runtime);
    }
  }
}
