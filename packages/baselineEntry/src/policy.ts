import type { RandomSource } from '@bronzelift/common';
import { assertNever, randomInteger } from '@bronzelift/common';

import type { Policy, TrackedInstance } from './types.js';

/** Chooses one of the candidates, of which there is at least one. */
export type ChooseInstance = (candidates: readonly TrackedInstance[]) => TrackedInstance;

const pickAny = (random: RandomSource, from: readonly TrackedInstance[]): TrackedInstance =>
  from[randomInteger(random, 0, from.length - 1)]!;

const pickLeast = (random: RandomSource, from: readonly TrackedInstance[]): TrackedInstance => {
  const least = Math.min(...from.map(({ outstanding }) => outstanding));
  return pickAny(
    random,
    from.filter(({ outstanding }) => outstanding === least),
  );
};

const pickTwo = (random: RandomSource, from: readonly TrackedInstance[]): TrackedInstance => {
  const first = pickAny(random, from);
  const others = from.filter((one) => one !== first);
  if (others.length === 0) return first;
  const second = pickAny(random, others);
  return second.outstanding < first.outstanding ? second : first;
};

/** Creates the choice of one service; it sees only the requests of its own process. */
export const createPolicy = (policy: Policy, random: RandomSource): ChooseInstance => {
  switch (policy) {
    case 'random':
      return (from) => pickAny(random, from);
    case 'round-robin': {
      let turn = Math.floor(random.next() * 1_000);
      return (from) => {
        turn += 1;
        return from[turn % from.length]!;
      };
    }
    case 'least-outstanding':
      return (from) => pickLeast(random, from);
    case 'two-choices':
      return (from) => pickTwo(random, from);
    default:
      return assertNever(policy);
  }
};
