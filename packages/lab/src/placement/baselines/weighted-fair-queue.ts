import type { OrganisationId, QueueTicket } from '@heatherledge/core';

interface WaitingRequest {
  readonly ticket: QueueTicket;
  /** Virtual time at which the request is due. */
  readonly startTag: number;
}

interface OrganisationQueue {
  readonly waiting: WaitingRequest[];
  weight: number;
  /** Virtual time from which the organisation's next request is due. */
  nextStartTag: number;
}

/**
 * Start-time fair queue: under overload, organisations are served in proportion to their weights, and
 * an organisation that sends less than its part is served at once.
 *
 * Load pattern: more work arrives than a member can do. Turns of equal length would refuse most of a
 * large organisation that stays within its rate, and the order of arrival lets an organisation that
 * exceeds its rate delay all others.
 */
export class WeightedFairQueue {
  private readonly queues = new Map<OrganisationId, OrganisationQueue>();

  /** Start tag of the request that was served last. */
  private virtualTime = 0;

  private count = 0;

  private nextTicket = 1;

  /** @param capacity - maximum number of waiting requests */
  constructor(private readonly capacity: number) {}

  /** @returns number of waiting requests */
  get size(): number {
    return this.count;
  }

  /**
   * @param organisation - organisation of a new request
   * @returns number of waiting requests that are due before it
   */
  countDueBefore(organisation: OrganisationId): number {
    const startTag = this.computeStartTag(organisation);
    let count = 0;
    for (const { waiting } of this.queues.values()) {
      for (const request of waiting) if (request.startTag <= startTag) count += 1;
    }
    return count;
  }

  /**
   * Adds a request.
   *
   * @param organisation - organisation of the request
   * @param weight - part of the organisation relative to others; positive
   * @returns its ticket, or undefined if the queue is full
   */
  push(organisation: OrganisationId, weight: number): QueueTicket | undefined {
    if (this.count >= this.capacity) return undefined;
    const startTag = this.computeStartTag(organisation);
    const queue = this.queues.get(organisation) ?? { waiting: [], weight, nextStartTag: 0 };
    queue.weight = weight;
    queue.nextStartTag = startTag + 1 / weight;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    queue.waiting.push({ ticket, startTag });
    this.queues.set(organisation, queue);
    this.count += 1;
    return ticket;
  }

  /**
   * Removes the request that is due first.
   *
   * @returns its ticket, or undefined if none waits
   */
  shift(): QueueTicket | undefined {
    let first: OrganisationQueue | undefined;
    for (const [organisation, queue] of this.queues) {
      const [head] = queue.waiting;
      if (head === undefined) {
        // An organisation whose part is used up is remembered until the others have caught up.
        if (queue.nextStartTag <= this.virtualTime) this.queues.delete(organisation);
        continue;
      }
      const firstTag = first?.waiting[0]?.startTag ?? Infinity;
      if (head.startTag < firstTag) first = queue;
    }
    const next = first?.waiting.shift();
    if (next === undefined) return undefined;
    this.virtualTime = Math.max(this.virtualTime, next.startTag);
    this.count -= 1;
    return next.ticket;
  }

  /**
   * Removes a waiting request.
   *
   * @returns whether it was waiting
   */
  remove(ticket: QueueTicket): boolean {
    for (const { waiting } of this.queues.values()) {
      const index = waiting.findIndex((request) => request.ticket === ticket);
      if (index < 0) continue;
      waiting.splice(index, 1);
      this.count -= 1;
      return true;
    }
    return false;
  }

  private computeStartTag(organisation: OrganisationId): number {
    return Math.max(this.virtualTime, this.queues.get(organisation)?.nextStartTag ?? 0);
  }
}
