/**
 * Seeded random numbers for decision code. The generator is passed in, so a
 * run can be repeated from its seed.
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers. */
export interface Random {
  /** A number from 0 up to, but not including, 1. */
  nextFloat(): number;
  /** An integer from 0 up to, but not including, `bound`. */
  nextInt(bound: number): number;
}

const FLOAT_STEPS = 2 ** 32;

/** Creates a generator whose sequence is fixed by the integer `seed`. */
export function createSeededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);

  const nextFloat = () => (generator.next() >>> 0) / FLOAT_STEPS;
  return {
    nextFloat,
    nextInt: (bound) => Math.floor(nextFloat() * bound),
  };
}
