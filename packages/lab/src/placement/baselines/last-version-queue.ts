import {
  type Milliseconds,
  type OrganisationId,
  type SlotRequest,
  type SlotTicket,
  WaitEstimator,
} from '@heatherledge/core';
import { WeightedFairQueue } from './weighted-fair-queue.js';

/** Decision on a statement that needs a slot. */
export type LastVersionDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'queued'; readonly ticket: SlotTicket }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/**
 * Statements beyond its slots that a member gets at the same time, so that a slot is not idle for a
 * round trip to the host.
 */
const PIPELINED_STATEMENTS = 1;
/** Maximum number of statements of one priority that wait. */
const MAX_WAITING_STATEMENTS = 96;

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
 * Queue of the last version, kept as a baseline of the experiment: urgency first, within it fair shares
 * by the number of statements, and refusal at arrival after the estimated wait.
 */
export class LastVersionQueue {
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
  request(request: SlotRequest, now: Milliseconds): LastVersionDecision {
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

function createRefusal(excessWaitMs: number): LastVersionDecision {
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessWaitMs));
  return { kind: 'refused', retryAfterMs };
}
