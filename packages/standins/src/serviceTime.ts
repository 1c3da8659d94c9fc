import type { RandomSource } from '@bronzelift/common';

/** A normally distributed number with mean 0 and deviation 1 (Box-Muller). */
const drawNormal = (random: RandomSource): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** A lognormal service time in milliseconds with the given mean and deviation of the logarithm. */
export const drawServiceMs = (random: RandomSource, meanMs: number, sigma: number): number =>
  meanMs * Math.exp(sigma * drawNormal(random) - sigma ** 2 / 2);
