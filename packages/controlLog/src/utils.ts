import type { ControlState, RosterMember, StoredState, Target } from './types.js';

type Counters = Pick<StoredState, 'configurationVersion' | 'epoch' | 'drainRevision'>;

/** Names of the counters that only rise. */
export const COUNTER_NAMES = ['configurationVersion', 'epoch', 'drainRevision'] as const;

/** Whether items are in strictly rising order of a key, so that no key occurs twice. */
export const isSortedBy = <T>(items: readonly T[], keyOf: (item: T) => string): boolean =>
  items.every((item, index) => index === 0 || keyOf(items[index - 1]!) < keyOf(item));

/** Counters of `left` that are higher than those of `right`. */
export const findHigherCounters = (left: Counters, right: Counters): string[] =>
  COUNTER_NAMES.filter((name) => left[name] > right[name]);

/** Whether any counter of `left` is higher than that of `right`. */
export const isNewerInPart = (left: Counters, right: Counters): boolean =>
  findHigherCounters(left, right).length > 0;

/** Whether a target is out of service by an operator's order. */
export const isTakenOut = (state: ControlState, target: Target): boolean =>
  state.takenOut.includes(target);

/** Roster member of a VM, if there is one. */
export const findMember = (state: ControlState, vmId: string): RosterMember | undefined =>
  state.members.find((member) => member.vmId === vmId);
