import type { FailureDomainId, ServiceName } from '@bronzelift/common';

import type { SlotAssignment, SlotInstance, SlotMember } from './types.js';
import { hashName, mixHashes } from './utils.js';

const EMPTY = -1;

interface Candidate {
  readonly vmId: string;
  readonly hash: number;
}

/**
 * Scores of one assignment. A unit is a slot, numbered consecutively over all instances of a group.
 */
interface ScoreTable {
  readonly unitCount: number;
  readonly candidateCount: number;
  /** For each unit a row with the score of each candidate. */
  readonly scores: Uint32Array;
}

interface MatchResult {
  /** Units assigned to each candidate. */
  readonly kept: readonly (readonly number[])[];
  /** Units that no candidate had capacity for. */
  readonly unmatched: readonly number[];
}

const compareText = (left: string, right: string): number => {
  if (left === right) return 0;
  return left < right ? -1 : 1;
};

const getScore = (scoreTable: ScoreTable, unit: number, candidate: number): number =>
  scoreTable.scores[unit * scoreTable.candidateCount + candidate]!;

/**
 * Finds the best candidate of a unit that ranks after the candidate `after`; EMPTY if there is
 * none. Candidates are ranked by score, then by position, so that equal scores have an order too.
 */
const findNextCandidate = (scoreTable: ScoreTable, unit: number, after: number): number => {
  const limitScore = after === EMPTY ? Infinity : getScore(scoreTable, unit, after);
  let best = EMPTY;
  let bestScore = -1;
  for (let candidate = 0; candidate < scoreTable.candidateCount; candidate++) {
    const score = getScore(scoreTable, unit, candidate);
    const isAfter = score < limitScore || (score === limitScore && candidate > after);
    if (isAfter && score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
};

/** Finds the position in `units` of the unit with the lowest score. */
const findLowestScore = (
  scoreTable: ScoreTable,
  units: readonly number[],
  candidate: number,
): number => {
  let lowest = 0;
  let lowestScore = Infinity;
  for (let position = 0; position < units.length; position++) {
    const score = getScore(scoreTable, units[position]!, candidate);
    const isLower =
      score < lowestScore || (score === lowestScore && units[position]! > units[lowest]!);
    if (isLower) {
      lowest = position;
      lowestScore = score;
    }
  }
  return lowest;
};

/**
 * Assigns every unit to its best candidate; a candidate above its capacity keeps the units with the
 * highest scores (deferred acceptance). The result does not depend on the order of the units.
 */
const matchUnits = (
  scoreTable: ScoreTable,
  units: readonly number[],
  capacity: number,
): MatchResult => {
  const kept = Array.from({ length: scoreTable.candidateCount }, (): number[] => []);
  if (capacity === 0) return { kept, unmatched: units };
  // Position in `kept` of the unit that a full candidate releases next.
  const lowestPositions = new Int32Array(scoreTable.candidateCount);
  const lastChoice = new Int32Array(scoreTable.unitCount).fill(EMPTY);
  const unmatched: number[] = [];
  const pending = [...units];
  while (pending.length > 0) {
    const unit = pending.pop()!;
    const choice = findNextCandidate(scoreTable, unit, lastChoice[unit]!);
    if (choice === EMPTY) {
      unmatched.push(unit);
      continue;
    }
    lastChoice[unit] = choice;
    const choiceUnits = kept[choice]!;
    if (choiceUnits.length < capacity) {
      choiceUnits.push(unit);
      if (choiceUnits.length === capacity)
        lowestPositions[choice] = findLowestScore(scoreTable, choiceUnits, choice);
      continue;
    }
    const displaced = choiceUnits[lowestPositions[choice]!]!;
    const displacedScore = getScore(scoreTable, displaced, choice);
    const unitScore = getScore(scoreTable, unit, choice);
    const isBetter =
      unitScore > displacedScore || (unitScore === displacedScore && unit < displaced);
    if (!isBetter) {
      pending.push(unit);
      continue;
    }
    choiceUnits[lowestPositions[choice]!] = unit;
    lowestPositions[choice] = findLowestScore(scoreTable, choiceUnits, choice);
    pending.push(displaced);
  }
  return { kept, unmatched };
};

const createScoreTable = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
): ScoreTable => {
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

/**
 * Assigns the slots of a group; returns the holders of each instance, in the order of the
 * instances.
 */
const assignGroup = (
  candidates: readonly Candidate[],
  instances: readonly SlotInstance[],
): readonly string[][] => {
  const scoreTable = createScoreTable(candidates, instances);
  const units = Array.from({ length: scoreTable.unitCount }, (_, unit) => unit);
  // Assigns equal shares first, then at most one of the remaining units to each member.
  const share = Math.floor(scoreTable.unitCount / candidates.length);
  const equalShares = matchUnits(scoreTable, units, share);
  const extraUnits = matchUnits(scoreTable, equalShares.unmatched, 1);
  const vmIds = new Array<string>(scoreTable.unitCount);
  candidates.forEach(({ vmId }, candidate) => {
    for (const unit of equalShares.kept[candidate]!) vmIds[unit] = vmId;
    for (const unit of extraUnits.kept[candidate]!) vmIds[unit] = vmId;
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
 * Computes slot assignments and caches the result of each service and failure domain. Only groups
 * whose members or instances changed are computed again, since most configuration changes concern a
 * single service.
 */
export class SlotAssigner {
  private constructor(private groups: Map<string, CachedGroup>) {}

  /** Creates an assigner with an empty cache. */
  static create(): SlotAssigner {
    return new SlotAssigner(new Map());
  }

  /** Returns the same result as `assignSlots`, but uses the cache. */
  assign(members: readonly SlotMember[], instances: readonly SlotInstance[]): SlotAssignment {
    const assignment = new Map<string, readonly string[]>();
    const allCandidates = [...members]
      .sort((left, right) => compareText(left.vmId, right.vmId))
      .map(({ vmId, failureDomainId }) => ({ vmId, failureDomainId, hash: hashName(vmId) }));
    const sorted = [...instances].sort((left, right) =>
      compareText(left.instanceId, right.instanceId),
    );
    const groups = new Map<string, CachedGroup>();
    for (const [service, domains] of groupInstances(sorted)) {
      for (const [failureDomainId, group] of domains) {
        const local = allCandidates.filter((member) => member.failureDomainId === failureDomainId);
        const candidates = local.length > 0 ? local : allCandidates;
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
    const cached = this.groups.get(name);
    if (cached?.inputs === inputs) return cached;
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
 * epoch that protects slots therefore has to advance with the configuration as well as the roster,
 * and no input may depend on what entry VMs learn at different times (health, VM list).
 */
export const assignSlots = (
  members: readonly SlotMember[],
  instances: readonly SlotInstance[],
): SlotAssignment => SlotAssigner.create().assign(members, instances);
