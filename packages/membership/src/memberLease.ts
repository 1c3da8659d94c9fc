import { isSameMember } from '@bronzelift/common';
import type { Clock, MemberId } from '@bronzelift/common';

import { FRESHNESS_MS, LEASE_MS, MAX_FORMER_MEMBERS, PAUSE_THRESHOLD_MS } from './constants.js';
import { EpochHistory } from './epochHistory.js';
import type {
  GoneReason,
  ControlStateCounters,
  PeerReport,
  Roster,
  RosterMember,
} from './types.js';
import { formatGone, isCoveredBy, memberKey, quorumOf, findNthLatest } from './utils.js';

/** Send times of the latest heartbeats that a peer confirmed, for the lease and for freshness. */
interface ConfirmedSendTimes {
  leaseSentAtMs: number;
  freshSentAtMs: number;
}

/** Result of `adoptRoster`, which decides whether the member may retain its slots. */
export interface AdoptionResult {
  /** False when the roster is not newer than the current one; it is then ignored. */
  readonly isAdopted: boolean;
  /** False when epochs between the two rosters are unknown; no slot may then be retained. */
  readonly isContiguous: boolean;
}

/**
 * Tracks whether this incarnation may use backend slots: member lease, epoch settlement and
 * freshness of the configuration (design 5.1 and 5.3). All of it is soft state, which a restart
 * discards. A process that joins again under a new incarnation creates a new object.
 */
export class MemberLease {
  private roster: Roster | undefined;

  private readonly history = EpochHistory.create();

  private readonly confirmations = new Map<string, ConfirmedSendTimes>();

  /** Last epoch in which each former member was listed. */
  private readonly formerMembers = new Map<string, number>();

  private counters: ControlStateCounters = { epoch: 0, configurationVersion: 0, drainRevision: 0 };

  private logReadStartedAtMs = -Infinity;

  /** End of the latest pause; heartbeats sent and log reads started before it confirm nothing. */
  private validFromMs = -Infinity;

  private constructor(
    private readonly clock: Clock,
    private readonly self: RosterMember,
  ) {}

  /** Creates a lease that is not held yet; `self` is this incarnation of the entry daemon. */
  static create(clock: Clock, self: RosterMember): MemberLease {
    return new MemberLease(clock, self);
  }

  /** Epoch of the adopted roster; 0 before the first adoption. */
  get epoch(): number {
    return this.counters.epoch;
  }

  /** Adopted roster; undefined before the first adoption. */
  get currentRoster(): Roster | undefined {
    return this.roster;
  }

  /**
   * Adopts a newer roster. Must be called for every epoch in order, also while replaying the log;
   * skipped epochs count as unknown until a peer reports them settled.
   */
  adoptRoster(roster: Roster): AdoptionResult {
    if (roster.epoch <= this.epoch) return { isAdopted: false, isContiguous: true };
    const nowMs = this.clock.monotonicMs();
    const former = this.roster;
    this.history.recordReport(this.self, roster.epoch, 0, nowMs);
    const isContiguous = this.history.advance(former, roster, nowMs);
    this.roster = roster;
    this.counters = { ...this.counters, epoch: roster.epoch };
    this.recordFormerMembers(former, roster);
    this.recordOwnFormerIncarnations(roster);
    return { isAdopted: true, isContiguous };
  }

  /** Records the counters of the configuration that this member has adopted. */
  recordCounters(counters: Omit<ControlStateCounters, 'epoch'>): void {
    this.counters = { ...counters, epoch: this.epoch };
  }

  /** Whether to grant the lease to a sender: only if its epoch is at least that of this member. */
  shouldGrant(senderEpoch: number): boolean {
    return senderEpoch >= this.epoch;
  }

  /** Records the epochs that a peer reported of itself in a heartbeat or a response. */
  recordReport(peer: MemberId, report: PeerReport): void {
    const nowMs = this.clock.monotonicMs();
    this.history.recordReport(peer, report.epoch, report.settledEpoch, nowMs);
  }

  /**
   * Records the response of a peer to a heartbeat that was sent at `sentAtMs` (monotonic). If the
   * heartbeat was sent before a pause, the response confirms neither lease nor freshness.
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
    const confirmation = this.confirmations.get(key) ?? {
      leaseSentAtMs: -Infinity,
      freshSentAtMs: -Infinity,
    };
    if (isLeaseGranted) confirmation.leaseSentAtMs = Math.max(confirmation.leaseSentAtMs, sentAtMs);
    if (isCoveredBy(report, this.counters)) {
      confirmation.freshSentAtMs = Math.max(confirmation.freshSentAtMs, sentAtMs);
    }
    this.confirmations.set(key, confirmation);
  }

  /** Records that a member has stopped. Returns a message to log, or undefined if already known. */
  recordGone(member: MemberId, reason: GoneReason): string | undefined {
    if (isSameMember(member, this.self) || this.history.isConfirmedGone(member)) return undefined;
    this.history.recordGone(member, this.clock.monotonicMs());
    return formatGone(member, reason);
  }

  /** Records a successful read of the log that was started at `startedAtMs` (monotonic). */
  recordLogRead(startedAtMs: number): void {
    this.logReadStartedAtMs = Math.max(this.logReadStartedAtMs, startedAtMs);
  }

  /**
   * After an event loop gap above 500 ms, ignores confirmations and log reads whose request was sent
   * earlier, so that lease and freshness end until they are confirmed again.
   */
  observeLoopGap(gapMs: number): void {
    if (gapMs > PAUSE_THRESHOLD_MS) this.validFromMs = this.clock.monotonicMs();
  }

  /** Milliseconds for which the lease is still held; 0 if it is not held. */
  leaseRemainingMs(): number {
    return this.remainingMs('leaseSentAtMs', LEASE_MS);
  }

  isLeaseHeld(): boolean {
    return this.leaseRemainingMs() > 0;
  }

  /** Milliseconds for which the configuration still counts as up to date; 0 if it does not. */
  freshnessRemainingMs(): number {
    const nowMs = this.clock.monotonicMs();
    const isLogReadValid = this.logReadStartedAtMs >= this.validFromMs;
    const byLogMs = isLogReadValid ? this.logReadStartedAtMs + FRESHNESS_MS - nowMs : 0;
    return Math.max(0, byLogMs, this.remainingMs('freshSentAtMs', FRESHNESS_MS));
  }

  /** Whether the earlier epochs are settled, so that slots gained in this epoch may be used. */
  isSettled(): boolean {
    if (!this.roster || !this.isMember(this.self)) return false;
    return this.history.isSettled(this.roster, this.self, this.clock.monotonicMs());
  }

  /** Value of `PeerReport.settledEpoch` to send in heartbeats. */
  settledEpoch(): number {
    if (!this.roster) return 0;
    // Called for its side effect: it removes the rosters that are settled by now.
    this.isSettled();
    return this.history.settledEpoch(this.roster);
  }

  /** Whether the adopted roster lists this incarnation of the member. */
  isMember(member: MemberId): boolean {
    return this.roster?.members.some((listed) => isSameMember(listed, member)) ?? false;
  }

  /**
   * Whether the member certainly uses no slots any more: it is confirmed gone, or was evicted and
   * all rosters that contain it are settled. False for a member that was in no known roster.
   */
  isGone(member: MemberId): boolean {
    if (this.history.isConfirmedGone(member)) return true;
    if (this.isMember(member) || !this.formerMembers.has(memberKey(member))) return false;
    this.isSettled();
    return !this.history.isInUnsettledRoster(member);
  }

  /** Members of former rosters that also need heartbeats, so that these rosters can be settled. */
  unsettledMembers(): RosterMember[] {
    return this.roster ? this.history.unsettledMembers(this.roster) : [];
  }

  private remainingMs(field: keyof ConfirmedSendTimes, durationMs: number): number {
    if (!this.roster || !this.isMember(this.self)) return 0;
    const nowMs = this.clock.monotonicMs();
    const sentAtMs = this.roster.members.map((member) => {
      if (isSameMember(member, this.self)) return nowMs;
      const confirmedSentAtMs = this.confirmations.get(memberKey(member))?.[field] ?? -Infinity;
      return confirmedSentAtMs >= this.validFromMs ? confirmedSentAtMs : -Infinity;
    });
    const confirmedAtMs = findNthLatest(sentAtMs, quorumOf(sentAtMs.length));
    return Math.max(0, confirmedAtMs + durationMs - nowMs);
  }

  private recordFormerMembers(former: Roster | undefined, next: Roster): void {
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
    const isStillNeeded = (key: string): boolean =>
      nextKeys.has(key) || this.formerMembers.has(key) || key === memberKey(this.self);
    this.history.prune(isStillNeeded);
    for (const key of this.confirmations.keys()) {
      if (!nextKeys.has(key)) this.confirmations.delete(key);
    }
  }

  /** Records former incarnations at this member's address as gone, since it has the address now. */
  private recordOwnFormerIncarnations(roster: Roster): void {
    for (const member of [...roster.members, ...this.history.unsettledMembers(roster)]) {
      const isOwnAddress =
        member.peerEndpoint.host === this.self.peerEndpoint.host &&
        member.peerEndpoint.port === this.self.peerEndpoint.port;
      if (isOwnAddress) this.recordGone(member, 'replaced');
    }
  }
}
