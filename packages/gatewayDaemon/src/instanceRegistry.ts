import { assertNever } from '@bronzelift/common';
import type { Clock, InstanceId } from '@bronzelift/common';

import {
  COLD_TIME_TOLERANCE_MS,
  MASS_EXPIRY_SHARE,
  NO_POSITION,
  REGISTRATION_RENEWAL_GRACE_MS,
  TOMBSTONE_LIFETIME_MS,
} from './constants.js';
import { createPosition, getEra } from './storePosition.js';
import type { InstanceChange, InstanceRecord, StreamPage } from './types.js';
import { compareProcessVersions, describeRegistration, hashText } from './utils.js';

/**
 * What an entry VM knows of one registration. Entries of several entry VMs can be merged in any
 * order.
 */
export interface RegistrationEntry {
  readonly id: InstanceId;
  /** Newest record, with `coldForMs` from the time of sending; undefined if it is not in use. */
  readonly record: InstanceRecord | undefined;
  /** Store position of the record; NO_POSITION without a record. */
  readonly recordPosition: number;
  /** Store position of the newest removal; NO_POSITION if there was none. */
  readonly removedPosition: number;
  /** Time for which a registration that may have expired in an outage stays in use. */
  readonly retainForMs: number;
}

/** Entries of an entry VM that knows all changes before `nextPosition`. */
export interface RegistrySnapshot {
  readonly nextPosition: number;
  /** Digest of all its registrations. */
  readonly digest: number;
  readonly entries: readonly RegistrationEntry[];
}

/** Effect of changes on the instances in use, and the entries that other entry VMs need. */
export interface RegistryUpdate {
  readonly changed: readonly InstanceRecord[];
  readonly removed: readonly InstanceId[];
  readonly entries: readonly RegistrationEntry[];
}

interface Registration {
  record: InstanceRecord | undefined;
  recordPosition: number;
  removedPosition: number;
  /** Monotonic time at which the removal became known. */
  removedAtMs: number;
  /** Monotonic time until which the removed registration stays in use. */
  retainedUntilMs: number;
  coldUntilMs: number;
  hasColdChange: boolean;
  /** Content that the digest covers; undefined if the instance is not registered. */
  description: string | undefined;
  /** Position of the latest change that other entry VMs need. */
  changedPosition: number;
}

const createRegistration = (): Registration => ({
  record: undefined,
  recordPosition: NO_POSITION,
  removedPosition: NO_POSITION,
  removedAtMs: -Infinity,
  retainedUntilMs: -Infinity,
  coldUntilMs: -Infinity,
  hasColdChange: false,
  description: undefined,
  changedPosition: NO_POSITION,
});

const isRegistered = ({ record, recordPosition, removedPosition }: Registration): boolean =>
  record !== undefined && recordPosition > removedPosition;

const getInstanceId = (change: InstanceChange): InstanceId =>
  change.kind === 'registered' ? change.record.id : change.instanceId;

const hashDescription = (description: string | undefined): number =>
  description === undefined ? 0 : hashText(description);

/**
 * Registrations of instances. Records of an instance are ordered by process start and sequence, a
 * record and a removal by their store positions, so that the order of arrival does not matter.
 */
export class InstanceRegistry {
  private readonly registrations = new Map<InstanceId, Registration>();

  private readonly inUse = new Map<InstanceId, InstanceRecord>();

  private currentDigest = 0;

  private currentNextPosition: number | undefined;

  private constructor(private readonly clock: Clock) {}

  /** Creates a registry without registrations, before the first read. */
  static create(clock: Clock): InstanceRegistry {
    return new InstanceRegistry(clock);
  }

  /** Store position before which all changes are known; undefined before the first read. */
  get nextPosition(): number | undefined {
    return this.currentNextPosition;
  }

  /** Digest of the registrations; entry VMs with equal digests have the same instances. */
  get digest(): number {
    return this.currentDigest;
  }

  /**
   * Applies records that were read from the store. `renewableUntilMs` is the monotonic time until
   * which instances may renew registrations that expired in an outage; undefined without one.
   */
  applyPage(
    page: StreamPage<InstanceChange>,
    renewableUntilMs: number | undefined,
  ): RegistryUpdate {
    const touched = this.applyRead(page);
    if (renewableUntilMs !== undefined) this.retainMassExpiry(touched, renewableUntilMs);
    return this.finish(touched);
  }

  /**
   * Applies the newest record of each instance; an instance without one was removed. In a store that
   * was restored from a copy, the registration may only be lost until the instance renews it.
   */
  replaceAll(
    page: StreamPage<InstanceChange>,
    renewableUntilMs: number | undefined,
  ): RegistryUpdate {
    const nextPosition = createPosition(page.storeEra, page.nextOffset);
    const isRestored = this.isFormerEra(page.storeEra);
    const unlisted = new Set<InstanceId>();
    this.removeUnlisted(new Set(page.changes.map(getInstanceId)), nextPosition, unlisted);
    const touched = new Set([...unlisted, ...this.applyRead(page)]);
    if (isRestored) {
      const afterRestoreMs = this.calculateRenewalLimitMs();
      this.retainExpired(unlisted, Math.max(renewableUntilMs ?? -Infinity, afterRestoreMs));
    } else if (renewableUntilMs !== undefined) {
      this.retainMassExpiry(touched, renewableUntilMs);
    }
    return this.finish(touched);
  }

  /** Merges some entries of another entry VM. */
  merge(entries: readonly RegistrationEntry[]): RegistryUpdate {
    return this.finish(this.mergeEntries(entries));
  }

  /** Merges the entries of another entry VM that changed at this one's position or later. */
  mergeChangesSince({ nextPosition, digest, entries }: RegistrySnapshot): RegistryUpdate {
    const update = this.merge(entries);
    this.advance(nextPosition, digest);
    return update;
  }

  /**
   * Merges all entries of another entry VM. If it has read a store that was restored from a copy, and
   * this one has not, the other one may not know registrations that the copy has lost.
   */
  mergeSnapshot({ nextPosition, entries }: RegistrySnapshot): RegistryUpdate {
    const isRestored = this.isFormerEra(getEra(nextPosition));
    const touched = this.mergeEntries(entries);
    const unlisted = new Set<InstanceId>();
    this.removeUnlisted(new Set(entries.map(({ id }) => id)), nextPosition, unlisted);
    if (isRestored) this.retainExpired(unlisted, this.calculateRenewalLimitMs());
    this.currentNextPosition = Math.max(this.currentNextPosition ?? 0, nextPosition);
    return this.finish(new Set([...touched, ...unlisted]));
  }

  /** Advances the position when another entry VM has the same registrations at a later one. */
  advance(nextPosition: number, digest: number): void {
    if (this.currentNextPosition === undefined || digest !== this.currentDigest) return;
    this.currentNextPosition = Math.max(this.currentNextPosition, nextPosition);
  }

  /** Ends the use of registrations that were not renewed in time after an outage. */
  removeExpired(): RegistryUpdate {
    const nowMs = this.clock.monotonicMs();
    const touched = new Set<InstanceId>();
    for (const [id, registration] of this.registrations) {
      if (isRegistered(registration)) continue;
      if (this.inUse.has(id)) touched.add(id);
      else if (nowMs - registration.removedAtMs > TOMBSTONE_LIFETIME_MS) {
        this.registrations.delete(id);
      }
    }
    return this.finish(touched);
  }

  /** Lists all registrations; undefined before the first read. */
  createSnapshot(): RegistrySnapshot | undefined {
    return this.listEntries(({ id }) => this.inUse.has(id));
  }

  /** Lists the entries that changed at `position` or later; undefined before the first read. */
  listChangesSince(position: number): RegistrySnapshot | undefined {
    return this.listEntries(({ changedPosition }) => changedPosition >= position);
  }

  private listEntries(
    isListed: (item: Registration & { readonly id: InstanceId }) => boolean,
  ): RegistrySnapshot | undefined {
    if (this.currentNextPosition === undefined) return undefined;
    const entries = [...this.registrations]
      .filter(([id, registration]) => isListed({ ...registration, id }))
      .map(([id, registration]) => this.toEntry(id, registration));
    return { nextPosition: this.currentNextPosition, digest: this.currentDigest, entries };
  }

  private applyRead({
    storeEra,
    changes,
    nextOffset,
  }: StreamPage<InstanceChange>): Set<InstanceId> {
    const touched = new Set<InstanceId>();
    for (const change of changes) {
      this.applyChange(change, createPosition(storeEra, change.offset), touched);
    }
    const nextPosition = createPosition(storeEra, nextOffset);
    this.currentNextPosition = Math.max(this.currentNextPosition ?? 0, nextPosition);
    return touched;
  }

  private applyChange(change: InstanceChange, position: number, touched: Set<InstanceId>): void {
    switch (change.kind) {
      case 'registered':
        this.setRecord(change.record, position, touched);
        return;
      case 'removed':
      case 'unreadable':
        this.setRemoved(change.instanceId, position, -Infinity, touched);
        return;
      default:
        assertNever(change);
    }
  }

  private mergeEntries(entries: readonly RegistrationEntry[]): Set<InstanceId> {
    const touched = new Set<InstanceId>();
    const nowMs = this.clock.monotonicMs();
    for (const { id, record, recordPosition, removedPosition, retainForMs } of entries) {
      if (record !== undefined) this.setRecord(record, recordPosition, touched);
      const retainedUntilMs = retainForMs > 0 ? nowMs + retainForMs : -Infinity;
      this.setRemoved(id, removedPosition, retainedUntilMs, touched);
    }
    return touched;
  }

  private setRecord(record: InstanceRecord, position: number, touched: Set<InstanceId>): void {
    const registration = this.findOrCreate(record.id);
    const former = registration.record;
    const order = former === undefined ? 1 : compareProcessVersions(record, former);
    if (order < 0 || (order === 0 && position <= registration.recordPosition)) return;
    // A store that was restored from a copy holds records again that were removed before.
    const isRemovedInFormerEra =
      !isRegistered(registration) && getEra(registration.removedPosition) < getEra(position);
    if (order === 0 && isRemovedInFormerEra) return;
    const coldUntilMs = this.clock.monotonicMs() + record.coldForMs;
    const coldShiftMs = Math.abs(coldUntilMs - registration.coldUntilMs);
    // Renewals repeat the remaining time, which other entry VMs count down themselves.
    if (record.coldForMs > 0 && coldShiftMs > COLD_TIME_TOLERANCE_MS) {
      registration.hasColdChange = true;
    }
    registration.record = record;
    registration.recordPosition = position;
    registration.coldUntilMs = coldUntilMs;
    touched.add(record.id);
  }

  private setRemoved(
    id: InstanceId,
    position: number,
    retainedUntilMs: number,
    touched: Set<InstanceId>,
  ): void {
    const registration = this.findOrCreate(id);
    if (position < registration.removedPosition || position === NO_POSITION) return;
    // Whoever has ended the use of a removed instance does not resume it because others keep it.
    registration.retainedUntilMs = isRegistered(registration)
      ? retainedUntilMs
      : Math.min(registration.retainedUntilMs, retainedUntilMs);
    registration.removedPosition = position;
    registration.removedAtMs = this.clock.monotonicMs();
    touched.add(id);
  }

  private removeUnlisted(
    listed: ReadonlySet<InstanceId>,
    nextPosition: number,
    touched: Set<InstanceId>,
  ): void {
    for (const [id, registration] of this.registrations) {
      const isCovered = registration.recordPosition < nextPosition;
      if (isCovered && isRegistered(registration) && !listed.has(id)) {
        this.setRemoved(id, nextPosition - 1, -Infinity, touched);
      }
    }
  }

  /**
   * Keeps removed registrations in use while their instances may still renew them. Only an outage
   * removes many of them at once; a few are of instances that have left.
   */
  private retainMassExpiry(touched: ReadonlySet<InstanceId>, renewableUntilMs: number): void {
    if (this.listExpired().length < this.inUse.size * MASS_EXPIRY_SHARE) return;
    this.retainExpired(touched, renewableUntilMs);
  }

  /** Whether what is known was read before the store was restored to the given era. */
  private isFormerEra(storeEra: number): boolean {
    return this.currentNextPosition !== undefined && getEra(this.currentNextPosition) < storeEra;
  }

  /** Monotonic time until which instances renew registrations that a restored store has lost. */
  private calculateRenewalLimitMs(): number {
    return this.clock.monotonicMs() + REGISTRATION_RENEWAL_GRACE_MS;
  }

  private retainExpired(touched: ReadonlySet<InstanceId>, renewableUntilMs: number): void {
    for (const { id } of this.listExpired()) {
      if (touched.has(id)) this.findOrCreate(id).retainedUntilMs = renewableUntilMs;
    }
  }

  /** Instances in use whose registrations are removed, although they had not been draining. */
  private listExpired(): InstanceRecord[] {
    return [...this.inUse.values()].filter(
      ({ id, isDraining }) => !isDraining && !isRegistered(this.findOrCreate(id)),
    );
  }

  /** Updates digest and instances in use after changes of the touched registrations. */
  private finish(touched: ReadonlySet<InstanceId>): RegistryUpdate {
    const changed: InstanceRecord[] = [];
    const removed: InstanceId[] = [];
    const entries: RegistrationEntry[] = [];
    const nowMs = this.clock.monotonicMs();
    for (const id of touched) {
      const registration = this.findOrCreate(id);
      const { record, hasColdChange } = registration;
      if (this.updateDescription(id)) entries.push(this.toEntry(id, registration));
      const former = this.inUse.get(id);
      const isUsed = isRegistered(registration) || registration.retainedUntilMs > nowMs;
      if (record !== undefined && isUsed) {
        this.inUse.set(id, record);
        const hasChanged =
          former === undefined || describeRegistration(former) !== describeRegistration(record);
        if (hasChanged || hasColdChange) changed.push(record);
      } else if (former !== undefined) {
        this.inUse.delete(id);
        removed.push(id);
      }
      registration.hasColdChange = false;
    }
    return { changed, removed, entries };
  }

  /** Updates the digest; returns whether other entry VMs need the change. */
  private updateDescription(id: InstanceId): boolean {
    const registration = this.findOrCreate(id);
    const { record, recordPosition, removedPosition, hasColdChange } = registration;
    const description =
      record !== undefined && isRegistered(registration) ? describeRegistration(record) : undefined;
    if (description === registration.description && !hasColdChange) return false;
    this.currentDigest += hashDescription(description) - hashDescription(registration.description);
    registration.description = description;
    registration.changedPosition = Math.max(recordPosition, removedPosition);
    return true;
  }

  private toEntry(id: InstanceId, registration: Registration): RegistrationEntry {
    const { record, recordPosition, removedPosition, retainedUntilMs, coldUntilMs } = registration;
    const nowMs = this.clock.monotonicMs();
    const retainForMs = isRegistered(registration) ? 0 : Math.max(retainedUntilMs - nowMs, 0);
    if (record === undefined || (!isRegistered(registration) && retainForMs === 0)) {
      return { id, record: undefined, recordPosition: NO_POSITION, removedPosition, retainForMs };
    }
    const coldForMs = Math.max(coldUntilMs - nowMs, 0);
    return { id, record: { ...record, coldForMs }, recordPosition, removedPosition, retainForMs };
  }

  private findOrCreate(id: InstanceId): Registration {
    const known = this.registrations.get(id);
    if (known !== undefined) return known;
    const created = createRegistration();
    this.registrations.set(id, created);
    return created;
  }
}
