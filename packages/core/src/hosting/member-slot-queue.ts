import type { FairQueueRequest, WaitingRequest } from '../fairness/organisation-requests.js';
import { DEFAULT_COST_MS, SlotTimeFairQueue } from '../fairness/slot-time-fair-queue.js';
import { WaitEstimator } from '../serving/wait-estimator.js';
import type { Milliseconds, OrganisationId } from '../types/ids.js';
import type { StatementLimit, StatementOutcome } from './member-pace.js';
import {
  computeMaxHoldMs,
  computeRetryAfterMs,
  createUse,
  type RejectionCause,
  type SlotDecision,
  type SlotRejection,
  type SlotRequest,
  type SlotTicket,
  type SlotUse,
} from './slot-request.js';

/**
 * Statements beyond its slots that a member gets at the same time, so that a slot is not idle for a
 * round trip to the host.
 */
export const PIPELINED_STATEMENTS = 1;
/**
 * Maximum number of statements that wait, of all priorities. At 4 slots and 9 ms it is the work of 0.7 s.
 * With 192 a burst of the class with an objective of 1.5 s was rejected that could have been served.
 */
const MAX_WAITING_STATEMENTS = 384;
/**
 * Interval at which all waiting statements are checked for deadlines that cannot be met; a few
 * statements end in it, and a check of each at every release takes most of the time of a decision.
 */
const CHECK_INTERVAL_MS = 10;
/** Priorities with state; further ones replace those without waiting statements. */
const MAX_PRIORITIES = 16;

/** The statements of one priority. */
interface PriorityQueue {
  readonly priority: number;
  readonly waiting: SlotTimeFairQueue;
  /** Moving average of the share of the dequeued slot time that more urgent statements took. */
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
 * Load pattern: replicas lag, so all reads of a group go to its primary, and one or two organisations
 * send several times their usual number, of statements that take 5 to 270 ms. The most urgent
 * statements run first, organisations share the rest of the slot time by their weights, and within an
 * organisation the earliest deadline runs first. A statement that would wait too long is refused at its
 * arrival, one whose deadline can no longer be met as soon as this is known, and a full queue rejects
 * the least urgent statement that has waited least, so that its caller can send it elsewhere.
 */
export class MemberSlotQueue {
  private running = 0;

  /** Most urgent first. */
  private queues: PriorityQueue[] = [];

  private readonly waitEstimator = new WaitEstimator();

  private rejected: SlotRejection[] = [];

  private checkedAt = 0;

  /**
   * @param slots - statements that the member runs at the same time
   * @param pace - limit found from the member's answers; without it, the slots and one more
   */
  constructor(
    private readonly slots: number,
    private readonly pace?: StatementLimit,
  ) {}

  /** @returns number of statements that run or wait */
  get pending(): number {
    return this.running + this.countWaiting();
  }

  /**
   * Requests a slot. Other statements may be rejected for it; see `takeRejected`.
   *
   * @param request - the statement
   * @param now - current time
   * @returns whether it may run now, waits, or is refused
   */
  request(request: SlotRequest, now: Milliseconds): SlotDecision {
    const { organisation = ANONYMOUS, priority, isInTransaction = false } = request;
    const queue = this.getQueue(priority);
    if (this.running < this.getLimit(now) && this.countWaiting() === 0) {
      this.running += 1;
      const charge = queue.waiting.charge(organisation, request.weight);
      return { kind: 'granted', use: createUse(priority, charge, request, now) };
    }
    const waiting: FairQueueRequest = { ...request, organisation, isInTransaction };
    const waitMs = this.estimateWait(queue, waiting, now);
    const serviceMs = isInTransaction ? 0 : (queue.waiting.estimateMeasuredCost(organisation) ?? 0);
    const patienceMs = Math.min(request.maxEstimatedWaitMs, request.deadline - serviceMs - now);
    if (waitMs > patienceMs) return this.createRefusal('wait', waitMs, patienceMs);
    const isFull = this.countWaiting() >= MAX_WAITING_STATEMENTS;
    if (isFull && !this.displaceFor(queue, waiting, now)) {
      return this.createRefusal('full', waitMs, 0);
    }
    const { ticket, latestStart } = queue.waiting.push(waiting);
    return { kind: 'queued', ticket: { priority, ticket }, latestStart };
  }

  /**
   * Releases a slot.
   *
   * @returns the waiting statement that runs next, if there is one
   */
  release(now: Milliseconds): (SlotTicket & { readonly use: SlotUse }) | undefined {
    this.running -= 1;
    return this.startNext(now);
  }

  /** @returns a waiting statement that may run now, as after a rise of the limit, if there is one */
  startNext(now: Milliseconds): (SlotTicket & { readonly use: SlotUse }) | undefined {
    if (this.running >= this.getLimit(now)) return undefined;
    if (now - this.checkedAt >= CHECK_INTERVAL_MS) this.removeUnservable(now);
    for (const queue of this.queues) {
      const { priority } = queue;
      const next = this.shift(queue, now);
      if (next === undefined) continue;
      this.recordDequeue(priority, next.costMs, now);
      this.running += 1;
      return { priority, ticket: next.ticket, use: createUse(priority, next, next, now) };
    }
    return undefined;
  }

  /**
   * Records that a statement ended; before the release of its slot, unless it was released earlier.
   *
   * @param use - how it used its slot
   * @param now - current time
   * @param hasReply - whether the member replied; a lost reply tells nothing about its speed
   * @param outcome - how it ended, for the limit of the member
   */
  recordEnd(
    use: SlotUse,
    now: Milliseconds,
    hasReply: boolean,
    outcome: StatementOutcome = hasReply ? 'answered' : 'lost',
  ): void {
    const { priority, charge, startedAt, objectiveMs } = use;
    const elapsedMs = now - startedAt;
    this.pace?.recordEnd({ priority, elapsedMs, outcome, objectiveMs, running: this.running }, now);
    const queue = this.queues.find((other) => other.priority === priority);
    queue?.waiting.recordEnd(charge, elapsedMs, hasReply);
  }

  /**
   * Computes for how long a statement may hold its slot without a reply. The member has long been
   * running others if the reply is lost, but not if it is slow.
   *
   * @param priority - priority of the statement
   * @returns the time, in milliseconds
   */
  computeMaxHoldMs(priority: number): number {
    const own = this.queues.find((queue) => queue.priority === priority);
    return computeMaxHoldMs(own?.waiting.meanMs ?? this.computeMeanMs());
  }

  /** Removes a statement that no longer waits. */
  cancel({ priority, ticket }: SlotTicket): void {
    this.queues.find((queue) => queue.priority === priority)?.waiting.remove(ticket);
  }

  /** @returns the waiting statements rejected since the last call, which must be told so */
  takeRejected(): SlotRejection[] {
    const { rejected } = this;
    if (rejected.length > 0) this.rejected = [];
    return rejected;
  }

  /** Rejects the waiting statements whose latest start has passed; see `takeRejected`. */
  expire(now: Milliseconds): void {
    this.removeUnservable(now);
  }

  /** Removes the statement that is due first among those that can meet their deadlines. */
  private shift(queue: PriorityQueue, now: Milliseconds): WaitingRequest | undefined {
    for (;;) {
      const first = queue.waiting.findFirst();
      if (first === undefined) return undefined;
      if (first.isInTransaction || now <= first.latestStart) return queue.waiting.shift();
      queue.waiting.remove(first.ticket);
      this.reject('deadline', queue, first, now);
    }
  }

  private removeUnservable(now: Milliseconds): void {
    this.checkedAt = now;
    let urgentMs = 0;
    const concurrency = this.getLimit(now);
    for (const queue of this.queues) {
      const { waiting } = queue;
      if (waiting.size === 0) continue;
      const removed = waiting.removeUnservable(now, urgentMs, concurrency);
      for (const request of removed) this.reject('deadline', queue, request, now);
      urgentMs += waiting.work;
    }
  }

  /** @returns whether there is room for the new statement now */
  private displaceFor(queue: PriorityQueue, request: FairQueueRequest, now: Milliseconds): boolean {
    for (let index = this.queues.length - 1; index >= 0; index -= 1) {
      const other = this.queues[index] as PriorityQueue;
      // Within a priority the new statement has waited least, but may be due before others.
      const victim =
        other === queue ? other.waiting.findDueAfter(request) : other.waiting.findNewest();
      if (victim !== undefined) {
        other.waiting.remove(victim.ticket);
        this.reject('displaced', other, victim, now);
        return true;
      }
      if (other === queue) return false;
    }
    return false;
  }

  private reject(
    cause: RejectionCause,
    queue: PriorityQueue,
    request: WaitingRequest,
    now: Milliseconds,
  ): void {
    // What waits in its class and ahead of it, without the order within the class.
    let workMs = 0;
    for (const other of this.queues) {
      workMs += other.waiting.work;
      if (other === queue) break;
    }
    const remainingShare = 1 - Math.min(MAX_URGENT_SHARE, queue.urgentShare);
    const waitMs = this.estimateDuration(workMs, now) / remainingShare;
    const retryAfterMs = computeRetryAfterMs(waitMs - request.maxEstimatedWaitMs);
    const ticket = { priority: queue.priority, ticket: request.ticket };
    const waiting = this.countWaiting();
    this.rejected.push({ ticket, cause, retryAfterMs, waiting, estimatedWaitMs: waitMs });
  }

  private createRefusal(cause: RejectionCause, waitMs: number, patienceMs: number): SlotDecision {
    const retryAfterMs = computeRetryAfterMs(waitMs - patienceMs);
    const waiting = this.countWaiting();
    return { kind: 'refused', cause, retryAfterMs, waiting, estimatedWaitMs: waitMs };
  }

  private recordDequeue(priority: number, costMs: number, now: Milliseconds): void {
    this.waitEstimator.recordDequeue(now, this.countWaiting() > 0);
    const meanMs = this.computeMeanMs() ?? costMs;
    const smoothing = URGENT_SHARE_SMOOTHING * Math.min(2, costMs / meanMs);
    for (const queue of this.queues) {
      const isMoreUrgent = priority < queue.priority ? 1 : 0;
      queue.urgentShare += smoothing * (isMoreUrgent - queue.urgentShare);
    }
  }

  /**
   * Estimates a wait from the slot time that is ahead, at the rate at which the member takes it, and
   * from the share of more urgent statements still to come.
   */
  private estimateWait(queue: PriorityQueue, request: FairQueueRequest, now: Milliseconds): number {
    let aheadMs = queue.waiting.estimateWorkBefore(request);
    for (const other of this.queues) {
      if (other === queue) break;
      aheadMs += other.waiting.work;
    }
    const remainingShare = 1 - Math.min(MAX_URGENT_SHARE, queue.urgentShare);
    return this.estimateDuration(aheadMs, now) / remainingShare;
  }

  /**
   * By Little's law the statements hold their slots for as long as measured, each at one of the places.
   * The ratio of two short averages, of intervals and of costs, was too unsteady where statements of 3
   * and of 15 ms alternate, and refused a third of what the last version served.
   */
  private estimateDuration(workMs: number, now: Milliseconds): number {
    const ahead = workMs / DEFAULT_COST_MS;
    if (this.computeMeanMs() === undefined) return this.waitEstimator.estimateWait(ahead, now);
    const durationMs = workMs / this.getLimit(now);
    // A stalled queue is not expected to move faster than it did since its last statement left.
    return workMs > 0 ? Math.max(durationMs, this.waitEstimator.computeStallMs(now)) : durationMs;
  }

  private computeMeanMs(): number | undefined {
    let slowestMs: number | undefined;
    for (const { waiting } of this.queues) {
      if (waiting.meanMs !== undefined) slowestMs = Math.max(slowestMs ?? 0, waiting.meanMs);
    }
    return slowestMs;
  }

  private getQueue(priority: number): PriorityQueue {
    const known = this.queues.find((queue) => queue.priority === priority);
    if (known !== undefined) return known;
    if (this.queues.length >= MAX_PRIORITIES) {
      this.queues = this.queues.filter(({ waiting }) => waiting.size > 0);
    }
    const queue = { priority, waiting: new SlotTimeFairQueue(), urgentShare: 0 };
    this.queues.push(queue);
    this.queues.sort((left, right) => left.priority - right.priority);
    return queue;
  }

  private getLimit(now: Milliseconds): number {
    return this.pace?.limit(now) ?? this.slots + PIPELINED_STATEMENTS;
  }

  private countWaiting(): number {
    let count = 0;
    for (const { waiting } of this.queues) count += waiting.size;
    return count;
  }
}
