import { formatEndpoint, shuffle } from '@bronzelift/common';
import type {
  Clock,
  Endpoint,
  FailureDomainId,
  InstanceId,
  RandomSource,
  ServiceName,
  VmId,
} from '@bronzelift/common';

import {
  FORWARDER_MAX_AGE_MS,
  MAX_INSTANCE_SHARER_RESULTS,
  MAX_OPERATOR_WATCHERS,
  MEMBER_REMOVAL_MS,
  MEMBER_LOST_MS,
  MIN_LISTED_SHARE,
  READER_COUNT,
  STORE_FAILURE_MEMORY_MS,
} from './constants.js';
import type { CallerLocation } from './types.js';
import { hashText } from './utils.js';

/**
 * Why a member sends its status: to its relay, in search of a relay, or so that the receiver knows
 * the member.
 */
export type StatusPurpose = 'report' | 'search' | 'greeting';

/** Status that a member reports in a heartbeat. */
export interface MemberStatus {
  readonly vmId: VmId;
  readonly incarnation: string;
  readonly failureDomainId: FailureDomainId;
  readonly callerEndpoint: Endpoint;
  readonly phase: 'starting' | 'ready' | 'leaving';
  /** Whether the member's latest store call failed within STORE_FAILURE_MEMORY_MS. */
  readonly isStoreFailing: boolean;
  /** Whether the member is an elected reader of the store. */
  readonly isReader: boolean;
  /**
   * Time since the member last read the registrations from the store; NEVER_READ_AGE_MS before its
   * first read.
   */
  readonly storeReadAgeMs: number;
  readonly operatorRevision: number;
  readonly configurationVersion: number;
  readonly instancePosition: number;
  readonly instanceDigest: number;
  /** Whether the member reaches no instances although others do. */
  readonly isCutOff: boolean;
  /** Services whose instances the member does not reach. */
  readonly unreachedServices: readonly ServiceName[];
  /** Digest of the quarantined requests; NO_DIGEST from earlier builds. */
  readonly quarantineDigest: number;
  /**
   * Counts the changes that relays pass on; undefined from earlier builds, which use no relays and
   * have to be heard directly.
   */
  readonly sequence?: number | undefined;
  /** Why the status was sent; undefined from earlier builds. */
  readonly purpose?: StatusPurpose | undefined;
}

/** The part of this entry VM's own status that the table uses. */
export type OwnMember = Pick<
  MemberStatus,
  'vmId' | 'failureDomainId' | 'callerEndpoint' | 'phase' | 'isCutOff'
>;

/** What a member has to fulfill for a request to be forwarded to it. */
export interface ForwarderNeed {
  readonly service: ServiceName;
  readonly minVersion: number;
  /** Regions to which the request may be sent; empty if all are. */
  readonly allowedRegions: readonly string[];
}

/** Another entry VM with its latest status. */
export interface Member {
  readonly status: MemberStatus;
  readonly host: string;
  /** Monotonic time at which it was last known to run, from itself or from a relay. */
  readonly lastHeardAtMs: number;
  /** Monotonic time at which it was last heard itself; -Infinity if it never was. */
  readonly directAtMs: number;
}

/** A member in the table, whose times change with each message. */
type KnownMember = { -readonly [Field in keyof Member]: Member[Field] };

/** Whether a status is older than another one of the same member. */
export const isOlderStatus = (status: MemberStatus, other: MemberStatus): boolean =>
  status.incarnation === other.incarnation
    ? (status.sequence ?? 0) < (other.sequence ?? 0)
    : status.incarnation < other.incarnation;

/** Dependencies of a MemberTable. */
export interface MemberTableOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly regionOfDomain: ReadonlyMap<FailureDomainId, string>;
  readonly own: () => OwnMember;
}

/**
 * Entry VMs known from their heartbeats. Determines which of them read the store, which are listed
 * to callers, and how many share a budget.
 */
export class MemberTable {
  private readonly members = new Map<VmId, KnownMember>();

  /** Results of countInstanceSharers since the last change of the members or their failure domains. */
  private readonly instanceSharers = new Map<string, number>();

  private ownStoreFailureAtMs = -Infinity;

  private readerHeardAtMs = -Infinity;

  private constructor(private readonly options: MemberTableOptions) {}

  static create(options: MemberTableOptions): MemberTable {
    return new MemberTable(options);
  }

  /** Records a heartbeat; returns true if the member or its process is new. */
  recordHeartbeat(status: MemberStatus, host: string): boolean {
    const former = this.members.get(status.vmId);
    if (former?.status.failureDomainId !== status.failureDomainId) this.instanceSharers.clear();
    const nowMs = this.now();
    this.members.set(status.vmId, { status, host, lastHeardAtMs: nowMs, directAtMs: nowMs });
    if (status.isReader) this.recordReader(nowMs);
    return former?.status.incarnation !== status.incarnation;
  }

  /** Records what a relay says of a member, unless the member itself was heard since. */
  recordListed({ status, host }: Pick<Member, 'status' | 'host'>, atMs: number): void {
    const former = this.members.get(status.vmId);
    if (former === undefined) {
      this.instanceSharers.clear();
      this.members.set(status.vmId, {
        status,
        host,
        lastHeardAtMs: atMs,
        directAtMs: -Infinity,
      });
      return;
    }
    const isHeard = this.now() - former.directAtMs < MEMBER_LOST_MS;
    const isSameProcess = former.status.incarnation === status.incarnation;
    const isNews = isSameProcess ? isOlderStatus(former.status, status) : !isHeard;
    const hasMoved = former.status.failureDomainId !== status.failureDomainId;
    if (isNews && hasMoved) this.instanceSharers.clear();
    if (isNews) Object.assign(former, { status, host });
    this.markHeard({ status, host }, atMs);
  }

  /** Records that a relay knew a member to run at the given monotonic time. */
  markHeard({ status, host }: Pick<Member, 'status' | 'host'>, atMs: number): void {
    const former = this.members.get(status.vmId);
    if (former === undefined) this.recordListed({ status, host }, atMs);
    else former.lastHeardAtMs = Math.max(former.lastHeardAtMs, atMs);
  }

  /** Records that a member is known not to run any more. */
  markLost(vmId: VmId): void {
    const former = this.members.get(vmId);
    if (former === undefined) return;
    const lostAtMs = this.now() - MEMBER_LOST_MS - 1;
    former.lastHeardAtMs = Math.min(former.lastHeardAtMs, lostAtMs);
  }

  /** Finds a member, also one without a recent heartbeat. */
  find(vmId: VmId): Member | undefined {
    return this.members.get(vmId);
  }

  /** Records that a reader of the store was known to run at the given monotonic time. */
  recordReader(atMs: number): void {
    this.readerHeardAtMs = Math.max(this.readerHeardAtMs, atMs);
  }

  /** Time since another member that reads the store was known to run; Infinity if none was. */
  get readerAgeMs(): number {
    return this.now() - this.readerHeardAtMs;
  }

  /** Records whether a store call of this entry VM succeeded. */
  recordStoreCall(hasSucceeded: boolean): void {
    this.ownStoreFailureAtMs = hasSucceeded ? -Infinity : this.now();
  }

  /** Whether the latest store call of this entry VM failed recently. */
  get isOwnStoreFailing(): boolean {
    return this.now() - this.ownStoreFailureAtMs < STORE_FAILURE_MEMORY_MS;
  }

  /** Removes members without a heartbeat for a long time, and returns them. */
  removeLost(): Member[] {
    const limitMs = this.now() - MEMBER_REMOVAL_MS;
    const lost = [...this.members.values()].filter(({ lastHeardAtMs }) => lastHeardAtMs < limitMs);
    for (const { status } of lost) this.members.delete(status.vmId);
    if (lost.length > 0) this.instanceSharers.clear();
    return lost;
  }

  /** All members in the table, including those without a recent heartbeat. */
  all(): Member[] {
    return [...this.members.values()];
  }

  /** Members with a recent heartbeat. */
  live(): Member[] {
    const limitMs = this.now() - MEMBER_LOST_MS;
    return [...this.members.values()].filter(({ lastHeardAtMs }) => lastHeardAtMs >= limitMs);
  }

  /**
   * Number of entry VMs that share budgets, including this one; lost members count until they are
   * removed.
   */
  countSharers(): number {
    return this.members.size + 1;
  }

  /**
   * Number of entry VMs, at most `maxSharers`, that share the request rate of an instance; 0 if this
   * one is not among them. They are selected by hash from the entry VMs in the instance's failure
   * domain, or from all entry VMs if there are none in it, so that all members agree without
   * communication.
   */
  countInstanceSharers(
    instanceId: InstanceId,
    failureDomainId: FailureDomainId,
    maxSharers: number,
  ): number {
    // Each search for an instance asks for every instance with a limited rate.
    const key = `${instanceId} ${failureDomainId} ${maxSharers}`;
    const known = this.instanceSharers.get(key);
    if (known !== undefined) return known;
    if (this.instanceSharers.size >= MAX_INSTANCE_SHARER_RESULTS) this.instanceSharers.clear();
    const count = this.calculateInstanceSharers(instanceId, failureDomainId, maxSharers);
    this.instanceSharers.set(key, count);
    return count;
  }

  private calculateInstanceSharers(
    instanceId: InstanceId,
    failureDomainId: FailureDomainId,
    maxSharers: number,
  ): number {
    const own = this.options.own();
    const all = [own, ...this.all().map(({ status }) => status)];
    const inDomain = all.filter((member) => member.failureDomainId === failureDomainId);
    const ranked = (inDomain.length > 0 ? inDomain : all)
      .map(({ vmId }) => ({ vmId, rank: hashText(`${instanceId} ${vmId}`) }))
      .sort((left, right) => left.rank - right.rank)
      .slice(0, Math.max(maxSharers, 1));
    return ranked.some(({ vmId }) => vmId === own.vmId) ? ranked.length : 0;
  }

  /** Whether a recent store call of any member, including this one, failed. */
  isAnyStoreFailing(): boolean {
    return this.isOwnStoreFailing || this.live().some(({ status }) => status.isStoreFailing);
  }

  /**
   * Whether this entry VM is elected to read the store. Every member computes the same order from
   * the ids, so no messages are needed. The readers are in different failure domains if possible.
   * Members that are leaving or whose store calls failed recently come last.
   */
  isElectedReader(): boolean {
    const { vmId } = this.options.own();
    return this.electReaders().includes(vmId);
  }

  /**
   * Whether this entry VM is elected to watch the operators' records: the readers do, and as many
   * others that one remains if `toleratedLosses` members are lost at the same time.
   */
  isElectedWatcher(toleratedLosses: number): boolean {
    const { vmId } = this.options.own();
    const count = Math.min(Math.max(toleratedLosses + 1, READER_COUNT), MAX_OPERATOR_WATCHERS);
    return this.elect(count).includes(vmId);
  }

  /** Elects the members that read the store. */
  electReaders(): VmId[] {
    return this.elect(READER_COUNT);
  }

  private elect(count: number): VmId[] {
    const own = { ...this.options.own(), isStoreFailing: this.isOwnStoreFailing };
    const candidates = [own, ...this.live().map(({ status }) => status)];
    const calculatePenalty = (status: typeof own): number =>
      (status.phase === 'leaving' ? 2 : 0) + (status.isStoreFailing ? 1 : 0);
    const ranked = candidates
      .map((status) => ({ status, penalty: calculatePenalty(status), hash: hashText(status.vmId) }))
      .sort((left, right) => left.penalty - right.penalty || left.hash - right.hash)
      .map(({ status }) => status);
    const elected = ranked.splice(0, 1);
    const [first] = elected;
    while (elected.length < count && ranked.length > 0) {
      const inOtherDomain = ranked.findIndex(
        (status) =>
          calculatePenalty(status) === calculatePenalty(first!) &&
          !elected.some(({ failureDomainId }) => failureDomainId === status.failureDomainId),
      );
      elected.push(...ranked.splice(Math.max(inOtherDomain, 0), 1));
    }
    return elected.map(({ vmId }) => vmId);
  }

  /** Whether a ready member reaches all of the given services. */
  isAnyReaching(services: readonly ServiceName[]): boolean {
    return this.live().some(
      ({ status }) =>
        status.phase === 'ready' &&
        !status.isCutOff &&
        !services.some((service) => status.unreachedServices.includes(service)),
    );
  }

  /** Members that reach a service and can handle a request for it, in random order. */
  selectForwarders({ service, minVersion, allowedRegions }: ForwarderNeed): Member[] {
    const limitMs = this.now() - FORWARDER_MAX_AGE_MS;
    const { regionOfDomain, random } = this.options;
    const suitable = this.live().filter(
      ({ status, lastHeardAtMs }) =>
        lastHeardAtMs >= limitMs &&
        status.phase === 'ready' &&
        !status.isCutOff &&
        !status.unreachedServices.includes(service) &&
        // Relays do not pass on versions; a member that has an older one declines.
        (status.sequence !== undefined || status.configurationVersion >= minVersion) &&
        (allowedRegions.length === 0 ||
          allowedRegions.includes(regionOfDomain.get(status.failureDomainId) ?? '')),
    );
    return shuffle(random, suitable);
  }

  /**
   * Addresses for a caller: the ready members in its failure domain, else in its region, else all.
   * Callers that stay in their failure domain cause no response traffic between domains.
   */
  selectAddresses(location: CallerLocation): Endpoint[] {
    const statuses = [this.options.own(), ...this.live().map(({ status }) => status)];
    const allReady = statuses.filter(({ phase }) => phase === 'ready');
    const reaching = allReady.filter(({ isCutOff }) => !isCutOff);
    const ready = reaching.length > 0 ? reaching : allReady;
    const isInDomain = ({ failureDomainId }: OwnMember): boolean =>
      failureDomainId === location.failureDomainId;
    const allInDomain = ready.filter(isInDomain);
    // A few members would not bear the callers of all others in their failure domain.
    const minInDomain = allReady.filter(isInDomain).length * MIN_LISTED_SHARE;
    const inDomain = allInDomain.length >= minInDomain ? allInDomain : [];
    const inRegion = ready.filter(
      ({ failureDomainId }) => this.options.regionOfDomain.get(failureDomainId) === location.region,
    );
    const selected = [inDomain, inRegion, ready].find(({ length }) => length > 0) ?? [];
    return shuffle(this.options.random, selected).map(({ callerEndpoint }) => callerEndpoint);
  }

  /** Lists the live members on one line for the log. */
  describe(): string {
    return this.live()
      .map(({ status }) => `${status.vmId}@${formatEndpoint(status.callerEndpoint)}`)
      .join(',');
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
