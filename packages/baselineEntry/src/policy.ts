import type { RandomSource } from '@bronzelift/common';
import { assertNever, randomInteger } from '@bronzelift/common';

import type { Policy, TrackedInstance } from './types.js';

/** Selects one of the candidates; there must be at least one. */
export type ChooseInstance = (candidates: readonly TrackedInstance[]) => TrackedInstance;

const pickRandom = (random: RandomSource, from: readonly TrackedInstance[]): TrackedInstance =>
  from[randomInteger(random, 0, from.length - 1)]!;

const pickLeastOutstanding = (
  random: RandomSource,
  from: readonly TrackedInstance[],
): TrackedInstance => {
  const fewestOutstanding = Math.min(...from.map(({ outstanding }) => outstanding));
  return pickRandom(
    random,
    from.filter(({ outstanding }) => outstanding === fewestOutstanding),
  );
};

const pickBetterOfTwo = (
  random: RandomSource,
  from: readonly TrackedInstance[],
): TrackedInstance => {
  const first = pickRandom(random, from);
  const others = from.filter((instance) => instance !== first);
  if (others.length === 0) return first;
  const second = pickRandom(random, others);
  return second.outstanding < first.outstanding ? second : first;
};

/** Creates the selection function of one service, which knows only the requests of this process. */
export const createPolicy = (policy: Policy, random: RandomSource): ChooseInstance => {
  switch (policy) {
    case 'random':
      return (from) => pickRandom(random, from);
    case 'round-robin': {
      let position = Math.floor(random.next() * 1_000);
      return (from) => {
        position += 1;
        return from[position % from.length]!;
      };
    }
    case 'least-outstanding':
      return (from) => pickLeastOutstanding(random, from);
    case 'two-choices':
      return (from) => pickBetterOfTwo(random, from);
    default:
      return assertNever(policy);
  }
};
