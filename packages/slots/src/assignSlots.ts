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
  readonly unitCount: number;
  readonly candidateCount: number;
  /** One row of scores, one for each candidate, for each unit. */
  readonly scores: Uint32Array;
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
  matching.scores[unit * matching.candidateCount + candidate]!;

/**
 * Best candidate ranked after a given one for a unit; EMPTY when there is none. The rank is the
 * score, then the position, so that equal scores are ordered too.
 */
const nextChoice = (matching: Matching, unit: number, after: number): number => {
  const limitScore = after === EMPTY ? Infinity : scoreOf(matching, unit, after);
  let best = EMPTY;
  let bestScore = -1;
  for (let candidate = 0; candidate < matching.candidateCount; candidate++) {
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
  const kept = Array.from({ length: matching.candidateCount }, (): number[] => []);
  if (capacity === 0) return { kept, unmatched: units };
  // Position in `kept` of the unit that a full candidate gives up next.
  const weakest = new Int32Array(matching.candidateCount);
  const lastChoice = new Int32Array(matching.unitCount).fill(EMPTY);
  const unmatched: number[] = [];
  const pending = [...units];
  while (pending.length > 0) {
    const unit = pending.pop()!;
    const choice = nextChoice(matching, unit, lastChoice[unit]!);
    if (choice === EMPTY) {
      unmatched.push(unit);
      continue;
    }
    lastChoice[unit] = choice;
    const own = kept[choice]!;
    if (own.length < capacity) {
      own.push(unit);
      if (own.length === capacity) weakest[choice] = weakestOf(matching, own, choice);
      continue;
    }
    const displaced = own[weakest[choice]!]!;
    const displacedScore = scoreOf(matching, displaced, choice);
    const unitScore = scoreOf(matching, unit, choice);
    const isBetter =
      unitScore > displacedScore || (unitScore === displacedScore && unit < displaced);
    if (!isBetter) {
      pending.push(unit);
      continue;
    }
    own[weakest[choice]!] = unit;
    weakest[choice] = weakestOf(matching, own, choice);
    pending.push(displaced);
  }
  return { kept, unmatched };
};

const createMatching = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
): Matching => {
  const unitCount = instances.reduce((sum, instance) => sum + instance.slots, 0);
  const scores = new Uint32Array(unitCount * candidates.length);
  let position = 0;
  for (const instance of instances) {
    const instanceHash = hashName(`${instance.service}/${instance.instanceId}`);
    for (let slot = 0; slot < instance.slots; slot++) {
      const unitHash = mixHashes(instanceHash, slot + 1);
      for (const { hash } of candidates) {
        scores[position] = mixHashes(unitHash, hash);
        position += 1;
      }
    }
  }
  return { unitCount, candidateCount: candidates.length, scores };
};

/** Holders of each instance of a group, in the order of the instances. */
const assignGroup = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
): readonly string[][] => {
  const matching = createMatching(candidates, instances);
  const units = Array.from({ length: matching.unitCount }, (_, unit) => unit);
  // First the equal shares, then at most one of the remaining units for each member.
  const share = Math.floor(matching.unitCount / candidates.length);
  const equal = matchUnits(matching, units, share);
  const extra = matchUnits(matching, equal.unmatched, 1);
  const vmIds = new Array<string>(matching.unitCount);
  candidates.forEach(({ vmId }, candidate) => {
    for (const unit of equal.kept[candidate]!) vmIds[unit] = vmId;
    for (const unit of extra.kept[candidate]!) vmIds[unit] = vmId;
  });
  let first = 0;
  return instances.map(({ slots }) => {
    first += slots;
    return vmIds.slice(first - slots, first);
  });
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

interface CachedGroup {
  readonly inputs: string;
  readonly holders: readonly (readonly string[])[];
}

const describeInputs = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
): string => {
  const members = candidates.map(({ vmId }) => vmId).join(' ');
  return `${members}|${instances.map(({ instanceId, slots }) => `${instanceId}:${slots}`).join(' ')}`;
};

/**
 * Computes slot assignments and keeps the result of each service and failure domain whose members
 * and instances did not change, since most configuration changes concern a single service.
 */
export class SlotAssigner {
  private constructor(private groups: Map<string, CachedGroup>) {}

  /** Creates an assigner that knows no former result. */
  static create(): SlotAssigner {
    return new SlotAssigner(new Map());
  }

  /** The same result as assignSlots. */
  assign(members: readonly SlotMember[], instances: readonly SlotInstance[]): SlotAssignment {
    const assignment = new Map<string, readonly string[]>();
    const everyone = [...members]
      .sort((left, right) => byText(left.vmId, right.vmId))
      .map(({ vmId, failureDomainId }) => ({ vmId, failureDomainId, hash: hashName(vmId) }));
    const sorted = [...instances].sort((left, right) => byText(left.instanceId, right.instanceId));
    const groups = new Map<string, CachedGroup>();
    for (const [service, domains] of groupInstances(sorted)) {
      for (const [failureDomainId, group] of domains) {
        const local = everyone.filter((member) => member.failureDomainId === failureDomainId);
        const candidates = local.length > 0 ? local : everyone;
        const name = JSON.stringify([service, failureDomainId]);
        const result = this.assignCached(name, candidates, group);
        groups.set(name, result);
        group.forEach((instance, index) =>
          assignment.set(instance.instanceId, result.holders[index]!),
        );
      }
    }
    this.groups = groups;
    return assignment;
  }

  private assignCached(
    name: string,
    candidates: readonly Candidate[],
    instances: readonly SlotInstance[],
  ): CachedGroup {
    const inputs = describeInputs(candidates, instances);
    const known = this.groups.get(name);
    if (known?.inputs === inputs) return known;
    if (candidates.length === 0) return { inputs, holders: instances.map(() => []) };
    return { inputs, holders: assignGroup(candidates, instances) };
  }
}

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
): SlotAssignment => SlotAssigner.create().assign(members, instances);
