import type { Milliseconds } from '../types/ids.js';

/** Weight of the newest statement in the mean, an average of about the last ten. */
const SMOOTHING_FACTOR = 0.2;
/**
 * Time for which a mean describes the member. A member without statements for longer counts as unknown,
 * so that one that was slow is tried again.
 */
const MEAN_TTL_MS = 3000;
/** Priorities that are told apart; higher ones count as the last of these. */
const MAX_PRIORITIES = 8;

interface MeanTime {
  readonly ms: number;
  readonly updatedAt: Milliseconds;
}

/**
 * Tracks how long the statements of each priority take at a member.
 *
 * Load pattern: a member takes seven times as long as the others of its group, or members are equally
 * fast and run different classes of statements. Times are kept apart by priority, so that a primary with
 * many short writes does not look faster for long reads than a replica that runs nothing else.
 */
export class StatementTimes {
  private readonly means: (MeanTime | undefined)[] = [];

  /**
   * Records a statement that the member has replied to, or a mean that its host has reported.
   *
   * @param priority - priority of the statement; 0 is the most urgent
   * @param ms - time that it took
   * @param now - current time
   */
  record(priority: number, ms: number, now: Milliseconds): void {
    const index = toIndex(priority);
    const mean = this.findMean(index, now)?.ms ?? ms;
    this.means[index] = { ms: mean + SMOOTHING_FACTOR * (ms - mean), updatedAt: now };
  }

  /**
   * Replaces the mean by the one that the member's host has reported.
   *
   * @param priority - priority of the statements; 0 is the most urgent
   * @param ms - their mean time
   * @param now - current time
   */
  setMean(priority: number, ms: number, now: Milliseconds): void {
    this.means[toIndex(priority)] = { ms, updatedAt: now };
  }

  /**
   * @param priority - priority of a statement; 0 is the most urgent
   * @param now - current time
   * @returns the mean time of such statements, or undefined if none ended lately
   */
  findMeanMs(priority: number, now: Milliseconds): number | undefined {
    return this.findMean(toIndex(priority), now)?.ms;
  }

  private findMean(index: number, now: Milliseconds): MeanTime | undefined {
    const mean = this.means[index];
    return mean !== undefined && now - mean.updatedAt < MEAN_TTL_MS ? mean : undefined;
  }
}

function toIndex(priority: number): number {
  return Math.min(MAX_PRIORITIES - 1, Math.max(0, Math.floor(priority)));
}
