import { formatEndpoint, shuffle } from '@bronzelift/common';
import type {
  Clock,
  Endpoint,
  FailureDomainId,
  InstanceId,
  RandomSource,
  VmId,
} from '@bronzelift/common';

import {
  MEMBER_FORGOTTEN_MS,
  MEMBER_SILENT_MS,
  READER_COUNT,
  READER_FAILURE_MS,
} from './constants.js';
import type { CallerLocation } from './types.js';
import { hashText } from './utils.js';

/** What a member says of itself in a heartbeat. */
export interface MemberStatus {
  readonly vmId: VmId;
  readonly incarnation: string;
  readonly failureDomainId: FailureDomainId;
  readonly callerEndpoint: Endpoint;
  readonly phase: 'starting' | 'ready' | 'leaving';
  /** Its latest call to the store failed within READER_FAILURE_MS. */
  readonly isStoreFailing: boolean;
  /** It reads the store now. */
  readonly isReader: boolean;
  /** Time since it last read the registrations from the store; NEVER_READ_AGE_MS when it never did. */
  readonly storeReadAgeMs: number;
  readonly operatorRevision: number;
  readonly instanceOffset: number;
  readonly instanceDigest: number;
}

/** What the table needs to know of this entry VM itself. */
export type OwnMember = Pick<MemberStatus, 'vmId' | 'failureDomainId' | 'callerEndpoint' | 'phase'>;

/** A member and when it was heard. */
export interface Member {
  readonly status: MemberStatus;
  readonly host: string;
  readonly heardAtMs: number;
}

/** Parameters of a member table. */
export interface MemberTableOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly regionOfDomain: ReadonlyMap<FailureDomainId, string>;
  readonly own: () => OwnMember;
}

/**
 * Who the entry VMs are, by their heartbeats, and what follows from it: which of them read the
 * store, which are named to callers, and between how many a budget is shared.
 */
export class MemberTable {
  private readonly members = new Map<VmId, Member>();

  private ownFailureAtMs = -Infinity;

  private constructor(private readonly options: MemberTableOptions) {}

  /** Creates a table without other members. */
  static create(options: MemberTableOptions): MemberTable {
    return new MemberTable(options);
  }

  /** Notes a heartbeat; true when the member or its process was not known before. */
  hear(status: MemberStatus, host: string): boolean {
    const known = this.members.get(status.vmId);
    this.members.set(status.vmId, { status, host, heardAtMs: this.now() });
    return known?.status.incarnation !== status.incarnation;
  }

  /** Notes the result of a call of this entry VM to the store. */
  noteStoreCall(hasSucceeded: boolean): void {
    this.ownFailureAtMs = hasSucceeded ? -Infinity : this.now();
  }

  /** Whether this entry VM could not reach the store lately. */
  get isOwnStoreFailing(): boolean {
    return this.now() - this.ownFailureAtMs < READER_FAILURE_MS;
  }

  /** Forgets members that were silent for long; returns them. */
  forgetSilent(): Member[] {
    const limitMs = this.now() - MEMBER_FORGOTTEN_MS;
    const forgotten = [...this.members.values()].filter(({ heardAtMs }) => heardAtMs < limitMs);
    for (const { status } of forgotten) this.members.delete(status.vmId);
    return forgotten;
  }

  /** All members that are not forgotten. */
  all(): Member[] {
    return [...this.members.values()];
  }

  /** Members heard lately. */
  live(): Member[] {
    const limitMs = this.now() - MEMBER_SILENT_MS;
    return [...this.members.values()].filter(({ heardAtMs }) => heardAtMs >= limitMs);
  }

  /** Entry VMs among which budgets are shared, this one included; silent ones count for a while. */
  countSharers(): number {
    return this.members.size + 1;
  }

  /**
   * Number of entry VMs that share the cold limit of an instance; 0 when this one is not among
   * them. They are chosen by hash among those in the instance's failure domain, or among all when
   * it has none, so that all members agree without asking each other.
   */
  countColdSharers(
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

  /** Latest time at which another member that reads the store was heard. */
  readerHeardAtMs(): number {
    let latestMs = -Infinity;
    for (const { status, heardAtMs } of this.members.values()) {
      if (status.isReader) latestMs = Math.max(latestMs, heardAtMs);
    }
    return latestMs;
  }

  /** Whether any member, this one included, could not reach the store lately. */
  isAnyStoreFailing(): boolean {
    return this.isOwnStoreFailing || this.live().some(({ status }) => status.isStoreFailing);
  }

  /**
   * Whether this entry VM is to read the store for all. Every member computes the same order from
   * the ids; readers are in different failure domains if possible. Members that leave or that could
   * not reach the store lately come last.
   */
  isElectedReader(): boolean {
    const { vmId } = this.options.own();
    return this.electReaders().includes(vmId);
  }

  /** The members that are to read the store. */
  electReaders(): VmId[] {
    const own = { ...this.options.own(), isStoreFailing: this.isOwnStoreFailing };
    const candidates = [own, ...this.live().map(({ status }) => status)];
    const penaltyOf = (status: typeof own): number =>
      (status.phase === 'leaving' ? 2 : 0) + (status.isStoreFailing ? 1 : 0);
    const ranked = candidates.sort(
      (left, right) =>
        penaltyOf(left) - penaltyOf(right) || hashText(left.vmId) - hashText(right.vmId),
    );
    const [first, ...rest] = ranked;
    if (first === undefined) return [];
    const elsewhere = rest.find(
      (status) =>
        status.failureDomainId !== first.failureDomainId && penaltyOf(status) === penaltyOf(first),
    );
    const others = [elsewhere, ...rest].filter((status) => status !== undefined);
    return [first, ...new Set(others)].slice(0, READER_COUNT).map(({ vmId }) => vmId);
  }

  /**
   * Addresses for a caller: the ready members in its failure domain, else in its region, else all.
   * Callers that keep to their domain keep answers off the links between domains.
   */
  addressesFor(location: CallerLocation): Endpoint[] {
    const statuses = [this.options.own(), ...this.live().map(({ status }) => status)];
    const ready = statuses.filter(({ phase }) => phase === 'ready');
    const inDomain = ready.filter(
      ({ failureDomainId }) => failureDomainId === location.failureDomainId,
    );
    const inRegion = ready.filter(
      ({ failureDomainId }) => this.options.regionOfDomain.get(failureDomainId) === location.region,
    );
    const named = [inDomain, inRegion, ready].find(({ length }) => length > 0) ?? [];
    return shuffle(this.options.random, named).map(({ callerEndpoint }) => callerEndpoint);
  }

  /** One line on the members for the log. */
  describe(): string {
    return this.live()
      .map(({ status }) => `${status.vmId}@${formatEndpoint(status.callerEndpoint)}`)
      .join(',');
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
