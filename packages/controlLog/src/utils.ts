import type { ControlState, RosterMember, StoredState, Target } from './types.js';

type Counters = Pick<StoredState, 'configurationVersion' | 'epoch' | 'drainRevision'>;

/** Names of the counters of a state, whose values never decrease. */
export const COUNTER_NAMES = ['configurationVersion', 'epoch', 'drainRevision'] as const;

/** Whether the keys of the items are strictly increasing, which also rules out duplicates. */
export const isSortedBy = <T>(items: readonly T[], keyOf: (item: T) => string): boolean =>
  items.every((item, index) => index === 0 || keyOf(items[index - 1]!) < keyOf(item));

/** Names of the counters that are higher in `left` than in `right`. */
export const findHigherCounters = (left: Counters, right: Counters): string[] =>
  COUNTER_NAMES.filter((name) => left[name] > right[name]);

/** Whether any counter is higher in `left` than in `right`. */
export const hasHigherCounter = (left: Counters, right: Counters): boolean =>
  findHigherCounters(left, right).length > 0;

/** Whether an operator has taken the target out of service. */
export const isTakenOut = (state: ControlState, target: Target): boolean =>
  state.takenOut.includes(target);

/** Finds the roster member that runs on a VM. */
export const findMember = (state: ControlState, vmId: string): RosterMember | undefined =>
  state.members.find((member) => member.vmId === vmId);
