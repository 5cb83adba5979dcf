/** Waiting requests, served fairly by organisation: deficit round robin with bounds. */
import type { Milliseconds, OrganisationId } from '../types/ids.js';

/** Names a waiting request. */
export type QueueTicket = number;

/** Bounds of a queue. */
export interface QueueBounds {
  /** Most waiting requests of one organisation. */
  readonly perOrganisation: number;
  /** Most waiting requests in all. */
  readonly total: number;
}

interface Waiting {
  readonly ticket: QueueTicket;
  readonly deadline: Milliseconds;
}

interface Line {
  readonly waiting: Waiting[];
  weight: number;
  deficit: number;
}

/** Each request costs one connection for a while. */
const REQUEST_COST = 1;

/** Queue in which no organisation waits longer because another one asks more. */
export class FairQueue {
  private readonly lines = new Map<OrganisationId, Line>();

  /** Organisations with waiting requests, in turn. */
  private turn: OrganisationId[] = [];

  private count = 0;

  private nextTicket = 1;

  /** @param bounds - most waiting requests */
  constructor(private readonly bounds: QueueBounds) {}

  /** @returns how many requests wait */
  get size(): number {
    return this.count;
  }

  /**
   * @param organisation - whose request it is
   * @returns how many of its requests wait
   */
  sizeOf(organisation: OrganisationId): number {
    return this.lines.get(organisation)?.waiting.length ?? 0;
  }

  /**
   * Adds a request.
   *
   * @param organisation - whose request it is
   * @param weight - organisation's share relative to others
   * @param deadline - moment after which the request need not run
   * @returns its ticket, or undefined if the queue is full for it
   */
  push(
    organisation: OrganisationId,
    weight: number,
    deadline: Milliseconds,
  ): QueueTicket | undefined {
    const line = this.lines.get(organisation) ?? { waiting: [], weight, deficit: 0 };
    const full = line.waiting.length >= this.bounds.perOrganisation;
    if (full || this.count >= this.bounds.total) return undefined;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    if (line.waiting.length === 0) this.turn.push(organisation);
    line.waiting.push({ ticket, deadline });
    line.weight = weight;
    this.lines.set(organisation, line);
    this.count += 1;
    return ticket;
  }

  /**
   * Takes the request whose turn it is.
   *
   * @returns its ticket, or undefined if none waits
   */
  shift(): QueueTicket | undefined {
    if (this.count === 0) return undefined;
    for (;;) {
      const organisation = this.turn[0];
      const line = organisation === undefined ? undefined : this.lines.get(organisation);
      if (organisation === undefined || line === undefined) return undefined;
      if (line.deficit < REQUEST_COST) {
        line.deficit += line.weight;
        if (line.deficit < REQUEST_COST) {
          this.rotate();
          continue;
        }
      }
      return this.takeFrom(organisation, line);
    }
  }

  /**
   * Removes requests whose deadline has passed.
   *
   * @param now - present moment
   * @returns their tickets
   */
  expire(now: Milliseconds): QueueTicket[] {
    const expired: QueueTicket[] = [];
    for (const [organisation, line] of this.lines) {
      for (let index = line.waiting.length - 1; index >= 0; index -= 1) {
        const waiting = line.waiting[index];
        if (waiting !== undefined && waiting.deadline <= now) {
          expired.push(waiting.ticket);
          line.waiting.splice(index, 1);
        }
      }
      if (line.waiting.length === 0) this.dropLine(organisation);
    }
    this.count -= expired.length;
    return expired;
  }

  /**
   * Removes a request that is no longer wanted.
   *
   * @param ticket - the request
   * @returns whether it was waiting
   */
  remove(ticket: QueueTicket): boolean {
    for (const [organisation, line] of this.lines) {
      const index = line.waiting.findIndex((waiting) => waiting.ticket === ticket);
      if (index >= 0) {
        line.waiting.splice(index, 1);
        this.count -= 1;
        if (line.waiting.length === 0) this.dropLine(organisation);
        return true;
      }
    }
    return false;
  }

  private takeFrom(organisation: OrganisationId, line: Line): QueueTicket | undefined {
    const first = line.waiting.shift();
    line.deficit -= REQUEST_COST;
    this.count -= 1;
    if (line.waiting.length === 0) this.dropLine(organisation);
    else if (line.deficit < REQUEST_COST) this.rotate();
    return first?.ticket;
  }

  private rotate(): void {
    const first = this.turn.shift();
    if (first !== undefined) this.turn.push(first);
  }

  private dropLine(organisation: OrganisationId): void {
    this.lines.delete(organisation);
    this.turn = this.turn.filter((other) => other !== organisation);
  }
}
