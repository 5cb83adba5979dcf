import type { LogPosition, Milliseconds, Term } from '../types/ids.js';

/** A position in a group's log, with the term of the primary that wrote it. */
export interface TermPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

/**
 * Orders positions by term, then by position in the log.
 *
 * @returns negative if `left` comes first, positive if `right` does, 0 if they are equal
 */
export function comparePositions(left: TermPosition, right: TermPosition): number {
  return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/** @returns the later of two positions, or the one that is defined */
export function chooseLaterPosition(
  left: TermPosition | undefined,
  right: TermPosition | undefined,
): TermPosition | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return comparePositions(left, right) >= 0 ? left : right;
}

/**
 * End of the primary's log at a known time.
 *
 * Every commit that was acknowledged before `takenAt` lies at or before the sampled position.
 */
export interface LogSample {
  readonly logPosition: TermPosition;
  /** Time just before the request to the primary was sent. */
  readonly takenAt: Milliseconds;
}
