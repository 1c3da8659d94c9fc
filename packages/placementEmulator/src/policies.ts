import { rankPlacements } from '@bronzelift/routing';
import type { PlacementCandidate } from '@bronzelift/routing';

import {
  MAX_REPORT_AGE_MS,
  MAX_GOOD_SLOWDOWN,
  PROBE_DURATION_MS,
  PROBES_PER_SEARCH,
} from './constants.js';
import type { InstanceKnowledge, SelectionContext, Policy } from './types.js';

/** Least estimate that counts as a free slot; estimates from older reports are fractions. */
const MIN_FREE_SLOTS = 0.5;

const pickRandom = ({ known, random }: SelectionContext): InstanceKnowledge =>
  known[Math.floor(random.next() * known.length)]!;

const toCandidate = (known: InstanceKnowledge, slots: number): PlacementCandidate => {
  const reportAtMs = known.report?.atMs ?? -Infinity;
  return {
    instanceId: String(known.instance.index),
    slots,
    report: known.report,
    sentSinceReport: known.ownStartsMs.filter((atMs) => atMs >= reportAtMs).length,
    ownInFlight: known.ownStartsMs.length,
    learnedSlowdown: 1,
    failureShare: 0,
    isLocalDomain: true,
  };
};

const calculateMeanSlowdown = ({ shape }: SelectionContext): number =>
  1 + shape.slowShare * (shape.slowFactor - 1);

const rank = (context: SelectionContext, all: readonly InstanceKnowledge[]) => {
  const { shape, nowMs, random } = context;
  const known = all.filter(({ ejectedUntilMs }) => ejectedUntilMs <= nowMs);
  const request = {
    workMs: shape.workMs,
    meanSlowdown: calculateMeanSlowdown(context),
    reservedSlots: 0,
    nowMs,
  };
  const byId = new Map(known.map((entry) => [String(entry.instance.index), entry]));
  return rankPlacements(
    known.map((entry) => toCandidate(entry, shape.slots)),
    request,
    random,
  ).map((estimate) => ({ estimate, known: byId.get(estimate.candidate.instanceId)! }));
};

const findSuitable = (context: SelectionContext, known: readonly InstanceKnowledge[]) =>
  rank(context, known).find(({ estimate, known: { report } }) => {
    const isFresh = estimate.reportAgeMs < MAX_REPORT_AGE_MS;
    const isFast = (report?.slowdown ?? Infinity) <= MAX_GOOD_SLOWDOWN;
    return isFresh && isFast && estimate.freeSlots >= MIN_FREE_SLOTS;
  })?.known;

/**
 * Selects by load reports as the gateway does, and probes `width` instances if no suitable one has
 * a fresh report.
 */
const createReportedLoadPolicy = (width: number): Policy => ({
  name: `stated-load-${width}`,
  description: `a suitable instance with a fresh report, else the best instance of ${width} probed`,
  decisionMs: PROBE_DURATION_MS,
  refuses: true,
  choose: (context) => {
    const fresh = findSuitable(context, context.known);
    if (fresh !== undefined) return fresh;
    const probed = rank(context, context.known)
      .slice(0, width)
      .map(({ known }) => known);
    probed.forEach(context.probe);
    return findSuitable(context, probed);
  },
});

const perfect: Policy = {
  name: 'perfect',
  description: 'knows the actual slowdown and load of all instances',
  decisionMs: 0,
  refuses: true,
  choose: ({ known, shape }) => {
    const free = known.filter(
      ({ instance: { actual, isOut } }) =>
        !isOut && actual.requestCount < shape.slots && actual.slowdown <= MAX_GOOD_SLOWDOWN,
    );
    return free.sort(
      (left, right) => left.instance.actual.requestCount - right.instance.actual.requestCount,
    )[0];
  },
};

const random: Policy = {
  name: 'random',
  description: 'a random instance',
  decisionMs: 0,
  refuses: false,
  choose: pickRandom,
};

const twoChoices: Policy = {
  name: 'two-choices',
  description:
    'of two random instances, the one with fewer requests of the same entry VM in flight',
  decisionMs: 0,
  refuses: false,
  choose: (context) => {
    const [left, right] = [pickRandom(context), pickRandom(context)];
    return left.ownStartsMs.length <= right.ownStartsMs.length ? left : right;
  },
};

/** Placement policies that an experiment can compare. */
export const POLICIES: readonly Policy[] = [
  random,
  twoChoices,
  createReportedLoadPolicy(1),
  createReportedLoadPolicy(2),
  createReportedLoadPolicy(PROBES_PER_SEARCH),
  createReportedLoadPolicy(5),
  perfect,
];
