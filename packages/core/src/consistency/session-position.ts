/** How far a session has seen into a group's log. */
import type { LogPosition, Term } from '../types/ids.js';

/** A place in a group's log, told together with the term in which it was confirmed. */
export interface SessionPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

/**
 * Tells whether a member's data include a confirmed position.
 *
 * A confirmed position survives every later promotion, so that a member of a later term contains
 * it as soon as its log is as long. A member of an earlier term may hold a replaced primary's
 * unconfirmed tail, and proves nothing.
 *
 * @param member - term and applied position of the member
 * @param wanted - confirmed position that the session has seen
 * @returns whether the member shows everything up to `wanted`
 */
export function includesPosition(member: SessionPosition, wanted: SessionPosition): boolean {
  return member.term >= wanted.term && member.position >= wanted.position;
}

/**
 * @param left - one confirmed position, if any
 * @param right - another
 * @returns the later of the two
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
