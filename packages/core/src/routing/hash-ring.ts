/** Consistent hashing: finds holders of many roles among many instances in little time. */
import { createHash } from 'node:crypto';

interface RingPoint<Id extends string> {
  readonly hash: string;
  readonly id: Id;
}

/** Points of each candidate; more of them spread the roles more evenly. */
const POINTS_PER_CANDIDATE = 16;

/** A ring of candidates; few roles move when a candidate comes or goes. */
export class HashRing<Id extends string> {
  private readonly points: RingPoint<Id>[] = [];

  /** @param candidates - who may hold roles */
  constructor(candidates: Iterable<Id>) {
    for (const id of candidates) {
      for (let number = 0; number < POINTS_PER_CANDIDATE; number += 1) {
        this.points.push({ hash: computeHash(`${id}\0${number}`), id });
      }
    }
    this.points.sort((left, right) => (left.hash < right.hash ? -1 : 1));
  }

  /**
   * @param role - name of a role
   * @returns its holder, if there is any candidate
   */
  find(role: string): Id | undefined {
    const { points } = this;
    const hash = computeHash(role);
    let low = 0;
    let high = points.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((points[middle]?.hash ?? '') < hash) low = middle + 1;
      else high = middle;
    }
    return (points[low] ?? points[0])?.id;
  }
}

function computeHash(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}
