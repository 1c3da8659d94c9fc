import type { RandomSource } from './types.js';

const UINT32_RANGE = 2 ** 32;

/** Generator of reproducible random numbers from a seed (mulberry32). */
export class SeededRandom implements RandomSource {
  private constructor(private state: number) {}

  /** Only the lower 32 bits of the seed are used. */
  static create(seed: number): SeededRandom {
    return new SeededRandom(Math.trunc(seed) % UINT32_RANGE);
  }

  /* eslint-disable no-bitwise -- mulberry32 is defined on 32-bit words */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }
  /* eslint-enable no-bitwise */
}

/** Unseeded random numbers from `Math.random`. */
export const systemRandom: RandomSource = { next: () => Math.random() };

/** Draws a random integer from `min` to `max`, both inclusive. */
export const randomInteger = (random: RandomSource, min: number, max: number): number =>
  min + Math.floor(random.next() * (max - min + 1));

/** Returns a copy of a list in random order. */
export const shuffle = <T>(random: RandomSource, items: readonly T[]): T[] => {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = randomInteger(random, 0, last);
    [shuffled[last], shuffled[other]] = [shuffled[other]!, shuffled[last]!];
  }
  return shuffled;
};
