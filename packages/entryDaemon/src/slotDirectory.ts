import { BufferBudget, MAX_BUFFERED_RESPONSE_BYTES } from '@bronzelift/backend-client';
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

/** Roster and configuration of one epoch, which determine which member holds which slot. */
export type EpochState = Pick<ControlState, 'epoch' | 'members' | 'configuration'>;

/** Identity, components and callbacks of the slot directory. */
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

/** Key of the settings that need a new InstanceRuntime when they change. */
const createInstanceKey = (
  instance: Configuration['instances'][number],
  { coldSlots, warmupAnswers, probeBudgetMsPerS }: ServiceConfiguration,
): string => JSON.stringify([instance, coldSlots, warmupAnswers, probeBudgetMsPerS]);

/** Services and instances, and the slots of the instances that this entry VM holds. */
export class SlotDirectory {
  private readonly services = new Map<string, ServiceRuntime>();

  private readonly bufferBudget = BufferBudget.create(MAX_BUFFERED_RESPONSE_BYTES);

  private readonly instances = new Map<InstanceId, InstanceRuntime>();

  private slotRights = SlotRights.create();

  /** Epochs not yet adopted, because requests still run on slots that they assign to others. */
  private pendingEpochs: EpochState[] = [];

  /** Slots held in every pending epoch; only these may be used until the epochs are adopted. */
  private slotsUntilAdoption: HeldSlots | undefined;

  private constructor(private readonly options: SlotDirectoryOptions) {}

  /** Creates a directory; its services and instances come from `applyConfiguration`. */
  static create(options: SlotDirectoryOptions): SlotDirectory {
    return new SlotDirectory(options);
  }

  /** Finds a service by its name. */
  findService(name: string): ServiceRuntime | undefined {
    return this.services.get(name);
  }

  /** All services of the configuration. */
  allServices(): readonly ServiceRuntime[] {
    return [...this.services.values()];
  }

  /** All instances of the configuration, whoever holds their slots. */
  allInstances(): readonly InstanceRuntime[] {
    return [...this.instances.values()];
  }

  findInstance(id: InstanceId): InstanceRuntime | undefined {
    return this.instances.get(id);
  }

  /** Whether this entry VM owns an instance in a settled epoch. */
  isOwner(id: InstanceId): boolean {
    return this.slotRights.isOwner(id);
  }

  /** Discards all slot rights, because this member's incarnation has ended. */
  discardRights(): void {
    this.slotRights = SlotRights.create();
    this.pendingEpochs = [];
    this.slotsUntilAdoption = undefined;
    this.refresh();
  }

  /** Applies a configuration; `isOut` tells which instances are out of service. */
  applyConfiguration(
    configuration: Configuration,
    isOut: (instance: Configuration['instances'][number]) => boolean,
  ): void {
    this.updateServices(configuration);
    this.updateInstances(configuration);
    for (const runtime of this.instances.values())
      runtime.setOutOfService(isOut(runtime.configuration));
    const byService = new Map<string, InstanceRuntime[]>();
    for (const { id, service } of configuration.instances) {
      const serviceInstances = byService.get(service) ?? [];
      serviceInstances.push(this.instances.get(id)!);
      byService.set(service, serviceInstances);
    }
    for (const service of this.services.values()) {
      service.setInstances(byService.get(service.name) ?? []);
    }
    this.refresh();
  }

  /**
   * Adds newer epochs in ascending order. Slots that they assign to other members are no longer
   * used from now on; an epoch is adopted, and reported to the peers, once requests on these slots
   * have ended.
   */
  enqueueEpochs(epochs: readonly EpochState[]): void {
    const lastEpoch = this.pendingEpochs.at(-1)?.epoch ?? this.options.currentLease().epoch;
    this.pendingEpochs.push(...epochs.filter(({ epoch }) => epoch > lastEpoch));
    this.adoptPending();
  }

  /** Adopts pending epochs once no request runs on lost slots, and updates the usable slots. */
  adoptPending(): void {
    if (this.pendingEpochs.length > 0) {
      const adoptions = this.pendingEpochs.map((state) => ({
        state,
        held: this.calculateOwnSlots(state),
      }));
      this.slotsUntilAdoption = adoptions.reduce<HeldSlots | undefined>(
        (former, { held }) => (former ? SlotDirectory.intersect(former, held) : held),
        undefined,
      );
      const hasRequestOnLostSlot = [...this.instances.values()].some((runtime) =>
        runtime.hasRequestOutside(this.slotsUntilAdoption!.get(runtime.id) ?? []),
      );
      if (!hasRequestOnLostSlot) this.adoptEpochs(adoptions);
    }
    this.refresh();
  }

  /** Updates which slots may be used and how many requests may run. */
  refresh(): void {
    const lease = this.options.currentLease();
    if (lease.isSettled()) this.slotRights.settle(lease.epoch);
    for (const runtime of this.instances.values()) {
      const usable = this.slotRights.usableSlots(runtime.id);
      const allowed = this.slotsUntilAdoption?.get(runtime.id);
      const held = this.slotsUntilAdoption
        ? usable.filter((slot) => allowed?.includes(slot))
        : usable;
      runtime.setHeldSlots(held, held.includes(0));
    }
    const isSending = this.options.gate.remainingMs() > 0;
    for (const service of this.services.values()) service.refresh(isSending);
  }

  /** Opens missing connections and sends due probes for all instances. */
  maintain(): void {
    for (const runtime of this.instances.values()) runtime.maintain();
  }

  /** Closes all connections to backend servers. */
  close(): void {
    for (const runtime of this.instances.values()) runtime.close();
  }

  private static intersect(left: HeldSlots, right: HeldSlots): HeldSlots {
    const intersection = new Map<InstanceId, readonly number[]>();
    for (const [id, slots] of left) {
      const rightSlots = right.get(id) ?? [];
      intersection.set(
        id,
        slots.filter((slot) => rightSlots.includes(slot)),
      );
    }
    return intersection;
  }

  private adoptEpochs(adoptions: readonly { state: EpochState; held: HeldSlots }[]): void {
    const lease = this.options.currentLease();
    for (const { state, held } of adoptions) {
      const { epoch, members } = state;
      const adoption = lease.adoptRoster({ epoch, members });
      if (adoption.isAdopted) this.slotRights.setHeldSlots(epoch, held, adoption.isContiguous);
    }
    const last = adoptions.at(-1)!;
    const slots = [...last.held.values()].reduce((sum, slotNumbers) => sum + slotNumbers.length, 0);
    this.options.log.info(LogComponent.slots, 'slots assigned', {
      epoch: last.state.epoch,
      members: last.state.members.length,
      slots,
    });
    this.pendingEpochs = [];
    this.slotsUntilAdoption = undefined;
  }

  private calculateOwnSlots(state: EpochState): HeldSlots {
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
      const ownSlots = holders.flatMap((vmId, slot) =>
        vmId === this.options.ownVmId ? [slot] : [],
      );
      if (ownSlots.length > 0) held.set(id, ownSlots);
    }
    return held;
  }

  private updateServices(configuration: Configuration): void {
    const configuredNames = new Set(configuration.services.map(({ name }) => name));
    for (const name of this.services.keys())
      if (!configuredNames.has(name)) this.services.delete(name);
    for (const service of configuration.services) {
      const existing = this.services.get(service.name);
      if (existing) {
        existing.configure(service);
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
        bufferBudget: this.bufferBudget,
        onCold: this.options.onCold,
        onChange: () => this.services.get(instance.service)?.wakeWaiters(),
      });
      this.instances.set(instance.id, runtime);
    }
  }
}
