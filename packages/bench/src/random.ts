import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Random } from "@banyanspool/types";

/** Creates a pseudo-random generator of numbers from 0 up to, not including, 1. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws a number from an exponential distribution. */
export function drawExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Draws an index of `weights` with a probability in proportion to its weight. */
export function drawWeightedIndex(
  random: Random,
  weights: readonly number[],
): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = random() * total;
  for (const [index, weight] of weights.entries()) {
    rest -= weight;
    if (rest < 0) return index;
  }
  return weights.length - 1;
}
