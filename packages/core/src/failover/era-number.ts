/** Numbers that can be given out within one era; no store makes as many changes. */
const NUMBERS_PER_ERA = 2 ** 32;

/**
 * Computes a number that is above every number of an earlier era, although the store gives out its
 * revisions again after it has returned from an older copy.
 *
 * @param era - era of the store
 * @param revision - revision of the store, or another number that it has given out in this era
 * @returns the number
 */
export function computeEraNumber(era: number, revision: number): number {
  return era * NUMBERS_PER_ERA + revision;
}

/**
 * Splits a number that `computeEraNumber` has computed.
 *
 * @param number - the number
 * @returns era and revision
 */
export function splitEraNumber(number: number): { era: number; revision: number } {
  return { era: Math.floor(number / NUMBERS_PER_ERA), revision: number % NUMBERS_PER_ERA };
}

/**
 * Computes the epoch of the next record of a group's primary. Records that were written in an earlier
 * era and then lost have lower epochs, even if this instance never saw them.
 *
 * @param previous - highest epoch that is known; 0 for none
 * @param era - era of the store that the record is written to
 * @returns the epoch
 */
export function computeNextEpoch(previous: number, era: number): number {
  return Math.max(previous + 1, computeEraNumber(era, 1));
}
