import { formatMember, isSameMember } from '@bronzelift/common';
import type { Clock, MemberId } from '@bronzelift/common';

import {
  EVICTION_RANK_DELAY_MS,
  EVICTION_RETRY_MS,
  GONE_RANK_DELAY_MS,
  SILENT_MS,
} from './constants.js';
import type { Eviction, RosterMember } from './types.js';
import { compareText, memberKey } from './utils.js';

/** What the policy needs to know for a decision. */
export interface EvictionView {
  readonly members: readonly RosterMember[];
  /** Whether this member holds its lease, that is, hears a majority. */
  readonly isLeaseHeld: boolean;
  /** Whether the member is proven to have stopped. */
  readonly isConfirmedGone: (member: MemberId) => boolean;
}

/** Distance of a member behind the target in the circle of those that can act, 0 for the next. */
const rankBehind = (acting: readonly RosterMember[], self: MemberId, target: MemberId): number => {
  const circle = [...acting].sort((left, right) => compareText(left.vmId, right.vmId));
  const firstBehind = circle.findIndex(({ vmId }) => compareText(vmId, target.vmId) > 0);
  const start = firstBehind === -1 ? 0 : firstBehind;
  const position = circle.findIndex((member) => isSameMember(member, self));
  return (position - start + circle.length) % circle.length;
};

/**
 * Decides which members to evict. Every member sees a silent one at about the same time, so each
 * waits for its rank behind it; the first one appends and the others see the record.
 *
 * Silence counts only for a member that holds its lease: one that is cut off from all others, but
 * not from the log, would otherwise evict everybody.
 */
export class EvictionPolicy {
  private readonly heardAtMs = new Map<string, number>();

  private readonly goneSinceMs = new Map<string, number>();

  private readonly attemptedAtMs = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly self: MemberId,
  ) {}

  /** Creates a policy for this start of the entry daemon. */
  static create(clock: Clock, self: MemberId): EvictionPolicy {
    return new EvictionPolicy(clock, self);
  }

  /** Takes a heartbeat or a response of a member. */
  recordHeard(member: MemberId): void {
    this.heardAtMs.set(memberKey(member), this.clock.monotonicMs());
  }

  /** Forgets all silence after a pause of this process: nobody could be heard during it. */
  recordPause(): void {
    this.heardAtMs.clear();
  }

  /** Milliseconds since the member was heard, counted from the first decision when it never was. */
  silentMs(member: MemberId): number {
    const heardAtMs = this.heardAtMs.get(memberKey(member));
    return heardAtMs === undefined ? 0 : this.clock.monotonicMs() - heardAtMs;
  }

  /** Evictions to append to the log now. Call it several times a second. */
  decide(view: EvictionView): Eviction[] {
    this.forgetOthers(view.members);
    if (!view.members.some((member) => isSameMember(member, this.self))) return [];
    const evictions: Eviction[] = [];
    for (const member of view.members) {
      if (isSameMember(member, this.self)) continue;
      const eviction = this.decideMember(view, member);
      if (eviction && this.tryAttempt(member)) evictions.push(eviction);
    }
    return evictions;
  }

  private decideMember(view: EvictionView, member: RosterMember): Eviction | undefined {
    const key = memberKey(member);
    const nowMs = this.clock.monotonicMs();
    if (!this.heardAtMs.has(key)) this.heardAtMs.set(key, nowMs);
    const acting = view.members.filter((one) => this.canAct(view, one));
    const rank = rankBehind(acting, this.self, member);
    if (view.isConfirmedGone(member)) {
      const sinceMs = this.goneSinceMs.get(key) ?? nowMs;
      this.goneSinceMs.set(key, sinceMs);
      if (nowMs - sinceMs >= rank * GONE_RANK_DELAY_MS) return { member, reason: 'gone' };
    }
    const isDue = this.silentMs(member) >= SILENT_MS + rank * EVICTION_RANK_DELAY_MS;
    return view.isLeaseHeld && isDue ? { member, reason: 'silent' } : undefined;
  }

  private canAct(view: EvictionView, member: RosterMember): boolean {
    if (isSameMember(member, this.self)) return true;
    return !view.isConfirmedGone(member) && this.silentMs(member) < SILENT_MS;
  }

  private tryAttempt(member: MemberId): boolean {
    const key = formatMember(member);
    const nowMs = this.clock.monotonicMs();
    const attemptedAtMs = this.attemptedAtMs.get(key) ?? -Infinity;
    if (nowMs - attemptedAtMs < EVICTION_RETRY_MS) return false;
    this.attemptedAtMs.set(key, nowMs);
    return true;
  }

  private forgetOthers(members: readonly RosterMember[]): void {
    const keys = new Set(members.map(memberKey));
    for (const map of [this.heardAtMs, this.goneSinceMs, this.attemptedAtMs]) {
      for (const key of map.keys()) if (!keys.has(key)) map.delete(key);
    }
  }
}
