import MurmurHash3 from 'imurmurhash';

/**
 * Chooses the holders of a role by rendezvous hashing, so that all instances choose the same ones
 * without communication.
 *
 * The hash is fast rather than cryptographic: candidates are instances of one fleet, and a fleet of
 * hundreds recomputes thousands of roles whenever an instance is added or removed.
 *
 * @param role - name of the role
 * @param candidates - ids that may hold the role
 * @param count - number of holders
 * @returns the holders, in a fixed order; few change when a candidate is added or removed
 */
export function chooseHolders<Id extends string>(
  role: string,
  candidates: Iterable<Id>,
  count: number,
): Id[] {
  const seed = computeScore(role, 0);
  if (count === 1) {
    const holder = chooseHolder(seed, candidates);
    return holder === undefined ? [] : [holder];
  }
  const scored = [...candidates].map((id) => ({ id, score: computeScore(id, seed) }));
  scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
  return scored.slice(0, count).map(({ id }) => id);
}

function chooseHolder<Id extends string>(seed: number, candidates: Iterable<Id>): Id | undefined {
  let best: Id | undefined;
  let bestScore = -1;
  for (const id of candidates) {
    const score = computeScore(id, seed);
    if (score > bestScore || (score === bestScore && best !== undefined && id < best)) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}

function computeScore(text: string, seed: number): number {
  return MurmurHash3(text, seed).result();
}

/** A candidate with its weight relative to the others. */
export interface WeightedCandidate<Id extends string> {
  readonly id: Id;
  readonly weight: number;
}

/** Number of values that {@link computeScore} returns. */
const SCORE_RANGE = 2 ** 32;

/**
 * Chooses the holders of a role by weighted rendezvous hashing: a candidate of twice the weight holds
 * twice as many roles.
 *
 * @param role - name of the role
 * @param candidates - candidates with positive weights
 * @param count - number of holders
 * @returns the holders, in a fixed order; few change when a candidate is added or removed
 */
export function chooseWeightedHolders<Id extends string>(
  role: string,
  candidates: readonly WeightedCandidate<Id>[],
  count: number,
): Id[] {
  const seed = computeScore(role, 0);
  const scored = candidates.map(({ id, weight }) => {
    const fraction = (computeScore(id, seed) + 1) / (SCORE_RANGE + 1);
    return { id, score: -weight / Math.log(fraction) };
  });
  scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
  return scored.slice(0, count).map(({ id }) => id);
}
