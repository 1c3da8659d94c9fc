import type { RandomSource } from '@bronzelift/common';
import { randomInteger } from '@bronzelift/common';

/** Median of a list, the lower of two middle values; undefined for an empty list. */
export const calculateMedian = (values: readonly number[]): number | undefined => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
};

/** Picks two different random items; returns a shorter list unchanged. */
export const pickTwo = <T>(random: RandomSource, items: readonly T[]): readonly T[] => {
  if (items.length < 2) return items;
  const first = randomInteger(random, 0, items.length - 1);
  const offset = randomInteger(random, 1, items.length - 1);
  return [items[first]!, items[(first + offset) % items.length]!];
};

/** Picks the better of two random items; undefined for an empty list. */
export const pickByTwoChoices = <T>(
  random: RandomSource,
  items: readonly T[],
  isBetter: (item: T, other: T) => boolean,
): T | undefined => {
  const [first, second] = pickTwo(random, items);
  if (first === undefined || second === undefined) return first;
  return isBetter(second, first) ? second : first;
};
