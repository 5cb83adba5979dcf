import type { RequestClass } from './overload-patterns.js';

/** Result of one pattern under one plan. */
export interface OverloadResult {
  /** Share of the requests that were answered within their objective, by class. */
  readonly byClass: readonly number[];
  readonly worstClass: number;
  /** The same of the worst-served organisation with enough requests to tell. */
  readonly worstOrganisation: number;
  /** Share of all requests that were answered after their objective. */
  readonly late: number;
  /** Statements that members refused because their own short queues were full. */
  readonly busyRefusals: number;
}

interface Count {
  arrived: number;
  inTime: number;
}

/** Organisations with fewer requests are left out of the worst-served one. */
const MIN_REQUESTS = 40;

/** Counts the requests of a run. */
export class OverloadTally {
  private readonly byClass = new Map<RequestClass, Count>();

  private readonly byOrganisation = new Map<number, Count>();

  private late = 0;

  private arrived = 0;

  constructor(private readonly classes: readonly RequestClass[]) {}

  /**
   * Records the arrival of a request.
   *
   * @returns records how it ended
   */
  recordArrival(
    kind: RequestClass,
    organisation: number,
  ): (hasReply: boolean, isInTime: boolean) => void {
    const counts = [getCount(this.byClass, kind), getCount(this.byOrganisation, organisation)];
    for (const count of counts) count.arrived += 1;
    this.arrived += 1;
    return (hasReply, isInTime) => {
      if (isInTime) for (const count of counts) count.inTime += 1;
      else if (hasReply) this.late += 1;
    };
  }

  /** @param busyRefusals - statements that members refused */
  computeResult(busyRefusals: number): OverloadResult {
    const byClass = this.classes.map((kind) => computeShare(getCount(this.byClass, kind)));
    const organisations = [...this.byOrganisation.values()]
      .filter(({ arrived }) => arrived >= MIN_REQUESTS)
      .map(computeShare);
    return {
      byClass,
      worstClass: Math.min(1, ...byClass),
      worstOrganisation: Math.min(1, ...organisations),
      late: this.late / this.arrived,
      busyRefusals,
    };
  }
}

function getCount<Key>(counts: Map<Key, Count>, key: Key): Count {
  const known = counts.get(key);
  if (known !== undefined) return known;
  const count = { arrived: 0, inTime: 0 };
  counts.set(key, count);
  return count;
}

function computeShare({ arrived, inTime }: Count): number {
  return inTime / arrived;
}
