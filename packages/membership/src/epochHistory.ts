import type { MemberId } from '@bronzelift/common';

import { LEASE_MS, MAX_UNSETTLED_ROSTERS, SETTLEMENT_MARGIN_MS } from './constants.js';
import type { Roster, RosterMember } from './types.js';
import { memberKey, quorumOf } from './utils.js';

/** A former roster with which a lease could still be held. */
interface OpenRoster {
  /** First epoch with these members; below `epoch` only when rosters were joined. */
  readonly fromEpoch: number;
  readonly epoch: number;
  readonly members: readonly RosterMember[];
  /** When each member was first known to be at a later epoch. */
  readonly passedAtMs: Map<string, number>;
}

/** Epochs whose rosters this member does not know. */
interface Gap {
  readonly startEpoch: number;
  /** First known epoch after the unknown ones. */
  readonly endEpoch: number;
}

const hasSameMembers = (left: OpenRoster, right: OpenRoster): boolean =>
  left.members.length === right.members.length &&
  left.members.every((member, index) => memberKey(member) === memberKey(right.members[index]!));

/**
 * Former rosters that are not settled, with the three rules of settlement.
 *
 * A lease at epoch u rests on grants of a majority of the roster of u, given by members that had not
 * passed u. So no lease at u is left once (1, 2) every member of that roster has passed u or is gone,
 * or (3) a majority has for longer than a lease lasts. (4) What one member found settled holds for
 * all, so a peer's report is taken over; it is the only proof for rosters that are not known here.
 */
export class EpochHistory {
  private open: OpenRoster[] = [];

  private gap: Gap | undefined;

  /** No epoch below this one is in use, according to the reports of peers. */
  private provenEpoch = 0;

  private readonly epochOf = new Map<string, number>();

  private readonly settledEpochOf = new Map<string, number>();

  private readonly goneAtMs = new Map<string, number>();

  /** `expiryMs`: time after which a lease granted before has certainly expired. */
  private constructor(private readonly expiryMs: number) {}

  /** Creates an empty history. */
  static create(): EpochHistory {
    return new EpochHistory(LEASE_MS + SETTLEMENT_MARGIN_MS);
  }

  /**
   * Takes the roster that was current until now; `next` replaces it. Returns whether no epoch lies
   * between the two.
   */
  advance(former: Roster | undefined, next: Roster, nowMs: number): boolean {
    const formerEpoch = former?.epoch ?? 0;
    const firstKnown = Math.max(next.fromEpoch ?? next.epoch, formerEpoch + 1);
    if (firstKnown > formerEpoch + 1) {
      this.gap = { startEpoch: this.gap?.startEpoch ?? formerEpoch + 1, endEpoch: firstKnown };
    }
    if (former) this.addOpen(former.members, former.epoch, former.epoch);
    this.addOpen(next.members, firstKnown, next.epoch - 1);
    this.joinOldest();
    this.markPassed(nowMs);
    return next.epoch === formerEpoch + 1;
  }

  /** Takes the epoch and the settled epoch that a member reports; `nowMs` is the receipt. */
  recordReport(member: MemberId, epoch: number, settledEpoch: number, nowMs: number): void {
    const key = memberKey(member);
    const knownEpoch = this.epochOf.get(key) ?? -1;
    if (epoch < knownEpoch) return;
    this.epochOf.set(key, epoch);
    this.settledEpochOf.set(key, settledEpoch);
    this.provenEpoch = Math.max(this.provenEpoch, settledEpoch);
    if (epoch > knownEpoch) this.markPassed(nowMs);
  }

  /** Takes proof that a member has stopped. */
  recordGone(member: MemberId, nowMs: number): void {
    const key = memberKey(member);
    if (!this.goneAtMs.has(key)) this.goneAtMs.set(key, nowMs);
  }

  /** Whether a member is proven to have stopped. */
  isConfirmedGone(member: MemberId): boolean {
    return this.goneAtMs.has(memberKey(member));
  }

  /** Highest epoch that the member reported; undefined when it reported none. */
  reportedEpoch(member: MemberId): number | undefined {
    return this.epochOf.get(memberKey(member));
  }

  /** Whether no epoch before the current one is in use any more. */
  isSettled(current: Roster, self: MemberId, nowMs: number): boolean {
    this.open = this.open.filter((roster) => !this.isClosed(roster, nowMs));
    if (this.gap && this.isGapSettled(this.gap, current, self)) this.gap = undefined;
    return this.open.length === 0 && this.gap === undefined;
  }

  /** Value of `settledEpoch` for heartbeats; see PeerReport. */
  settledEpoch(current: Roster): number {
    const [oldest] = this.open;
    if (!this.gap) return oldest?.fromEpoch ?? current.epoch;
    const knowsUnsettled = oldest !== undefined && oldest.epoch < this.gap.endEpoch;
    if (!knowsUnsettled) return 0;
    // Epoch 0 has no members, so that 1 is always true and tells it apart from "does not know".
    return Math.max(1, Math.min(oldest.fromEpoch, this.gap.startEpoch));
  }

  /** Members of unsettled former rosters that are neither gone nor in the current one. */
  unsettledMembers(current: Roster): RosterMember[] {
    const found = new Map<string, RosterMember>();
    for (const roster of this.open) {
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
    return this.open.some((roster) => roster.members.some((one) => memberKey(one) === key));
  }

  /** Forgets members that are in no roster of interest. */
  forget(isOfInterest: (key: string) => boolean): void {
    const needed = new Set(this.open.flatMap(({ members }) => members.map(memberKey)));
    for (const map of [this.epochOf, this.settledEpochOf, this.goneAtMs]) {
      for (const key of map.keys()) if (!needed.has(key) && !isOfInterest(key)) map.delete(key);
    }
  }

  private addOpen(members: readonly RosterMember[], fromEpoch: number, epoch: number): void {
    if (members.length === 0 || fromEpoch > epoch) return;
    this.open.push({ fromEpoch, epoch, members, passedAtMs: new Map() });
  }

  private isClosed(roster: OpenRoster, nowMs: number): boolean {
    if (this.provenEpoch > roster.epoch) return true;
    let outCount = 0;
    let longOutCount = 0;
    for (const member of roster.members) {
      const key = memberKey(member);
      const outAtMs = roster.passedAtMs.get(key) ?? this.goneAtMs.get(key);
      if (outAtMs === undefined) continue;
      outCount += 1;
      if (nowMs - outAtMs >= this.expiryMs) longOutCount += 1;
    }
    return outCount === roster.members.length || longOutCount >= quorumOf(roster.members.length);
  }

  /**
   * Unknown rosters are settled when a peer says so, or when nobody is left who knows more: every
   * member of the current roster is at the end of the gap and does not know those rosters either.
   * The latter concerns a start from a snapshot after all members were replaced.
   */
  private isGapSettled(gap: Gap, current: Roster, self: MemberId): boolean {
    if (this.provenEpoch >= gap.endEpoch) return true;
    if (this.open.some((roster) => roster.epoch < gap.endEpoch)) return false;
    const selfKey = memberKey(self);
    return current.members.every((member) => {
      const key = memberKey(member);
      if (key === selfKey || this.goneAtMs.has(key)) return true;
      const isBlind = this.settledEpochOf.get(key) === 0;
      return isBlind && (this.epochOf.get(key) ?? 0) >= gap.endEpoch;
    });
  }

  private markPassed(nowMs: number): void {
    for (const roster of this.open) {
      for (const member of roster.members) {
        const key = memberKey(member);
        const epoch = this.epochOf.get(key) ?? -1;
        if (epoch > roster.epoch && !roster.passedAtMs.has(key)) roster.passedAtMs.set(key, nowMs);
      }
    }
  }

  private joinOldest(): void {
    for (let index = 0; this.open.length > MAX_UNSETTLED_ROSTERS; index++) {
      const [older, newer] = [this.open[index], this.open[index + 1]];
      if (!older || !newer) return;
      if (!hasSameMembers(older, newer)) continue;
      this.open.splice(index, 2, { ...newer, fromEpoch: older.fromEpoch });
      return;
    }
  }
}
