import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const RANDOM_RANGE = 0x7fffffff;

/**
 * Creates the random source of one process. Decision modules receive it as a parameter and draw no
 * random numbers of their own.
 *
 * @returns a function that returns uniform numbers in [0, 1), seeded from the monotonic clock
 */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(Number(process.hrtime.bigint() % BigInt(RANDOM_RANGE)));
  return () => unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
}
