/** Seeded random numbers. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const RANGE = 0x7fffffff;

/** Random numbers of one cell; the same seed gives the same numbers. */
export class SeededRandom {
  private readonly generator;

  /** @param seed - any whole number */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns a number in [0, 1) */
  next(): number {
    return unsafeUniformIntDistribution(0, RANGE - 1, this.generator) / RANGE;
  }

  /**
   * @param low - least number
   * @param high - greatest number
   * @returns a whole number between them, both included
   */
  pickInteger(low: number, high: number): number {
    return unsafeUniformIntDistribution(low, high, this.generator);
  }

  /**
   * @param items - a list that is not empty
   * @returns one of its items
   */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.pickInteger(0, items.length - 1)] as Item;
  }
}
