import { isSameMember } from '@bronzelift/common';
import type { Clock, MemberId } from '@bronzelift/common';

import { FRESHNESS_MS, LEASE_MS, MAX_FORMER_MEMBERS, PAUSE_MS } from './constants.js';
import { EpochHistory } from './epochHistory.js';
import type { GoneReason, KnownCounters, PeerReport, Roster, RosterMember } from './types.js';
import { formatGone, isAtMost, memberKey, quorumOf, thatManyLatest } from './utils.js';

/** Times at which the heartbeats were sent to which a peer gave its latest confirmations. */
interface Confirmations {
  leaseSentAtMs: number;
  freshSentAtMs: number;
}

/** Result of adopting a roster. */
export interface Adoption {
  /** False when the roster is not newer than the one known; nothing changed then. */
  readonly isAdopted: boolean;
  /** False when epochs between the former and the new one are unknown; no slot is retained then. */
  readonly isContiguous: boolean;
}

/**
 * Whether this start of the entry daemon may use backend slots: member lease, epoch settlement and
 * freshness of the configuration (design 5.1 and 5.3). All of it is soft state. A process that joins
 * again under a new incarnation creates a new object.
 */
export class MemberLease {
  private roster: Roster | undefined;

  private readonly history = EpochHistory.create();

  private readonly confirmations = new Map<string, Confirmations>();

  /** Former members, with the last epoch in which they were listed. */
  private readonly formerMembers = new Map<string, number>();

  private counters: KnownCounters = { epoch: 0, configurationVersion: 0, drainRevision: 0 };

  private logReadStartedAtMs = -Infinity;

  /** Messages sent before this time confirm nothing. */
  private validFromMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly self: RosterMember,
  ) {}

  /** Creates a lease that is not held; `self` is this start of the entry daemon. */
  static create(clock: Clock, self: RosterMember): MemberLease {
    return new MemberLease(clock, self);
  }

  /** Epoch of the adopted roster, 0 before the first. */
  get epoch(): number {
    return this.counters.epoch;
  }

  /** Adopted roster; undefined before the first. */
  get currentRoster(): Roster | undefined {
    return this.roster;
  }

  /**
   * Adopts a newer roster. Call it for every epoch in order, also while replaying the log; epochs
   * left out count as unknown until a peer reports them settled.
   */
  adoptRoster(roster: Roster): Adoption {
    if (roster.epoch <= this.epoch) return { isAdopted: false, isContiguous: true };
    const nowMs = this.clock.monotonicMs();
    const former = this.roster;
    this.history.recordReport(this.self, roster.epoch, 0, nowMs);
    const isContiguous = this.history.advance(former, roster, nowMs);
    this.roster = roster;
    this.counters = { ...this.counters, epoch: roster.epoch };
    this.rememberFormer(former, roster);
    this.recordOwnFormerStarts(roster);
    return { isAdopted: true, isContiguous };
  }

  /** Takes the counters of the configuration that this member has adopted. */
  recordCounters(counters: Omit<KnownCounters, 'epoch'>): void {
    this.counters = { ...counters, epoch: this.epoch };
  }

  /** Whether to grant the lease to a sender: only when its epoch is not older than ours. */
  shouldGrant(senderEpoch: number): boolean {
    return senderEpoch >= this.epoch;
  }

  /** Takes what a peer says about itself, from its heartbeat or a response. */
  recordReport(peer: MemberId, report: PeerReport): void {
    const nowMs = this.clock.monotonicMs();
    this.history.recordReport(peer, report.epoch, report.settledEpoch, nowMs);
  }

  /**
   * Takes the response of a peer to a heartbeat that was sent at `sentAtMs` (monotonic). A response
   * to a heartbeat sent before a pause confirms nothing.
   */
  recordResponse(
    peer: MemberId,
    sentAtMs: number,
    report: PeerReport,
    isLeaseGranted: boolean,
  ): void {
    this.recordReport(peer, report);
    if (sentAtMs < this.validFromMs) return;
    const key = memberKey(peer);
    const known = this.confirmations.get(key) ?? {
      leaseSentAtMs: -Infinity,
      freshSentAtMs: -Infinity,
    };
    if (isLeaseGranted) known.leaseSentAtMs = Math.max(known.leaseSentAtMs, sentAtMs);
    if (isAtMost(report, this.counters)) {
      known.freshSentAtMs = Math.max(known.freshSentAtMs, sentAtMs);
    }
    this.confirmations.set(key, known);
  }

  /** Takes proof that a member has stopped. Returns a sentence for the log, or undefined if known. */
  recordGone(member: MemberId, reason: GoneReason): string | undefined {
    if (isSameMember(member, this.self) || this.history.isConfirmedGone(member)) return undefined;
    this.history.recordGone(member, this.clock.monotonicMs());
    return formatGone(member, reason);
  }

  /** Takes a successful read of the log that was started at `startedAtMs` (monotonic). */
  recordLogRead(startedAtMs: number): void {
    this.logReadStartedAtMs = Math.max(this.logReadStartedAtMs, startedAtMs);
  }

  /** Takes an event loop gap; one above 500 ms ends lease and freshness until confirmed again. */
  observeLoopGap(gapMs: number): void {
    if (gapMs > PAUSE_MS) this.validFromMs = this.clock.monotonicMs();
  }

  /** Milliseconds for which the lease is still held; 0 when it is not. */
  leaseRemainingMs(): number {
    return this.remainingMs('leaseSentAtMs', LEASE_MS);
  }

  /** Whether the lease is held. */
  isLeaseHeld(): boolean {
    return this.leaseRemainingMs() > 0;
  }

  /** Milliseconds for which the known configuration may be acted on; 0 when it may not. */
  freshnessRemainingMs(): number {
    const nowMs = this.clock.monotonicMs();
    const isLogReadValid = this.logReadStartedAtMs >= this.validFromMs;
    const byLogMs = isLogReadValid ? this.logReadStartedAtMs + FRESHNESS_MS - nowMs : 0;
    return Math.max(0, byLogMs, this.remainingMs('freshSentAtMs', FRESHNESS_MS));
  }

  /** Whether slots gained with the current epoch may be used. */
  isSettled(): boolean {
    if (!this.roster || !this.isMember(this.self)) return false;
    return this.history.isSettled(this.roster, this.self, this.clock.monotonicMs());
  }

  /** Value of `settledEpoch` for heartbeats. */
  settledEpoch(): number {
    if (!this.roster) return 0;
    // Settles what can be settled; the result itself is not needed.
    this.isSettled();
    return this.history.settledEpoch(this.roster);
  }

  /** Whether the member belongs to the adopted roster. */
  isMember(member: MemberId): boolean {
    return this.roster?.members.some((one) => isSameMember(one, member)) ?? false;
  }

  /**
   * Whether the member has certainly stopped using its rights: proven gone, or evicted with every
   * roster that contains it settled. False for a member that was in no known roster.
   */
  isGone(member: MemberId): boolean {
    if (this.history.isConfirmedGone(member)) return true;
    if (this.isMember(member) || !this.formerMembers.has(memberKey(member))) return false;
    this.isSettled();
    return !this.history.isInUnsettledRoster(member);
  }

  /** Members of former rosters that still have to be heard from; they need heartbeats as well. */
  unsettledMembers(): RosterMember[] {
    return this.roster ? this.history.unsettledMembers(this.roster) : [];
  }

  private remainingMs(field: keyof Confirmations, durationMs: number): number {
    if (!this.roster || !this.isMember(this.self)) return 0;
    const nowMs = this.clock.monotonicMs();
    const sentAtMs = this.roster.members.map((member) => {
      if (isSameMember(member, this.self)) return nowMs;
      const sent = this.confirmations.get(memberKey(member))?.[field] ?? -Infinity;
      return sent >= this.validFromMs ? sent : -Infinity;
    });
    const confirmedAtMs = thatManyLatest(sentAtMs, quorumOf(sentAtMs.length));
    return Math.max(0, confirmedAtMs + durationMs - nowMs);
  }

  private rememberFormer(former: Roster | undefined, next: Roster): void {
    for (const member of former?.members ?? []) {
      const key = memberKey(member);
      this.formerMembers.delete(key);
      this.formerMembers.set(key, former!.epoch);
    }
    for (const key of this.formerMembers.keys()) {
      if (this.formerMembers.size <= MAX_FORMER_MEMBERS) break;
      this.formerMembers.delete(key);
    }
    const nextKeys = new Set(next.members.map(memberKey));
    const isOfInterest = (key: string): boolean =>
      nextKeys.has(key) || this.formerMembers.has(key) || key === memberKey(this.self);
    this.history.forget(isOfInterest);
    for (const key of this.confirmations.keys()) {
      if (!nextKeys.has(key)) this.confirmations.delete(key);
    }
  }

  /** This process listens at its address, so a former start there has ended. */
  private recordOwnFormerStarts(roster: Roster): void {
    for (const member of [...roster.members, ...this.history.unsettledMembers(roster)]) {
      const isOwnAddress =
        member.peerEndpoint.host === this.self.peerEndpoint.host &&
        member.peerEndpoint.port === this.self.peerEndpoint.port;
      if (isOwnAddress) this.recordGone(member, 'replaced');
    }
  }
}
