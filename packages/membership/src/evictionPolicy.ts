import { formatMember, isSameMember } from '@bronzelift/common';
import type { Clock, MemberId } from '@bronzelift/common';

import {
  EVICTION_RANK_DELAY_MS,
  EVICTION_RETRY_MS,
  GONE_RANK_DELAY_MS,
  SILENCE_LIMIT_MS,
} from './constants.js';
import type { Eviction, RosterMember } from './types.js';
import { compareText, memberKey } from './utils.js';

/** Current roster and member states on which a decision is based. */
export interface EvictionView {
  readonly members: readonly RosterMember[];
  /** Whether this member holds its lease, which requires responses of a majority. */
  readonly isLeaseHeld: boolean;
  /** Whether there is evidence that the member has stopped. */
  readonly isConfirmedGone: (member: MemberId) => boolean;
}

/**
 * Rank of this member among those that can act, in a ring ordered by VM id that starts after the
 * target; 0 for the first member after the target.
 */
const calculateRank = (
  acting: readonly RosterMember[],
  self: MemberId,
  target: MemberId,
): number => {
  const ring = [...acting].sort((left, right) => compareText(left.vmId, right.vmId));
  const firstAfterTarget = ring.findIndex(({ vmId }) => compareText(vmId, target.vmId) > 0);
  const start = firstAfterTarget === -1 ? 0 : firstAfterTarget;
  const position = ring.findIndex((member) => isSameMember(member, self));
  return (position - start + ring.length) % ring.length;
};

/**
 * Decides which members to evict. All members detect a silent member at about the same time, so
 * each waits in proportion to its rank; the first one appends a record, which the others then see.
 *
 * Only a member that holds its lease evicts silent members: one that is partitioned from all the
 * others, but not from the log, would otherwise evict all of them.
 */
export class EvictionPolicy {
  private readonly heardAtMs = new Map<string, number>();

  private readonly goneSinceMs = new Map<string, number>();

  private readonly attemptedAtMs = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly self: MemberId,
  ) {}

  /** `self` is this incarnation of the entry daemon. */
  static create(clock: Clock, self: MemberId): EvictionPolicy {
    return new EvictionPolicy(clock, self);
  }

  /** Records that a heartbeat or a response of a member has arrived. */
  recordHeard(member: MemberId): void {
    this.heardAtMs.set(memberKey(member), this.clock.monotonicMs());
  }

  /** Resets the silence of all members after a pause, in which this process received nothing. */
  recordPause(): void {
    this.heardAtMs.clear();
  }

  /** Milliseconds since the last message of the member; without one, since the first decision. */
  silentMs(member: MemberId): number {
    const heardAtMs = this.heardAtMs.get(memberKey(member));
    return heardAtMs === undefined ? 0 : this.clock.monotonicMs() - heardAtMs;
  }

  /** Returns the evictions to append to the log now. Must be called several times a second. */
  decide(view: EvictionView): Eviction[] {
    this.removeFormerMembers(view.members);
    if (!view.members.some((member) => isSameMember(member, this.self))) return [];
    const evictions: Eviction[] = [];
    for (const member of view.members) {
      if (isSameMember(member, this.self)) continue;
      const eviction = this.decideMember(view, member);
      if (eviction && this.startAttempt(member)) evictions.push(eviction);
    }
    return evictions;
  }

  private decideMember(view: EvictionView, member: RosterMember): Eviction | undefined {
    const key = memberKey(member);
    const nowMs = this.clock.monotonicMs();
    if (!this.heardAtMs.has(key)) this.heardAtMs.set(key, nowMs);
    const acting = view.members.filter((candidate) => this.canAct(view, candidate));
    const rank = calculateRank(acting, this.self, member);
    if (view.isConfirmedGone(member)) {
      const sinceMs = this.goneSinceMs.get(key) ?? nowMs;
      this.goneSinceMs.set(key, sinceMs);
      if (nowMs - sinceMs >= rank * GONE_RANK_DELAY_MS) return { member, reason: 'gone' };
    }
    const isDue = this.silentMs(member) >= SILENCE_LIMIT_MS + rank * EVICTION_RANK_DELAY_MS;
    return view.isLeaseHeld && isDue ? { member, reason: 'silent' } : undefined;
  }

  private canAct(view: EvictionView, member: RosterMember): boolean {
    if (isSameMember(member, this.self)) return true;
    return !view.isConfirmedGone(member) && this.silentMs(member) < SILENCE_LIMIT_MS;
  }

  private startAttempt(member: MemberId): boolean {
    const key = formatMember(member);
    const nowMs = this.clock.monotonicMs();
    const attemptedAtMs = this.attemptedAtMs.get(key) ?? -Infinity;
    if (nowMs - attemptedAtMs < EVICTION_RETRY_MS) return false;
    this.attemptedAtMs.set(key, nowMs);
    return true;
  }

  private removeFormerMembers(members: readonly RosterMember[]): void {
    const keys = new Set(members.map(memberKey));
    for (const map of [this.heardAtMs, this.goneSinceMs, this.attemptedAtMs]) {
      for (const key of map.keys()) if (!keys.has(key)) map.delete(key);
    }
  }
}
