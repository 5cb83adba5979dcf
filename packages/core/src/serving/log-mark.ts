/** A place in a group's log as members tell it: the term of the primary and a number. */
import type { LogPosition, Milliseconds, Term } from '../types/ids.js';

/** A place in a group's log. */
export interface LogMark {
  readonly term: Term;
  readonly position: LogPosition;
}

/**
 * @param left - one place
 * @param right - another
 * @returns negative if `left` comes first, positive if `right` does, 0 if they are the same
 */
export function compareMarks(left: LogMark, right: LogMark): number {
  return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/**
 * @param left - one place, if any
 * @param right - another, if any
 * @returns the later one
 */
export function chooseLaterMark(
  left: LogMark | undefined,
  right: LogMark | undefined,
): LogMark | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return compareMarks(left, right) >= 0 ? left : right;
}

/**
 * What the primary's log held at a known moment.
 *
 * Every commit that was acknowledged before `takenAt` lies at or before `mark`.
 */
export interface LogSample {
  readonly mark: LogMark;
  /** Moment before the primary was asked. */
  readonly takenAt: Milliseconds;
}
