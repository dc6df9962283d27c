/**
 * Seeded random numbers for decision code. The generator is passed in, so a
 * run can be reproduced from its seed.
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A random number generator. */
export interface Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFloat(): number;
  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  nextInt(bound: number): number;
}

const FLOAT_STEPS = 2 ** 32;

/** Creates a generator that produces the same sequence for the same integer `seed`. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);

  const nextFloat = () => (generator.next() >>> 0) / FLOAT_STEPS;
  return {
    nextFloat,
    nextInt: (bound) => Math.floor(nextFloat() * bound),
  };
}
