import { rankPlacements } from '@bronzelift/routing';
import type { PlacementCandidate } from '@bronzelift/routing';

import { FRESH_REPORT_MS, GOOD_SLOWDOWN, PROBE_MS, PROBE_WIDTH } from './constants.js';
import type { InstanceKnowledge, PlacementQuestion, Policy } from './types.js';

/** A stated load that leaves a slot free; estimates from older reports are fractions. */
const MIN_FREE_SLOTS = 0.5;

const pickAny = ({ known, random }: PlacementQuestion): InstanceKnowledge =>
  known[Math.floor(random.next() * known.length)]!;

const toCandidate = (known: InstanceKnowledge, slots: number): PlacementCandidate => {
  const reportAtMs = known.report?.atMs ?? -Infinity;
  return {
    instanceId: String(known.instance.index),
    slots,
    report: known.report,
    sentSinceReport: known.ownStartsMs.filter((atMs) => atMs >= reportAtMs).length,
    ownInFlight: known.ownStartsMs.length,
    speedFactor: 1,
    failureShare: 0,
    isLocalDomain: true,
  };
};

const usualSlowdownOf = ({ shape }: PlacementQuestion): number =>
  1 + shape.slowShare * (shape.slowFactor - 1);

const rank = (question: PlacementQuestion, all: readonly InstanceKnowledge[]) => {
  const { shape, nowMs, random } = question;
  const known = all.filter(({ ejectedUntilMs }) => ejectedUntilMs <= nowMs);
  const need = {
    workMs: shape.workMs,
    usualSlowdown: usualSlowdownOf(question),
    reservedSlots: 0,
    nowMs,
  };
  const byId = new Map(known.map((entry) => [String(entry.instance.index), entry]));
  return rankPlacements(
    known.map((entry) => toCandidate(entry, shape.slots)),
    need,
    random,
  ).map((estimate) => ({ estimate, known: byId.get(estimate.candidate.instanceId)! }));
};

const findGood = (question: PlacementQuestion, known: readonly InstanceKnowledge[]) =>
  rank(question, known).find(({ estimate, known: { report } }) => {
    const isFresh = estimate.reportAgeMs < FRESH_REPORT_MS;
    const isGood = (report?.slowdown ?? Infinity) <= GOOD_SLOWDOWN;
    return isFresh && isGood && estimate.freeSlots >= MIN_FREE_SLOTS;
  })?.known;

/** The gateway's way: a fresh report, else the best of a few probed. */
const createStatedLoad = (width: number): Policy => ({
  name: `stated-load-${width}`,
  description: `a fresh report, else the best of ${width} probed`,
  decisionMs: PROBE_MS,
  refuses: true,
  choose: (question) => {
    const fresh = findGood(question, question.known);
    if (fresh !== undefined) return fresh;
    const asked = rank(question, question.known)
      .slice(0, width)
      .map(({ known }) => known);
    asked.forEach(question.probe);
    return findGood(question, asked);
  },
});

const perfect: Policy = {
  name: 'perfect',
  description: 'knows pace and load of all instances at the moment of the choice',
  decisionMs: 0,
  refuses: true,
  choose: ({ known, shape }) => {
    const free = known.filter(
      ({ instance: { actual, isOut } }) =>
        !isOut && actual.busy < shape.slots && actual.slowdown <= GOOD_SLOWDOWN,
    );
    return free.sort((left, right) => left.instance.actual.busy - right.instance.actual.busy)[0];
  },
};

const random: Policy = {
  name: 'random',
  description: 'any instance',
  decisionMs: 0,
  refuses: false,
  choose: pickAny,
};

const twoChoices: Policy = {
  name: 'two-choices',
  description: 'the one of two with fewer own requests in flight',
  decisionMs: 0,
  refuses: false,
  choose: (question) => {
    const [left, right] = [pickAny(question), pickAny(question)];
    return left.ownStartsMs.length <= right.ownStartsMs.length ? left : right;
  },
};

/** All policies that can be tried. */
export const POLICIES: readonly Policy[] = [
  random,
  twoChoices,
  createStatedLoad(1),
  createStatedLoad(2),
  createStatedLoad(PROBE_WIDTH),
  createStatedLoad(5),
  perfect,
];
