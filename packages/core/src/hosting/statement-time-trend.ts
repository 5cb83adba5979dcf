import type { Milliseconds } from '../types/ids.js';

/** Weight of the newest statement in the mean, an average of about the last forty. */
const SMOOTHING_FACTOR = 0.05;
/**
 * Statements after which a mean may be the lowest. Times within a class differ by a factor of ten, so
 * that a single one or a mean of few says nothing.
 */
const MIN_STATEMENTS = 20;
/** The lowest mean is that of one or two such periods, so that a lasting change becomes usual. */
const LOWEST_PERIOD_MS = 10_000;
/** Factors on the lowest mean above which a class is slow, within its objective and beyond it. */
const SLOW_RATIO = 3;
const LATE_RATIO = 2;
/** Classes that are told apart, with the one of open transactions; higher ones count as the last. */
const MAX_CLASSES = 9;

/** Times of the statements of a class. */
export interface ClassTimes {
  readonly meanMs: number;
  /** Lowest mean seen lately; undefined before enough statements ended. */
  readonly lowestMs: number | undefined;
}

/** How the statements of a class compare with the fastest ones seen lately. */
export type TimeLevel =
  | 'usual'
  /** Much slower, but within the callers' objective. */
  | 'slow'
  /** Slower, and beyond the objective. */
  | 'late';

interface ClassState {
  meanMs: number;
  count: number;
  periodStartedAt: Milliseconds;
  lowestMs: number | undefined;
  previousLowestMs: number | undefined;
}

/** Tracks the mean time of the statements of each class at a member, and the lowest lately. */
export class StatementTimeTrend {
  private readonly classes: (ClassState | undefined)[] = [];

  /**
   * Records a statement that the member answered.
   *
   * @param priority - class of the statement; negative for open transactions
   * @param elapsedMs - time that it took, in milliseconds
   * @param now - current time
   */
  record(priority: number, elapsedMs: number, now: Milliseconds): void {
    const index = toIndex(priority);
    const state = this.classes[index] ?? createState(elapsedMs, now);
    this.classes[index] = state;
    state.count += 1;
    const weight = Math.max(SMOOTHING_FACTOR, 1 / state.count);
    state.meanMs += weight * (elapsedMs - state.meanMs);
    const elapsedPeriods = (now - state.periodStartedAt) / LOWEST_PERIOD_MS;
    if (elapsedPeriods >= 1) {
      state.previousLowestMs = elapsedPeriods < 2 ? state.lowestMs : undefined;
      state.lowestMs = undefined;
      state.periodStartedAt = now;
    }
    if (state.count < MIN_STATEMENTS) return;
    state.lowestMs = Math.min(state.lowestMs ?? Infinity, state.meanMs);
  }

  /** @returns the times of a class, or undefined if none was recorded lately */
  find(priority: number, now: Milliseconds): ClassTimes | undefined {
    const state = this.classes[toIndex(priority)];
    if (state === undefined) return undefined;
    if (now - state.periodStartedAt >= 2 * LOWEST_PERIOD_MS) return undefined;
    const lowestMs = Math.min(state.lowestMs ?? Infinity, state.previousLowestMs ?? Infinity);
    return { meanMs: state.meanMs, lowestMs: lowestMs === Infinity ? undefined : lowestMs };
  }

  /**
   * @param priority - class of a statement
   * @param objectiveMs - time within which its caller expects the answer, in milliseconds
   * @param now - current time
   * @returns how the statements of the class compare with the fastest ones
   */
  classify(priority: number, objectiveMs: number, now: Milliseconds): TimeLevel {
    const { meanMs, lowestMs } = this.find(priority, now) ?? {};
    if (meanMs === undefined || lowestMs === undefined) return 'usual';
    if (meanMs > objectiveMs && meanMs > lowestMs * LATE_RATIO) return 'late';
    return meanMs > lowestMs * SLOW_RATIO ? 'slow' : 'usual';
  }
}

function createState(meanMs: number, periodStartedAt: Milliseconds): ClassState {
  const unknown = { lowestMs: undefined, previousLowestMs: undefined };
  return { meanMs, count: 0, periodStartedAt, ...unknown };
}

function toIndex(priority: number): number {
  return Math.min(MAX_CLASSES - 1, Math.max(0, Math.floor(priority) + 1));
}
