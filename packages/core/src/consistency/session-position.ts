import type { LogPosition, Term } from '../types/ids.js';

/** A confirmed log position that a session has seen, with the term in which it was confirmed. */
export interface SessionPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

/**
 * Checks whether a member's data include a confirmed position.
 *
 * A confirmed position survives every later promotion, so a member of a later term includes it if
 * its log is at least as long. A member of an earlier term may hold an unconfirmed tail of a
 * replaced primary's log, so its length proves nothing.
 *
 * @param member - term and applied position of the member
 * @param required - confirmed position that the session has seen
 * @returns whether the member's data include everything up to `required`
 */
export function includesPosition(member: SessionPosition, required: SessionPosition): boolean {
  return member.term >= required.term && member.position >= required.position;
}

/**
 * Merges two confirmed positions.
 *
 * @param left - a confirmed position, if any
 * @param right - another confirmed position
 * @returns the higher term and the higher position of the two
 */
export function mergePositions(
  left: SessionPosition | undefined,
  right: SessionPosition,
): SessionPosition {
  if (left === undefined) return right;
  return {
    term: left.term > right.term ? left.term : right.term,
    position: left.position > right.position ? left.position : right.position,
  };
}
