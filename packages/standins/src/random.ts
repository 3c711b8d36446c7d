/** Seeded random numbers, so that every run with the same seed uses the same trace. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns uniformly distributed numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws from an exponential distribution. */
export function drawExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}

/** Draws from a log-normal distribution; `spread` is the standard deviation of the logarithm. */
export function drawLogNormal(random: Random, median: number, spread: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return median * Math.exp(spread * normal);
}
