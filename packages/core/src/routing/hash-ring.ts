import { createHash } from 'node:crypto';

interface VirtualNode<Id extends string> {
  readonly hash: string;
  readonly id: Id;
}

/** More virtual nodes spread the roles more evenly over the candidates. */
const VIRTUAL_NODES_PER_CANDIDATE = 16;

/**
 * Assigns roles to candidates by consistent hashing. A lookup takes logarithmic time, and few roles
 * move when a candidate is added or removed.
 */
export class HashRing<Id extends string> {
  private readonly nodes: VirtualNode<Id>[] = [];

  /** @param candidates - ids of the candidates */
  constructor(candidates: Iterable<Id>) {
    for (const id of candidates) {
      for (let number = 0; number < VIRTUAL_NODES_PER_CANDIDATE; number += 1) {
        this.nodes.push({ hash: computeHash(`${id}\0${number}`), id });
      }
    }
    this.nodes.sort((left, right) => (left.hash < right.hash ? -1 : 1));
  }

  /**
   * Finds the holder of a role.
   *
   * @param role - name of the role
   * @returns its holder, or undefined if there are no candidates
   */
  find(role: string): Id | undefined {
    const { nodes } = this;
    const hash = computeHash(role);
    let low = 0;
    let high = nodes.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((nodes[middle]?.hash ?? '') < hash) low = middle + 1;
      else high = middle;
    }
    return (nodes[low] ?? nodes[0])?.id;
  }
}

function computeHash(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}
