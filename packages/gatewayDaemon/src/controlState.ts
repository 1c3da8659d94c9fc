import { assertNever } from '@bronzelift/common';
import type { Clock, FailureDomainId, InstanceId } from '@bronzelift/common';

import { NO_VERSION, REGISTRATION_RENEWAL_GRACE_MS } from './constants.js';
import { DomainsOut } from './domainsOut.js';
import type { DomainsOutSnapshot } from './domainsOut.js';
import { InstanceRegistry } from './instanceRegistry.js';
import type { RegistrationEntry, RegistrySnapshot, RegistryUpdate } from './instanceRegistry.js';
import { RouteTable } from './routeTable.js';
import { createPosition, getEra } from './storePosition.js';
import type {
  GatewayConfiguration,
  InstanceChange,
  InstanceRecord,
  OperatorChange,
  StreamPage,
} from './types.js';

/**
 * The configuration, and the failure domains that are out of service, as entry VMs exchange them.
 */
export interface OperatorSnapshot extends DomainsOutSnapshot {
  /**
   * The position after the last record that changed something, plus 1; a snapshot with a higher
   * revision is newer.
   */
  readonly revision: number;
  /** Store position at which to continue reading. */
  readonly nextOffset: number;
  readonly configuration: GatewayConfiguration | undefined;
}

/** Where a change of the registrations came from. */
export type InstanceChangeSource = 'store' | 'peer-changes' | 'peer-state' | 'renewal-timeout';

/** Callbacks for changes of a ControlState. */
export interface ControlStateListener {
  readonly onConfiguration: (configuration: GatewayConfiguration) => void;
  readonly onDomains: (domainsOut: readonly FailureDomainId[]) => void;
  readonly onInstances: (
    changed: readonly InstanceRecord[],
    removed: readonly InstanceId[],
    source: InstanceChangeSource,
  ) => void;
  /** Called for removed registrations that stay in use because they may have expired in an outage. */
  readonly onRetained: (entries: readonly RegistrationEntry[]) => void;
  /** Called for a record that could not be decoded. */
  readonly onUnreadable: (key: string, problem: string) => void;
}

/**
 * This entry VM's copy of the configuration, of the failure domains that are out of service, and of
 * the registered instances. Neither part goes back to an earlier state while the process runs.
 */
export class ControlState {
  private currentConfiguration: GatewayConfiguration | undefined;

  private currentRoutes = RouteTable.create([]);

  private operatorRevision = 0;

  private operatorPosition = 0;

  private readonly domainsOut: DomainsOut;

  private readonly registry: InstanceRegistry;

  private constructor(
    private readonly clock: Clock,
    private readonly listener: ControlStateListener,
  ) {
    this.domainsOut = DomainsOut.create(clock);
    this.registry = InstanceRegistry.create(clock);
  }

  /** Creates a state without configuration and registrations. */
  static create(clock: Clock, listener: ControlStateListener): ControlState {
    return new ControlState(clock, listener);
  }

  get configuration(): GatewayConfiguration | undefined {
    return this.currentConfiguration;
  }

  get routes(): RouteTable {
    return this.currentRoutes;
  }

  /** Whether a configuration and a first read of the registrations have been applied. */
  get isComplete(): boolean {
    return this.currentConfiguration !== undefined && this.registry.nextPosition !== undefined;
  }

  /** Version of the configuration; NO_VERSION without one. */
  get configurationVersion(): number {
    return this.currentConfiguration?.version ?? NO_VERSION;
  }

  get revision(): number {
    return this.operatorRevision;
  }

  /** Position at which to continue reading the operators' stream; undefined before the first read. */
  get nextOperatorPosition(): number | undefined {
    return this.operatorRevision === 0 ? undefined : this.operatorPosition;
  }

  /** Position at which to continue reading the registrations; undefined before the first read. */
  get nextInstancePosition(): number | undefined {
    return this.registry.nextPosition;
  }

  /** Digest of the registrations; entry VMs with equal digests have the same instances. */
  get digest(): number {
    return this.registry.digest;
  }

  isDomainOut(failureDomainId: FailureDomainId): boolean {
    return this.domainsOut.has(failureDomainId);
  }

  /**
   * Applies new records of the operators' stream; a page before the applied position is ignored.
   */
  applyOperatorChanges(page: StreamPage<OperatorChange>): void {
    const nextPosition = createPosition(page.storeEra, page.nextOffset);
    if (nextPosition < this.operatorPosition) return;
    let hasDomainChange = false;
    for (const change of page.changes) {
      switch (change.kind) {
        case 'configuration':
          this.setConfiguration(change.configuration);
          break;
        case 'domain-out':
        case 'domain-in':
          this.domainsOut.set(change.failureDomainId, change.kind === 'domain-out');
          hasDomainChange = true;
          break;
        case 'unreadable':
          this.listener.onUnreadable(change.key, change.problem);
          break;
        default:
          assertNever(change);
      }
    }
    this.advanceOperatorPosition(nextPosition, page.changes.length > 0);
    if (hasDomainChange) this.listener.onDomains(this.domainsOut.list());
  }

  /**
   * Replaces the operators' state by the newest record of each key, after records have expired. A
   * store that was restored from a copy may hold older records than the known ones until the
   * operators have written these again.
   */
  replaceOperatorState(page: StreamPage<OperatorChange>): void {
    const nextPosition = createPosition(page.storeEra, page.nextOffset);
    if (nextPosition < this.operatorPosition) return;
    const domainsOut = page.changes.flatMap((change) =>
      change.kind === 'domain-out' ? change.failureDomainId : [],
    );
    if (this.operatorRevision > 0 && page.storeEra > getEra(this.operatorPosition)) {
      const untilMs = this.clock.monotonicMs() + REGISTRATION_RENEWAL_GRACE_MS;
      this.domainsOut.replaceLater(domainsOut, untilMs);
      const isDomainChange = ({ kind }: OperatorChange): boolean =>
        kind === 'domain-out' || kind === 'domain-in';
      const others = page.changes.filter((change) => !isDomainChange(change));
      this.applyOperatorChanges({ ...page, changes: others });
      // A new era counts as a change, so that the other entry VMs take over its position.
      this.advanceOperatorPosition(nextPosition, true);
      return;
    }
    this.domainsOut.replace(domainsOut);
    this.applyOperatorChanges(page);
    this.listener.onDomains(this.domainsOut.list());
  }

  /**
   * Applies new records of the registration stream; returns the entries for the other entry VMs.
   * `renewableUntilMs` is the monotonic time until which registrations that expired in an outage
   * may be renewed; undefined without an outage.
   */
  applyInstanceChanges(
    page: StreamPage<InstanceChange>,
    renewableUntilMs: number | undefined,
  ): readonly RegistrationEntry[] {
    this.reportUnreadable(page);
    return this.report('store', this.registry.applyPage(page, renewableUntilMs));
  }

  /** Replaces the registrations by the newest record of each key, after records have expired. */
  replaceInstances(
    page: StreamPage<InstanceChange>,
    renewableUntilMs: number | undefined,
  ): readonly RegistrationEntry[] {
    this.reportUnreadable(page);
    return this.report('store', this.registry.replaceAll(page, renewableUntilMs));
  }

  /**
   * Ends the use of registrations that were not renewed in time after an outage, and takes over what
   * a restored store says of failure domains.
   */
  removeExpired(): void {
    this.report('renewal-timeout', this.registry.removeExpired());
    if (this.domainsOut.settle()) this.listener.onDomains(this.domainsOut.list());
  }

  /** Merges changed registrations of another entry VM. */
  mergeInstanceChanges(entries: readonly RegistrationEntry[]): void {
    // Without a first read, the registrations between these changes would be missing.
    if (this.registry.nextPosition === undefined) return;
    this.report('peer-changes', this.registry.merge(entries));
  }

  /** Merges the registrations that another entry VM lists as changed since this one's position. */
  mergeInstanceChangesSince(changes: RegistrySnapshot): void {
    this.report('peer-state', this.registry.mergeChangesSince(changes));
  }

  /** Merges all registrations of another entry VM. */
  mergeInstanceSnapshot(snapshot: RegistrySnapshot): void {
    this.report('peer-state', this.registry.mergeSnapshot(snapshot));
  }

  /** Advances the position when another entry VM has the same registrations at a later one. */
  advanceInstancePosition(nextPosition: number, digest: number): void {
    this.registry.advance(nextPosition, digest);
  }

  /** Lists all registrations for another entry VM; undefined before the first read. */
  createInstanceSnapshot(): RegistrySnapshot | undefined {
    return this.registry.createSnapshot();
  }

  /** Lists the registrations that changed at `position` or later; undefined before the first read. */
  listInstanceChangesSince(position: number): RegistrySnapshot | undefined {
    return this.registry.listChangesSince(position);
  }

  /** Creates the operators' state to send to another entry VM. */
  createOperatorSnapshot(): OperatorSnapshot {
    return {
      revision: this.operatorRevision,
      nextOffset: this.operatorPosition,
      configuration: this.currentConfiguration,
      ...this.domainsOut.createSnapshot(),
    };
  }

  /** Takes over the parts of another entry VM's operators' state that are newer. */
  adoptOperatorSnapshot(snapshot: OperatorSnapshot): boolean {
    const hasSetConfiguration =
      snapshot.configuration !== undefined && this.setConfiguration(snapshot.configuration);
    if (snapshot.revision <= this.operatorRevision) return hasSetConfiguration;
    this.operatorRevision = snapshot.revision;
    this.operatorPosition = Math.max(this.operatorPosition, snapshot.nextOffset);
    this.domainsOut.adopt(snapshot);
    this.listener.onDomains(this.domainsOut.list());
    return true;
  }

  private advanceOperatorPosition(nextPosition: number, hasChanges: boolean): void {
    this.operatorPosition = nextPosition;
    // An empty stream that was read has revision 1, to distinguish it from an unread one.
    if (hasChanges || this.operatorRevision === 0) this.operatorRevision = nextPosition + 1;
  }

  /** Applies a configuration unless it is older than the current one, as in a restored store. */
  private setConfiguration(configuration: GatewayConfiguration): boolean {
    if (configuration.version <= this.configurationVersion) return false;
    this.currentConfiguration = configuration;
    this.currentRoutes = RouteTable.create(configuration.routes);
    this.listener.onConfiguration(configuration);
    return true;
  }

  private report(
    source: InstanceChangeSource,
    { changed, removed, entries }: RegistryUpdate,
  ): readonly RegistrationEntry[] {
    const retained = entries.filter(({ retainForMs }) => retainForMs > 0);
    if (retained.length > 0) this.listener.onRetained(retained);
    if (changed.length > 0 || removed.length > 0) {
      this.listener.onInstances(changed, removed, source);
    }
    return entries;
  }

  private reportUnreadable({ changes }: StreamPage<InstanceChange>): void {
    for (const change of changes) {
      if (change.kind === 'unreadable') {
        this.listener.onUnreadable(change.instanceId, change.problem);
      }
    }
  }
}
