import type { Milliseconds, OrganisationId } from '@heatherledge/core';
import type { MemberConnection, SessionState } from './member-connection.js';

/**
 * Time for which later requests may be served before the first one, where that saves a new
 * connection.
 */
const MAX_OVERTAKING_MS = 100;

/** A request for a connection. */
export interface AcquireRequest {
  readonly organisation: OrganisationId | undefined;
  /** An idle connection that already has this session's values is preferred. */
  readonly session: SessionState;
  /** Maximum wait, in milliseconds. */
  readonly waitMs: number;
  /** The request is refused at once if its estimated wait is longer, in milliseconds. */
  readonly maxEstimatedWaitMs: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly priority: number;
}

/** How a request for a connection ended. */
export type AcquireResult =
  | { readonly kind: 'connection'; readonly connection: MemberConnection }
  | {
      readonly kind: 'refused';
      readonly reason: AcquireFailure;
      /** Expected time until a connection is free, in milliseconds; undefined if it is not known. */
      readonly retryAfterMs?: number | undefined;
    };

/** Why a request for a connection was refused. */
export type AcquireFailure =
  | 'timeout'
  | 'unreachable'
  | 'wrong-member'
  /** The queue is full, or the estimated wait is too long. */
  | 'overloaded'
  | 'closed';

/** A request that waits for a connection. */
export interface Waiter {
  readonly organisation: OrganisationId | undefined;
  readonly session: SessionState;
  readonly resolve: (acquired: AcquireResult) => void;
  readonly timer: NodeJS.Timeout;
  readonly since: Milliseconds;
  readonly priority: number;
}

/** Requests that wait for a connection to one member, by priority and then by arrival. */
export class ConnectionWaitQueue {
  private waiters: Waiter[] = [];

  get length(): number {
    return this.waiters.length;
  }

  /** @returns the index after all requests of the same or a more urgent priority */
  findInsertIndex(priority: number): number {
    const index = this.waiters.findIndex((waiter) => waiter.priority > priority);
    return index < 0 ? this.waiters.length : index;
  }

  insert(waiter: Waiter, index: number): void {
    this.waiters.splice(index, 0, waiter);
  }

  at(index: number): Waiter | undefined {
    return this.waiters[index];
  }

  /** @returns whether the request was still waiting */
  remove(waiter: Waiter): boolean {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) this.waiters.splice(index, 1);
    return index >= 0;
  }

  takeAll(): Waiter[] {
    return this.waiters.splice(0);
  }

  /**
   * Removes the request that a released connection serves next: the first of its organisation, ahead
   * of others that would need a new connection, unless the first request in the queue has waited too
   * long.
   *
   * @param organisation - organisation of the connection
   * @param now - current time
   * @returns the request, or undefined if the connection should serve none
   */
  takeNext(organisation: OrganisationId | undefined, now: Milliseconds): Waiter | undefined {
    const index = this.waiters.findIndex((waiter) => waiter.organisation === organisation);
    const first = this.waiters[0];
    if (index < 0 || first === undefined) return undefined;
    if (index > 0 && now - first.since >= MAX_OVERTAKING_MS) return undefined;
    return this.waiters.splice(index, 1)[0];
  }
}
