/** Random numbers of one process; chance is passed to the decisions, never taken by them. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const RANGE = 0x7fffffff;

/**
 * @returns a source of numbers in [0, 1), seeded by the machine's clock
 */
export function createRandom(): () => number {
  const generator = xoroshiro128plus(Number(process.hrtime.bigint() % BigInt(RANGE)));
  return () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
}
