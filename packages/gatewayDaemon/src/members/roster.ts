import type { VmId } from '@bronzelift/common';

import { hashText } from '../utils.js';
import type { ListedMember } from './types.js';

const DIGEST_MODULUS = 2 ** 32;

const hashes = new WeakMap<ListedMember['status'], number>();

const hashMember = ({ status }: ListedMember): number => {
  const known = hashes.get(status);
  if (known !== undefined) return known;
  const { vmId, incarnation, sequence = 0 } = status;
  const hash = hashText(`${vmId} ${incarnation} ${sequence}`);
  hashes.set(status, hash);
  return hash;
};

/** What has changed from one roster to the next. */
export interface RosterDifference {
  readonly changed: readonly ListedMember[];
  readonly removed: readonly VmId[];
}

/** A part of a difference, with the digests of the roster before and after it. */
export interface RosterStep extends RosterDifference {
  readonly formerDigest: number;
  readonly digest: number;
}

/** Members of one failure domain, with a digest that tells whether two rosters are the same. */
export class Roster {
  private readonly members = new Map<VmId, ListedMember>();

  private currentDigest = 0;

  private latestRefreshAtMs = -Infinity;

  private constructor(members: Iterable<ListedMember>) {
    for (const member of members) this.set(member);
  }

  /** Creates a roster of the given members. */
  static create(members: Iterable<ListedMember> = []): Roster {
    return new Roster(members);
  }

  /** Monotonic time at which the members were last known to be live. */
  get refreshedAtMs(): number {
    return this.latestRefreshAtMs;
  }

  /** Records that the members were known to be live at the given time. */
  markRefreshed(atMs: number): void {
    this.latestRefreshAtMs = Math.max(this.latestRefreshAtMs, atMs);
  }

  get digest(): number {
    return this.currentDigest;
  }

  list(): ListedMember[] {
    return [...this.members.values()];
  }

  has(vmId: VmId): boolean {
    return this.members.has(vmId);
  }

  /** Adds a member, or replaces what is known of it. */
  set(member: ListedMember): void {
    this.remove(member.status.vmId);
    this.members.set(member.status.vmId, member);
    this.currentDigest = (this.currentDigest + hashMember(member)) % DIGEST_MODULUS;
  }

  remove(vmId: VmId): void {
    const former = this.members.get(vmId);
    if (former === undefined) return;
    this.members.delete(vmId);
    this.currentDigest =
      (this.currentDigest + DIGEST_MODULUS - hashMember(former)) % DIGEST_MODULUS;
  }

  /** Lists what `next` has otherwise. */
  compare(next: Roster): RosterDifference {
    const changed = next.list().filter((member) => {
      const former = this.members.get(member.status.vmId);
      return former === undefined || hashMember(former) !== hashMember(member);
    });
    const removed = [...this.members.keys()].filter((vmId) => !next.has(vmId));
    return { changed, removed };
  }

  /** Lists what `next` has otherwise, in steps of at most `maxMembers` members. */
  splitChanges(next: Roster, maxMembers: number): RosterStep[] {
    const { changed, removed } = this.compare(next);
    const current = Roster.create(this.list());
    const steps: RosterStep[] = [];
    for (let index = 0; index < changed.length + removed.length; index += maxMembers) {
      const formerDigest = current.digest;
      const changedPart = changed.slice(index, index + maxMembers);
      const removedFrom = Math.max(index - changed.length, 0);
      const removedTo = Math.max(index + maxMembers - changed.length, 0);
      const removedPart = removed.slice(removedFrom, removedTo);
      for (const member of changedPart) current.set(member);
      for (const vmId of removedPart) current.remove(vmId);
      const { digest } = current;
      steps.push({ formerDigest, digest, changed: changedPart, removed: removedPart });
    }
    return steps;
  }
}
