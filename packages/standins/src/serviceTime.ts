import type { RandomSource } from '@bronzelift/common';

/** Draws from the normal distribution with mean 0 and standard deviation 1 (Box-Muller). */
const drawNormal = (random: RandomSource): number =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

/** Draws a lognormal service time; `sigma` is the standard deviation of its logarithm. */
export const drawServiceMs = (random: RandomSource, meanMs: number, sigma: number): number =>
  meanMs * Math.exp(sigma * drawNormal(random) - sigma ** 2 / 2);
