import { assertNever } from '@bronzelift/common';
import type { Clock, FailureDomainId, InstanceId } from '@bronzelift/common';

import { LAPSE_GRACE_MS, TOMBSTONE_MS } from './constants.js';
import { RouteTable } from './routeTable.js';
import type {
  GatewayConfiguration,
  InstanceChange,
  InstanceRecord,
  OperatorChange,
  StreamPage,
} from './types.js';
import { digestInstances } from './utils.js';

/** Operators' state as it is exchanged between entry VMs. */
export interface OperatorSnapshot {
  /** Offset after the last record that changed something; orders snapshots. */
  readonly revision: number;
  readonly nextOffset: number;
  readonly configuration: GatewayConfiguration | undefined;
  readonly domainsOut: readonly FailureDomainId[];
}

/** Registrations as they are exchanged between entry VMs; `coldForMs` counts from the sending. */
export interface InstanceSnapshot {
  readonly nextOffset: number;
  readonly instances: readonly InstanceRecord[];
}

/** Difference between two sets of registrations. */
export interface InstanceDelta {
  readonly fromDigest: number;
  readonly toDigest: number;
  readonly nextOffset: number;
  readonly changed: readonly InstanceRecord[];
  readonly removed: readonly InstanceId[];
}

/** What the listeners of a control state are told. */
export interface ControlStateListener {
  readonly onConfiguration: (configuration: GatewayConfiguration) => void;
  readonly onDomains: (domainsOut: readonly FailureDomainId[]) => void;
  readonly onInstances: (
    changed: readonly InstanceRecord[],
    removed: readonly InstanceId[],
  ) => void;
  /** A record that names nothing to use. */
  readonly onUnreadable: (key: string, problem: string) => void;
}

interface KnownInstance {
  readonly record: InstanceRecord;
  readonly coldUntilMs: number;
}

/** Registration of a process that was removed; older records of it are ignored. */
interface Tombstone {
  readonly startedAtWallMs: number;
  readonly sequence: number;
  /** Monotonic time of the removal. */
  readonly removedAtMs: number;
}

const isOlder = (
  record: InstanceRecord,
  than: Pick<Tombstone, 'startedAtWallMs' | 'sequence'>,
): boolean =>
  record.startedAtWallMs < than.startedAtWallMs ||
  (record.startedAtWallMs === than.startedAtWallMs && record.sequence < than.sequence);

const isSubstantive = (record: InstanceRecord, known: InstanceRecord | undefined): boolean =>
  known === undefined ||
  known.startedAtWallMs !== record.startedAtWallMs ||
  known.isDraining !== record.isDraining ||
  known.service !== record.service ||
  known.slots !== record.slots ||
  known.endpoint.host !== record.endpoint.host ||
  known.endpoint.port !== record.endpoint.port;

/**
 * What this entry VM believes of configuration, failure domains and instances. Both streams are
 * folded in the order of their offsets and never go back within a process.
 */
export class ControlState {
  private currentConfiguration: GatewayConfiguration | undefined;

  private currentRoutes = RouteTable.create([]);

  private operatorRevision = 0;

  private operatorOffset = 0;

  private domainsOut = new Set<FailureDomainId>();

  private readonly known = new Map<InstanceId, KnownInstance>();

  private readonly tombstones = new Map<InstanceId, Tombstone>();

  /** Removals that wait for the end of the grace after an outage, with its monotonic time. */
  private readonly deferredRemovals = new Map<InstanceId, number>();

  private instanceOffset: number | undefined;

  private currentDigest = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly listener: ControlStateListener,
  ) {}

  /** Creates a state in which nothing is known. */
  static create(clock: Clock, listener: ControlStateListener): ControlState {
    return new ControlState(clock, listener);
  }

  get configuration(): GatewayConfiguration | undefined {
    return this.currentConfiguration;
  }

  get routes(): RouteTable {
    return this.currentRoutes;
  }

  /** Whether configuration and registrations are known. */
  get isComplete(): boolean {
    return this.currentConfiguration !== undefined && this.instanceOffset !== undefined;
  }

  get revision(): number {
    return this.operatorRevision;
  }

  /** Offset from which to go on in the operators' stream; undefined before the first read. */
  get nextOperatorOffset(): number | undefined {
    return this.operatorRevision === 0 ? undefined : this.operatorOffset;
  }

  /** Offset from which to go on in the registrations; undefined before the first read. */
  get nextInstanceOffset(): number | undefined {
    return this.instanceOffset;
  }

  /** Digest of the registrations, to compare with those of other entry VMs. */
  get digest(): number {
    return this.currentDigest;
  }

  /** Whether operators took a failure domain out of service. */
  isDomainOut(failureDomainId: FailureDomainId): boolean {
    return this.domainsOut.has(failureDomainId);
  }

  /** Applies records that follow those applied before. */
  applyOperatorChanges(page: StreamPage<OperatorChange>): void {
    if (page.nextOffset < this.operatorOffset) return;
    let hasDomainChange = false;
    for (const change of page.changes) {
      switch (change.kind) {
        case 'configuration':
          this.setConfiguration(change.configuration);
          break;
        case 'domain-out':
          this.domainsOut.add(change.failureDomainId);
          hasDomainChange = true;
          break;
        case 'domain-in':
          this.domainsOut.delete(change.failureDomainId);
          hasDomainChange = true;
          break;
        case 'unreadable':
          this.listener.onUnreadable(change.key, change.problem);
          break;
        default:
          assertNever(change);
      }
    }
    this.operatorOffset = page.nextOffset;
    if (page.changes.length > 0 || this.operatorRevision === 0) {
      // Read at all counts as 1, so that a stream without records differs from an unread one.
      this.operatorRevision = page.nextOffset + 1;
    }
    if (hasDomainChange) this.listener.onDomains([...this.domainsOut]);
  }

  /** Replaces the operators' state by the newest record of each key. */
  replaceOperatorState(page: StreamPage<OperatorChange>): void {
    if (page.nextOffset < this.operatorOffset) return;
    this.domainsOut = new Set();
    this.applyOperatorChanges(page);
    this.listener.onDomains([...this.domainsOut]);
  }

  /**
   * Applies registrations that follow those applied before. Removals are deferred for a while when
   * the store was away until just now. Returns the difference for the other entry VMs.
   */
  applyInstanceChanges(page: StreamPage<InstanceChange>, isAfterOutage: boolean): InstanceDelta {
    return this.changeInstances(page.nextOffset, (changed, removed) => {
      for (const change of page.changes)
        this.applyInstance(change, isAfterOutage, changed, removed);
    });
  }

  /** Replaces the registrations by the newest record of each key. */
  replaceInstances(page: StreamPage<InstanceChange>, isAfterOutage: boolean): InstanceDelta {
    const listed = new Set(
      page.changes.flatMap((change) => (change.kind === 'registered' ? [change.record.id] : [])),
    );
    return this.changeInstances(page.nextOffset, (changed, removed) => {
      for (const change of page.changes)
        this.applyInstance(change, isAfterOutage, changed, removed);
      for (const id of [...this.known.keys()]) {
        if (!listed.has(id)) this.remove(id, isAfterOutage, removed);
      }
    });
  }

  /** Carries out deferred removals that are due; undefined when there are none. */
  applyDueRemovals(): InstanceDelta | undefined {
    const nowMs = this.clock.monotonicMs();
    for (const [id, { removedAtMs }] of this.tombstones) {
      if (nowMs - removedAtMs > TOMBSTONE_MS) this.tombstones.delete(id);
    }
    const due = [...this.deferredRemovals].filter(([, atMs]) => atMs <= nowMs).map(([id]) => id);
    if (due.length === 0) return undefined;
    return this.changeInstances(this.instanceOffset ?? 0, (_changed, removed) => {
      for (const id of due) this.remove(id, false, removed);
    });
  }

  /** Applies a difference from another entry VM; false when it starts from another set. */
  applyDelta(delta: InstanceDelta): boolean {
    if (this.instanceOffset === undefined) return false;
    const isSameSet = delta.toDigest === this.currentDigest;
    if (delta.nextOffset < this.instanceOffset) return isSameSet;
    if (delta.fromDigest !== this.currentDigest && !isSameSet) return false;
    // A peer's difference may skip records that would bring lapsed instances back here.
    const isWaiting = this.deferredRemovals.size > 0;
    const nextOffset = isWaiting ? this.instanceOffset : delta.nextOffset;
    this.changeInstances(nextOffset, (changed, removed) => {
      for (const record of delta.changed) this.register(record, changed);
      for (const id of delta.removed) this.remove(id, false, removed);
    });
    return this.currentDigest === delta.toDigest;
  }

  /** Moves the offset on when another entry VM has the same registrations further on. */
  confirmInstances(nextOffset: number, digest: number): void {
    if (this.instanceOffset === undefined || digest !== this.currentDigest) return;
    // A record that brings a lapsed instance back does not change the digest and has to be read.
    if (this.deferredRemovals.size > 0) return;
    this.instanceOffset = Math.max(this.instanceOffset, nextOffset);
  }

  /** State for another entry VM. */
  operatorSnapshot(): OperatorSnapshot {
    return {
      revision: this.operatorRevision,
      nextOffset: this.operatorOffset,
      configuration: this.currentConfiguration,
      domainsOut: [...this.domainsOut],
    };
  }

  /** Registrations for another entry VM; undefined before the first read. */
  instanceSnapshot(): InstanceSnapshot | undefined {
    if (this.instanceOffset === undefined) return undefined;
    const nowMs = this.clock.monotonicMs();
    const instances = [...this.known.values()].map(({ record, coldUntilMs }) => ({
      ...record,
      coldForMs: Math.max(coldUntilMs - nowMs, 0),
    }));
    return { nextOffset: this.instanceOffset, instances };
  }

  /** Takes over the operators' state of another entry VM if it is newer. */
  adoptOperatorSnapshot(snapshot: OperatorSnapshot): boolean {
    if (snapshot.revision <= this.operatorRevision) return false;
    this.operatorRevision = snapshot.revision;
    this.operatorOffset = Math.max(this.operatorOffset, snapshot.nextOffset);
    this.domainsOut = new Set(snapshot.domainsOut);
    if (snapshot.configuration !== undefined) this.setConfiguration(snapshot.configuration);
    this.listener.onDomains(snapshot.domainsOut);
    return true;
  }

  /** Takes over the registrations of another entry VM if they are newer. */
  adoptInstanceSnapshot(snapshot: InstanceSnapshot): boolean {
    if (this.instanceOffset !== undefined && snapshot.nextOffset < this.instanceOffset)
      return false;
    const listed = new Set(snapshot.instances.map(({ id }) => id));
    this.changeInstances(snapshot.nextOffset, (changed, removed) => {
      for (const record of snapshot.instances) this.register(record, changed);
      for (const id of [...this.known.keys()]) if (!listed.has(id)) this.remove(id, false, removed);
    });
    return true;
  }

  private setConfiguration(configuration: GatewayConfiguration): void {
    this.currentConfiguration = configuration;
    this.currentRoutes = RouteTable.create(configuration.routes);
    this.listener.onConfiguration(configuration);
  }

  private changeInstances(
    nextOffset: number,
    apply: (changed: InstanceRecord[], removed: InstanceId[]) => void,
  ): InstanceDelta {
    const fromDigest = this.currentDigest;
    const touched: InstanceRecord[] = [];
    const dropped: InstanceId[] = [];
    apply(touched, dropped);
    // One page may hold several records of an instance; only the last state counts.
    const touchedIds = new Set(touched.map(({ id }) => id));
    const changed = [...touchedIds].flatMap((id) => this.known.get(id)?.record ?? []);
    const removed = [...new Set(dropped)].filter((id) => !this.known.has(id));
    this.instanceOffset = Math.max(this.instanceOffset ?? 0, nextOffset);
    if (changed.length > 0 || removed.length > 0) {
      this.currentDigest = digestInstances([...this.known.values()].map(({ record }) => record));
      this.listener.onInstances(changed, removed);
    }
    return {
      fromDigest,
      toDigest: this.currentDigest,
      nextOffset: this.instanceOffset,
      changed,
      removed,
    };
  }

  private applyInstance(
    change: InstanceChange,
    isAfterOutage: boolean,
    changed: InstanceRecord[],
    removed: InstanceId[],
  ): void {
    switch (change.kind) {
      case 'registered':
        this.register(change.record, changed);
        return;
      case 'removed':
        this.remove(change.instanceId, isAfterOutage, removed);
        return;
      case 'unreadable':
        this.listener.onUnreadable(change.instanceId, change.problem);
        this.remove(change.instanceId, false, removed);
        this.tombstones.delete(change.instanceId);
        return;
      default:
        assertNever(change);
    }
  }

  private register(record: InstanceRecord, changed: InstanceRecord[]): void {
    const known = this.known.get(record.id);
    if (known !== undefined && isOlder(record, known.record)) return;
    const tombstone = this.tombstones.get(record.id);
    if (tombstone !== undefined) {
      const isRepeat =
        record.startedAtWallMs === tombstone.startedAtWallMs &&
        record.sequence === tombstone.sequence;
      if (isRepeat || isOlder(record, tombstone)) return;
    }
    this.tombstones.delete(record.id);
    this.deferredRemovals.delete(record.id);
    const coldUntilMs = this.clock.monotonicMs() + record.coldForMs;
    this.known.set(record.id, { record, coldUntilMs });
    if (isSubstantive(record, known?.record) || record.coldForMs > 0) changed.push(record);
  }

  private remove(id: InstanceId, isAfterOutage: boolean, removed: InstanceId[]): void {
    const known = this.known.get(id);
    if (known === undefined) return;
    if (isAfterOutage && !known.record.isDraining) {
      const dueAtMs = this.clock.monotonicMs() + LAPSE_GRACE_MS;
      if (!this.deferredRemovals.has(id)) this.deferredRemovals.set(id, dueAtMs);
      return;
    }
    this.deferredRemovals.delete(id);
    this.known.delete(id);
    const { startedAtWallMs, sequence } = known.record;
    const removedAtMs = this.clock.monotonicMs();
    this.tombstones.set(id, { startedAtWallMs, sequence, removedAtMs });
    removed.push(id);
  }
}
