import type { Milliseconds, OrganisationId } from '../types/ids.js';

/** Identifies a waiting request. */
export type QueueTicket = number;

/** Capacity limits of a queue. */
export interface QueueBounds {
  /** Maximum waiting requests of one organisation. */
  readonly perOrganisation: number;
  /** Maximum waiting requests of all organisations together. */
  readonly total: number;
}

interface WaitingRequest {
  readonly ticket: QueueTicket;
  readonly deadline: Milliseconds;
}

interface OrganisationQueue {
  readonly waiting: WaitingRequest[];
  weight: number;
  deficit: number;
}

/** Every request costs the same, since each occupies one connection. */
const REQUEST_COST = 1;

/**
 * Bounded queue with deficit round robin between organisations, so that no organisation waits
 * longer because another one sends more requests.
 */
export class FairQueue {
  private readonly queues = new Map<OrganisationId, OrganisationQueue>();

  /** Organisations with waiting requests, in the order in which they are served. */
  private rotation: OrganisationId[] = [];

  private count = 0;

  private nextTicket = 1;

  /** @param bounds - capacity limits */
  constructor(private readonly bounds: QueueBounds) {}

  /** @returns number of waiting requests */
  get size(): number {
    return this.count;
  }

  /**
   * @param organisation - the organisation
   * @returns number of its waiting requests
   */
  countWaiting(organisation: OrganisationId): number {
    return this.queues.get(organisation)?.waiting.length ?? 0;
  }

  /**
   * Adds a request.
   *
   * @param organisation - organisation of the request
   * @param weight - share of the organisation relative to others
   * @param deadline - time at which the request expires
   * @returns its ticket, or undefined if a capacity limit is reached
   */
  push(
    organisation: OrganisationId,
    weight: number,
    deadline: Milliseconds,
  ): QueueTicket | undefined {
    const queue = this.queues.get(organisation) ?? { waiting: [], weight, deficit: 0 };
    const isFull = queue.waiting.length >= this.bounds.perOrganisation;
    if (isFull || this.count >= this.bounds.total) return undefined;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    if (queue.waiting.length === 0) this.rotation.push(organisation);
    queue.waiting.push({ ticket, deadline });
    queue.weight = weight;
    this.queues.set(organisation, queue);
    this.count += 1;
    return ticket;
  }

  /**
   * Removes the next request to serve.
   *
   * @returns its ticket, or undefined if no request waits
   */
  shift(): QueueTicket | undefined {
    if (this.count === 0) return undefined;
    for (;;) {
      const organisation = this.rotation[0];
      const queue = organisation === undefined ? undefined : this.queues.get(organisation);
      if (organisation === undefined || queue === undefined) return undefined;
      if (queue.deficit < REQUEST_COST) {
        queue.deficit += queue.weight;
        if (queue.deficit < REQUEST_COST) {
          this.rotate();
          continue;
        }
      }
      return this.shiftFrom(organisation, queue);
    }
  }

  /**
   * Removes requests whose deadline has passed.
   *
   * @param now - current time
   * @returns their tickets
   */
  expire(now: Milliseconds): QueueTicket[] {
    const expired: QueueTicket[] = [];
    for (const [organisation, queue] of this.queues) {
      for (let index = queue.waiting.length - 1; index >= 0; index -= 1) {
        const waiting = queue.waiting[index];
        if (waiting !== undefined && waiting.deadline <= now) {
          expired.push(waiting.ticket);
          queue.waiting.splice(index, 1);
        }
      }
      if (queue.waiting.length === 0) this.removeQueue(organisation);
    }
    this.count -= expired.length;
    return expired;
  }

  /**
   * Removes a waiting request.
   *
   * @param ticket - ticket of the request
   * @returns whether it was waiting
   */
  remove(ticket: QueueTicket): boolean {
    for (const [organisation, queue] of this.queues) {
      const index = queue.waiting.findIndex((waiting) => waiting.ticket === ticket);
      if (index >= 0) {
        queue.waiting.splice(index, 1);
        this.count -= 1;
        if (queue.waiting.length === 0) this.removeQueue(organisation);
        return true;
      }
    }
    return false;
  }

  private shiftFrom(
    organisation: OrganisationId,
    queue: OrganisationQueue,
  ): QueueTicket | undefined {
    const first = queue.waiting.shift();
    queue.deficit -= REQUEST_COST;
    this.count -= 1;
    if (queue.waiting.length === 0) this.removeQueue(organisation);
    else if (queue.deficit < REQUEST_COST) this.rotate();
    return first?.ticket;
  }

  private rotate(): void {
    const first = this.rotation.shift();
    if (first !== undefined) this.rotation.push(first);
  }

  private removeQueue(organisation: OrganisationId): void {
    this.queues.delete(organisation);
    this.rotation = this.rotation.filter((other) => other !== organisation);
  }
}
