import type { MemberId } from '@bronzelift/common';

import { LEASE_MS, MAX_UNSETTLED_ROSTERS, SETTLEMENT_MARGIN_MS } from './constants.js';
import type { Roster, RosterMember } from './types.js';
import { memberKey, quorumOf } from './utils.js';

/** A former roster at whose epoch a member could still hold a lease. */
interface UnsettledRoster {
  /** First epoch with these members; below `epoch` only if rosters were merged. */
  readonly fromEpoch: number;
  readonly epoch: number;
  readonly members: readonly RosterMember[];
  /** Time at which each member was first known to be at a later epoch. */
  readonly laterEpochSeenAtMs: Map<string, number>;
}

/** Range of epochs whose rosters this member does not know. */
interface Gap {
  readonly startEpoch: number;
  /** First known epoch after the unknown ones. */
  readonly endEpoch: number;
}

const hasSameMembers = (left: UnsettledRoster, right: UnsettledRoster): boolean =>
  left.members.length === right.members.length &&
  left.members.every((member, index) => memberKey(member) === memberKey(right.members[index]!));

/**
 * Former rosters that are not settled: members may still hold a lease at their epochs.
 *
 * A lease at epoch u requires grants of a majority of the roster of u, from members that are not at
 * a later epoch. So no lease at u is left once (1, 2) every member of that roster is gone or at a
 * later epoch, or (3) this has held for a majority for longer than a lease lasts. (4) An epoch that
 * one member found settled is settled for all, so reports of peers are adopted; only they can
 * settle rosters that this member does not know.
 */
export class EpochHistory {
  private unsettledRosters: UnsettledRoster[] = [];

  private gap: Gap | undefined;

  /** Highest settled epoch that a peer reported; no epoch below it is in use. */
  private highestSettledEpoch = 0;

  private readonly epochOf = new Map<string, number>();

  private readonly settledEpochOf = new Map<string, number>();

  private readonly goneAtMs = new Map<string, number>();

  /** `expiryMs` is the time within which a granted lease certainly expires. */
  private constructor(private readonly expiryMs: number) {}

  static create(): EpochHistory {
    return new EpochHistory(LEASE_MS + SETTLEMENT_MARGIN_MS);
  }

  /**
   * Adds the roster that was current until now as unsettled; `next` replaces it. Returns whether
   * the two epochs are consecutive.
   */
  advance(former: Roster | undefined, next: Roster, nowMs: number): boolean {
    const formerEpoch = former?.epoch ?? 0;
    const firstKnown = Math.max(next.fromEpoch ?? next.epoch, formerEpoch + 1);
    if (firstKnown > formerEpoch + 1) {
      this.gap = { startEpoch: this.gap?.startEpoch ?? formerEpoch + 1, endEpoch: firstKnown };
    }
    if (former) this.addUnsettled(former.members, former.epoch, former.epoch);
    this.addUnsettled(next.members, firstKnown, next.epoch - 1);
    this.mergeOldest();
    this.recordPassed(nowMs);
    return next.epoch === formerEpoch + 1;
  }

  /** Records the epoch and settled epoch that a member reported at the time `nowMs`. */
  recordReport(member: MemberId, epoch: number, settledEpoch: number, nowMs: number): void {
    const key = memberKey(member);
    const knownEpoch = this.epochOf.get(key) ?? -1;
    if (epoch < knownEpoch) return;
    this.epochOf.set(key, epoch);
    this.settledEpochOf.set(key, settledEpoch);
    this.highestSettledEpoch = Math.max(this.highestSettledEpoch, settledEpoch);
    if (epoch > knownEpoch) this.recordPassed(nowMs);
  }

  /** Records that a member is known to have stopped. */
  recordGone(member: MemberId, nowMs: number): void {
    const key = memberKey(member);
    if (!this.goneAtMs.has(key)) this.goneAtMs.set(key, nowMs);
  }

  /** Whether a member was recorded as stopped. */
  isConfirmedGone(member: MemberId): boolean {
    return this.goneAtMs.has(memberKey(member));
  }

  /** Highest epoch that the member reported; undefined when it reported none. */
  reportedEpoch(member: MemberId): number | undefined {
    return this.epochOf.get(memberKey(member));
  }

  /** Removes settled rosters; returns whether all epochs before the current one are settled. */
  isSettled(current: Roster, self: MemberId, nowMs: number): boolean {
    this.unsettledRosters = this.unsettledRosters.filter(
      (roster) => !this.isRosterSettled(roster, nowMs),
    );
    if (this.gap && this.isGapSettled(this.gap, current, self)) this.gap = undefined;
    return this.unsettledRosters.length === 0 && this.gap === undefined;
  }

  /** Value of `settledEpoch` for heartbeats; see PeerReport. */
  settledEpoch(current: Roster): number {
    const [oldest] = this.unsettledRosters;
    if (!this.gap) return oldest?.fromEpoch ?? current.epoch;
    const knowsUnsettled = oldest !== undefined && oldest.epoch < this.gap.endEpoch;
    if (!knowsUnsettled) return 0;
    // At least 1, since 0 means "does not know"; epoch 0 has no members, so 1 is always correct.
    return Math.max(1, Math.min(oldest.fromEpoch, this.gap.startEpoch));
  }

  /** Members of unsettled former rosters that are neither gone nor in the current roster. */
  unsettledMembers(current: Roster): RosterMember[] {
    const found = new Map<string, RosterMember>();
    for (const roster of this.unsettledRosters) {
      for (const member of roster.members) {
        if (!this.isConfirmedGone(member)) found.set(memberKey(member), member);
      }
    }
    for (const member of current.members) found.delete(memberKey(member));
    return [...found.values()];
  }

  /** Whether a member is part of a former roster that is not settled. */
  isInUnsettledRoster(member: MemberId): boolean {
    const key = memberKey(member);
    return this.unsettledRosters.some((roster) =>
      roster.members.some((listed) => memberKey(listed) === key),
    );
  }

  /**
   * Removes the data of members that are in no unsettled roster, unless `isStillNeeded` returns
   * true.
   */
  prune(isStillNeeded: (key: string) => boolean): void {
    const needed = new Set(this.unsettledRosters.flatMap(({ members }) => members.map(memberKey)));
    for (const map of [this.epochOf, this.settledEpochOf, this.goneAtMs]) {
      for (const key of map.keys()) if (!needed.has(key) && !isStillNeeded(key)) map.delete(key);
    }
  }

  private addUnsettled(members: readonly RosterMember[], fromEpoch: number, epoch: number): void {
    if (members.length === 0 || fromEpoch > epoch) return;
    this.unsettledRosters.push({ fromEpoch, epoch, members, laterEpochSeenAtMs: new Map() });
  }

  private isRosterSettled(roster: UnsettledRoster, nowMs: number): boolean {
    if (this.highestSettledEpoch > roster.epoch) return true;
    let passedOrGoneCount = 0;
    let expiredCount = 0;
    for (const member of roster.members) {
      const key = memberKey(member);
      const passedOrGoneAtMs = roster.laterEpochSeenAtMs.get(key) ?? this.goneAtMs.get(key);
      if (passedOrGoneAtMs === undefined) continue;
      passedOrGoneCount += 1;
      if (nowMs - passedOrGoneAtMs >= this.expiryMs) expiredCount += 1;
    }
    return (
      passedOrGoneCount === roster.members.length || expiredCount >= quorumOf(roster.members.length)
    );
  }

  /**
   * Whether the unknown rosters are settled: a peer reports them settled, or no member knows them,
   * because every member of the current roster has reached the end of the gap without them.
   * The latter happens after a start from a snapshot when all members were replaced.
   */
  private isGapSettled(gap: Gap, current: Roster, self: MemberId): boolean {
    if (this.highestSettledEpoch >= gap.endEpoch) return true;
    if (this.unsettledRosters.some((roster) => roster.epoch < gap.endEpoch)) return false;
    const selfKey = memberKey(self);
    return current.members.every((member) => {
      const key = memberKey(member);
      if (key === selfKey || this.goneAtMs.has(key)) return true;
      const lacksEarlierRosters = this.settledEpochOf.get(key) === 0;
      return lacksEarlierRosters && (this.epochOf.get(key) ?? 0) >= gap.endEpoch;
    });
  }

  private recordPassed(nowMs: number): void {
    for (const roster of this.unsettledRosters) {
      for (const member of roster.members) {
        const key = memberKey(member);
        const epoch = this.epochOf.get(key) ?? -1;
        if (epoch > roster.epoch && !roster.laterEpochSeenAtMs.has(key))
          roster.laterEpochSeenAtMs.set(key, nowMs);
      }
    }
  }

  private mergeOldest(): void {
    for (let index = 0; this.unsettledRosters.length > MAX_UNSETTLED_ROSTERS; index++) {
      const [older, newer] = [this.unsettledRosters[index], this.unsettledRosters[index + 1]];
      if (!older || !newer) return;
      if (!hasSameMembers(older, newer)) continue;
      this.unsettledRosters.splice(index, 2, { ...newer, fromEpoch: older.fromEpoch });
      return;
    }
  }
}
