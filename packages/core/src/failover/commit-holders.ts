import { type Brand, toBrand } from '../types/ids.js';
import { comparePositions, type TermPosition } from '../serving/term-position.js';
import type { MemberEntry } from '../serving/fleet-settings.js';

/**
 * A member in one incarnation. It may hold acknowledged commits that no other replica holds; after
 * a restart it holds none of its earlier data.
 */
export type MemberIncarnation = Brand<string, 'MemberIncarnation'>;

/** @returns the identifier of the incarnation in which a member is listed */
export function formatIncarnation({
  id,
  incarnation,
}: Pick<MemberEntry, 'id' | 'incarnation'>): MemberIncarnation {
  return toBrand<MemberIncarnation>(`${id}/${incarnation}`);
}

/** @returns the member that an incarnation belongs to, and the number that identifies the incarnation */
export function parseIncarnation(
  holder: MemberIncarnation,
): Pick<MemberEntry, 'id' | 'incarnation'> {
  const separator = holder.lastIndexOf('/');
  return {
    id: toBrand<MemberEntry['id']>(holder.slice(0, separator)),
    incarnation: Number(holder.slice(separator + 1)),
  };
}

/** Differences between the recorded holders and the listed members. */
export interface HolderChanges {
  /** Incarnations that are listed but not recorded yet. */
  readonly added: readonly MemberIncarnation[];
  /** Incarnations that are recorded but no longer listed; they may still be up. */
  readonly departed: readonly MemberIncarnation[];
}

/**
 * Compares the recorded holders with the listed members.
 *
 * @param recorded - incarnations that may hold acknowledged commits
 * @param listed - incarnations that are listed now
 */
export function compareHolders(
  recorded: readonly MemberIncarnation[],
  listed: readonly MemberIncarnation[],
): HolderChanges {
  return {
    added: listed.filter((incarnation) => !recorded.includes(incarnation)),
    departed: recorded.filter((incarnation) => !listed.includes(incarnation)),
  };
}

/**
 * Checks whether holders that are gone can be removed from the record without losing a commit.
 *
 * When one replica is enough to acknowledge a commit, a replica that left or restarted empty may
 * have been the only one that held the commit besides the primary. It must stay recorded until
 * another replica has caught up with the primary; otherwise a change of primary could lose that
 * commit. This covers the commits of before only: a holder that may still acknowledge others stays
 * recorded however far the other replicas have received the log.
 *
 * @param primaryPosition - end of the primary's log, read after the holders were found to be gone
 * @param replicaPositions - log positions received by the remaining replicas
 * @param syncReplicas - replicas that must have received a commit before it is acknowledged
 * @returns whether enough remaining replicas hold everything that the departed ones held
 */
export function mayRemoveGone(
  primaryPosition: TermPosition,
  replicaPositions: readonly TermPosition[],
  syncReplicas: number,
): boolean {
  const caughtUp = replicaPositions.filter(
    (received) => comparePositions(received, primaryPosition) >= 0,
  );
  return caughtUp.length >= Math.max(1, syncReplicas);
}
