import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Number of different values that {@link SeededRandom.next} can return. */
const FRACTION_STEPS = 0x7fffffff;

/** Generates pseudo-random numbers; the same seed gives the same sequence. */
export class SeededRandom {
  private readonly generator;

  /** @param seed - any integer */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** @returns a number in [0, 1) */
  next(): number {
    return unsafeUniformIntDistribution(0, FRACTION_STEPS - 1, this.generator) / FRACTION_STEPS;
  }

  /**
   * @param low - minimum, included
   * @param high - maximum, included
   * @returns a uniformly distributed integer
   */
  pickInteger(low: number, high: number): number {
    return unsafeUniformIntDistribution(low, high, this.generator);
  }

  /**
   * @param items - a list that is not empty
   * @returns a random item
   */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.pickInteger(0, items.length - 1)] as Item;
  }
}
