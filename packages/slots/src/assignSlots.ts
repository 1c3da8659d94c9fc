import type { FailureDomainId, ServiceName } from '@bronzelift/common';

import type { SlotAssignment, SlotInstance, SlotMember } from './types.js';
import { hashName, mixHashes } from './utils.js';

const EMPTY = -1;

interface Candidate {
  readonly vmId: string;
  readonly hash: number;
}

/** State of one assignment: units are slots, numbered through all instances of a group. */
interface Matching {
  readonly unitHashes: Uint32Array;
  readonly candidates: readonly Candidate[];
}

interface Matched {
  /** Units of each candidate. */
  readonly kept: readonly (readonly number[])[];
  /** Units for which no room was left. */
  readonly unmatched: readonly number[];
}

const byText = (left: string, right: string): number => {
  if (left === right) return 0;
  return left < right ? -1 : 1;
};

const scoreOf = (matching: Matching, unit: number, candidate: number): number =>
  mixHashes(matching.unitHashes[unit]!, matching.candidates[candidate]!.hash);

/**
 * Best candidate ranked after a given one for a unit; EMPTY when there is none. The rank is the
 * score, then the position, so that equal scores are ordered too.
 */
const nextChoice = (matching: Matching, unit: number, after: number): number => {
  const limitScore = after === EMPTY ? Infinity : scoreOf(matching, unit, after);
  let best = EMPTY;
  let bestScore = -1;
  for (let candidate = 0; candidate < matching.candidates.length; candidate++) {
    const score = scoreOf(matching, unit, candidate);
    const isAfter = score < limitScore || (score === limitScore && candidate > after);
    if (isAfter && score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
};

/** Position in the list at which the unit with the lowest score stands. */
const weakestOf = (matching: Matching, units: readonly number[], candidate: number): number => {
  let weakest = 0;
  let weakestScore = Infinity;
  for (let position = 0; position < units.length; position++) {
    const score = scoreOf(matching, units[position]!, candidate);
    const isWeaker =
      score < weakestScore || (score === weakestScore && units[position]! > units[weakest]!);
    if (isWeaker) {
      weakest = position;
      weakestScore = score;
    }
  }
  return weakest;
};

/**
 * Gives every unit its best candidate that still has room; a candidate without room keeps the units
 * with the highest scores (deferred acceptance). The result does not depend on the order of the
 * units.
 */
const matchUnits = (matching: Matching, units: readonly number[], capacity: number): Matched => {
  const kept: number[][] = matching.candidates.map(() => []);
  const weakest: number[] = matching.candidates.map(() => EMPTY);
  const lastChoice = new Map<number, number>();
  const unmatched: number[] = [];
  const pending = [...units];
  while (pending.length > 0) {
    const unit = pending.pop()!;
    const choice = nextChoice(matching, unit, lastChoice.get(unit) ?? EMPTY);
    if (choice === EMPTY) {
      unmatched.push(unit);
      continue;
    }
    lastChoice.set(unit, choice);
    const own = kept[choice]!;
    if (own.length < capacity) {
      own.push(unit);
      if (own.length === capacity) weakest[choice] = weakestOf(matching, own, choice);
      continue;
    }
    const displaced = own[weakest[choice]!] ?? unit;
    const displacedScore = scoreOf(matching, displaced, choice);
    const unitScore = scoreOf(matching, unit, choice);
    const isBetter =
      unitScore > displacedScore || (unitScore === displacedScore && unit < displaced);
    if (capacity === 0 || !isBetter) {
      pending.push(unit);
      continue;
    }
    own[weakest[choice]!] = unit;
    weakest[choice] = weakestOf(matching, own, choice);
    pending.push(displaced);
  }
  return { kept, unmatched };
};

const assignGroup = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
  holders: Map<string, readonly string[]>,
): void => {
  const unitCount = instances.reduce((sum, instance) => sum + instance.slots, 0);
  const unitHashes = new Uint32Array(unitCount);
  let unit = 0;
  for (const instance of instances) {
    const hash = hashName(`${instance.service}/${instance.instanceId}`);
    for (let slot = 0; slot < instance.slots; slot++) {
      unitHashes[unit] = mixHashes(hash, slot + 1);
      unit += 1;
    }
  }
  const holderOf = new Int32Array(unitCount).fill(EMPTY);
  const matching: Matching = { unitHashes, candidates };
  const share = Math.floor(unitCount / candidates.length);
  // First the equal shares, then at most one of the remaining units for each member.
  const equal = matchUnits(
    matching,
    Array.from({ length: unitCount }, (_, index) => index),
    share,
  );
  const extra = matchUnits(matching, equal.unmatched, 1);
  candidates.forEach((_, candidate) => {
    for (const own of equal.kept[candidate]!) holderOf[own] = candidate;
    for (const own of extra.kept[candidate]!) holderOf[own] = candidate;
  });
  unit = 0;
  for (const instance of instances) {
    const own: string[] = [];
    for (let slot = 0; slot < instance.slots; slot++) {
      own.push(candidates[holderOf[unit]!]!.vmId);
      unit += 1;
    }
    holders.set(instance.instanceId, own);
  }
};

const groupInstances = (
  instances: readonly SlotInstance[],
): Map<ServiceName, Map<FailureDomainId, SlotInstance[]>> => {
  const services = new Map<ServiceName, Map<FailureDomainId, SlotInstance[]>>();
  for (const instance of instances) {
    const domains = services.get(instance.service) ?? new Map<FailureDomainId, SlotInstance[]>();
    services.set(instance.service, domains);
    const group = domains.get(instance.failureDomainId) ?? [];
    domains.set(instance.failureDomainId, group);
    group.push(instance);
  }
  return services;
};

/**
 * Assigns every slot one holder by rendezvous hashing with bounded load: among the members of the
 * instance's failure domain, or among all members when it has none. Within a service and failure
 * domain the numbers of slots held differ by at most one. The result depends only on the sets of
 * members and instances, not on their order nor on incarnations, so that every entry VM that has
 * read the same log records computes the same assignment.
 *
 * An instance's slots can move when other instances of its service and failure domain change. The
 * epoch that guards slots therefore has to advance with the configuration as well as the roster,
 * and nothing that entry VMs learn at different times (health, VM list) may enter here.
 */
export const assignSlots = (
  members: readonly SlotMember[],
  instances: readonly SlotInstance[],
): SlotAssignment => {
  const holders = new Map<string, readonly string[]>();
  const everyone = [...members]
    .sort((left, right) => byText(left.vmId, right.vmId))
    .map(({ vmId, failureDomainId }) => ({ vmId, failureDomainId, hash: hashName(vmId) }));
  const sorted = [...instances].sort((left, right) => byText(left.instanceId, right.instanceId));
  if (everyone.length === 0) {
    for (const instance of sorted) holders.set(instance.instanceId, []);
    return holders;
  }
  for (const domains of groupInstances(sorted).values()) {
    for (const [failureDomainId, group] of domains) {
      const local = everyone.filter((member) => member.failureDomainId === failureDomainId);
      assignGroup(local.length > 0 ? local : everyone, group, holders);
    }
  }
  return holders;
};
