import type { QueueTicket } from '../fairness/fair-queue.js';
import { WeightedFairQueue } from '../fairness/weighted-fair-queue.js';
import { WaitEstimator } from '../serving/wait-estimator.js';
import type { Milliseconds, OrganisationId } from '../types/ids.js';

/**
 * Statements beyond its slots that a member gets at the same time, so that a slot is not idle for a
 * round trip to the host.
 */
const PIPELINED_STATEMENTS = 1;
/** Maximum number of statements of one priority that wait. */
const MAX_WAITING_STATEMENTS = 96;

/** A statement that needs a slot. */
export interface SlotRequest {
  /** Undefined for callers without a valid key, which share one place in the queue. */
  readonly organisation: OrganisationId | undefined;
  /** Part of the organisation relative to others under overload; positive. */
  readonly weight: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly priority: number;
  /** Time at which the statement expires. */
  readonly deadline: Milliseconds;
  /** The statement is refused at once if its estimated wait is longer, in milliseconds. */
  readonly maxEstimatedWaitMs: number;
}

/** Decision on a statement that needs a slot. */
export type SlotDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'queued'; readonly ticket: SlotTicket }
  | {
      readonly kind: 'refused';
      /** Time after which the statement would probably be accepted, in milliseconds. */
      readonly retryAfterMs: number;
    };

/** Identifies a waiting statement. */
export interface SlotTicket {
  readonly priority: number;
  readonly ticket: QueueTicket;
}

/** Bounds of the time after which a refused statement is to be sent again. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2000;

/** The statements of one priority that wait. */
interface PriorityQueue {
  readonly waiting: WeightedFairQueue;
  /** Moving average of the share of statements that left the queue and were more urgent. */
  urgentShare: number;
}

/** Weight of the newest statement in the share of urgent ones, an average of about the last twenty. */
const URGENT_SHARE_SMOOTHING = 0.1;
/** The share may exceed this for a moment, which says little about the wait of the others. */
const MAX_URGENT_SHARE = 0.8;

/** Organisation of callers without a valid key. */
const ANONYMOUS = '' as OrganisationId;

/**
 * Decides which statement runs next at a member.
 *
 * Load pattern: replicas lag, so all reads of a group go to its primary, and one organisation sends
 * several times its usual number. A member that gets everything at once runs statements in the order
 * of their arrival and refuses what its own short queue does not hold, at random. Here the most urgent
 * statements run first, organisations share the rest by their weights, and a statement that would wait
 * too long is refused at its arrival, so that another member can serve it or its caller knows at once.
 */
export class MemberSlotQueue {
  private running = 0;

  private readonly queues = new Map<number, PriorityQueue>();

  private readonly waitEstimator = new WaitEstimator();

  /** @param slots - statements that the member runs at the same time */
  constructor(private readonly slots: number) {}

  /** @returns number of statements that run or wait */
  get pending(): number {
    return this.running + this.countWaiting();
  }

  /**
   * Requests a slot.
   *
   * @param request - the statement
   * @param now - current time
   * @returns whether it may run now, waits, or is refused
   */
  request(request: SlotRequest, now: Milliseconds): SlotDecision {
    const { organisation = ANONYMOUS, weight, priority, deadline, maxEstimatedWaitMs } = request;
    if (this.running < this.slots + PIPELINED_STATEMENTS && this.countWaiting() === 0) {
      this.running += 1;
      return { kind: 'granted' };
    }
    const queue = this.getQueue(priority);
    const waitMs = this.estimateWait(queue, organisation, priority, now);
    const patienceMs = Math.min(maxEstimatedWaitMs, deadline - now);
    if (waitMs > patienceMs) return createRefusal(waitMs - patienceMs);
    const ticket = queue.waiting.push(organisation, weight);
    if (ticket === undefined) return createRefusal(waitMs);
    return { kind: 'queued', ticket: { priority, ticket } };
  }

  /**
   * Releases a slot.
   *
   * @returns the waiting statement that runs next, if there is one
   */
  release(now: Milliseconds): SlotTicket | undefined {
    const next = this.shift(now);
    if (next === undefined) this.running -= 1;
    return next;
  }

  /** Removes a statement that no longer waits. */
  cancel({ priority, ticket }: SlotTicket): void {
    this.queues.get(priority)?.waiting.remove(ticket);
  }

  private shift(now: Milliseconds): SlotTicket | undefined {
    const priorities = [...this.queues.keys()].sort((left, right) => left - right);
    for (const priority of priorities) {
      const ticket = this.getQueue(priority).waiting.shift();
      if (ticket === undefined) continue;
      this.recordDequeue(priority, now);
      return { priority, ticket };
    }
    return undefined;
  }

  private recordDequeue(priority: number, now: Milliseconds): void {
    this.waitEstimator.recordDequeue(now, this.countWaiting() > 0);
    for (const [other, queue] of this.queues) {
      const isMoreUrgent = priority < other ? 1 : 0;
      queue.urgentShare += URGENT_SHARE_SMOOTHING * (isMoreUrgent - queue.urgentShare);
    }
  }

  /** Estimates a wait from what is ahead, and from the more urgent statements still to come. */
  private estimateWait(
    { waiting, urgentShare }: PriorityQueue,
    organisation: OrganisationId,
    priority: number,
    now: Milliseconds,
  ): number {
    let ahead = waiting.countDueBefore(organisation);
    for (const [other, queue] of this.queues) if (other < priority) ahead += queue.waiting.size;
    const remainingShare = 1 - Math.min(MAX_URGENT_SHARE, urgentShare);
    return this.waitEstimator.estimateWait(ahead, now) / remainingShare;
  }

  private getQueue(priority: number): PriorityQueue {
    const known = this.queues.get(priority);
    if (known !== undefined) return known;
    const queue = { waiting: new WeightedFairQueue(MAX_WAITING_STATEMENTS), urgentShare: 0 };
    this.queues.set(priority, queue);
    return queue;
  }

  private countWaiting(): number {
    let count = 0;
    for (const { waiting } of this.queues.values()) count += waiting.size;
    return count;
  }
}

function createRefusal(excessWaitMs: number): SlotDecision {
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessWaitMs));
  return { kind: 'refused', retryAfterMs };
}
