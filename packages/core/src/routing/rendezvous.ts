/** Rendezvous hashing: every instance chooses the same holders of a role without a message. */
import { createHash } from 'node:crypto';

/**
 * Chooses holders of a role.
 *
 * @param role - name of what is to be held
 * @param candidates - who may hold it
 * @param count - how many holders
 * @returns the holders, in a fixed order; few of them change when a candidate comes or goes
 */
export function chooseHolders<Id extends string>(
  role: string,
  candidates: Iterable<Id>,
  count: number,
): Id[] {
  const scored = [...candidates].map((id) => ({ id, score: computeScore(role, id) }));
  scored.sort((left, right) => (left.score < right.score ? 1 : -1));
  return scored.slice(0, count).map(({ id }) => id);
}

function computeScore(role: string, id: string): string {
  return createHash('sha1').update(`${role}\0${id}`).digest('hex');
}
