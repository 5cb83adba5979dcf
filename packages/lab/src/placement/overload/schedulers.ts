import {
  MemberSlotQueue,
  type OrganisationId,
  type SlotUse,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { EventQueue } from '../../faults/event-queue.js';
import { LastVersionQueue } from '../baselines/last-version-queue.js';

/** A statement that waits for a slot of a member. */
export interface Job {
  readonly organisation: string;
  readonly weight: number;
  readonly urgency: number;
  readonly objectiveMs: number;
  /** Time by which its caller must have the reply. */
  readonly objectiveAt: number;
  /** Time at which its caller gives up. */
  readonly timeoutAt: number;
  /** Known only to the all-knowing queue. */
  readonly workMs: number;
  readonly isInTransaction: boolean;
  /** Called when it may run; `onEnd` must be called with whether the member replied. */
  readonly start: (onEnd: (hasReply: boolean) => void) => void;
  readonly reject: () => void;
}

/** Decides which statement runs next at a member. */
export interface Scheduler {
  /** Number of statements that wait or run. */
  readonly pending: number;
  submit(job: Job): void;
}

/** Creates the scheduler of a member with a number of slots. */
export type CreateScheduler = (slots: number, events: EventQueue) => Scheduler;

/** Statements that every queue sends beyond the member's slots. */
export const PIPELINED = 1;
const PATIENCE_RATIO = 0.7;
const TRANSACTION_PRIORITY = -1;
const LAST_VERSION_HOLD_MS = 150;

/** Wait factors of a run of the product's queue. */
export interface GateLimits {
  readonly patienceRatio: number;
  readonly maxWaitFactor: number;
}

export const PRODUCT_LIMITS: GateLimits = { patienceRatio: PATIENCE_RATIO, maxWaitFactor: 1.2 };

/** The product's queue, with the timers of its gate. */
export class ProductScheduler implements Scheduler {
  private readonly queue: MemberSlotQueue;

  private readonly waiting = new Map<string, Job>();

  constructor(
    slots: number,
    private readonly events: EventQueue,
    private readonly limits: GateLimits = PRODUCT_LIMITS,
  ) {
    this.queue = new MemberSlotQueue(slots);
  }

  get pending(): number {
    return this.queue.pending;
  }

  submit(job: Job): void {
    const now = this.events.now();
    const { isInTransaction, objectiveMs, timeoutAt } = job;
    const waitMs = timeoutAt - now;
    const patienceMs = isInTransaction ? waitMs : objectiveMs * this.limits.patienceRatio;
    const maxWaitMs = isInTransaction
      ? waitMs
      : Math.min(waitMs, patienceMs * this.limits.maxWaitFactor);
    const decision = this.queue.request(
      {
        organisation: toBrand<OrganisationId>(job.organisation),
        weight: job.weight,
        priority: isInTransaction ? TRANSACTION_PRIORITY : job.urgency,
        deadline: toMilliseconds(now + maxWaitMs),
        maxEstimatedWaitMs: patienceMs,
        isInTransaction,
      },
      now,
    );
    this.settleRejected();
    if (decision.kind === 'refused') job.reject();
    else if (decision.kind === 'granted') this.run(job, decision.use);
    else {
      this.waiting.set(`${decision.ticket.priority}/${decision.ticket.ticket}`, job);
      this.events.schedule(decision.latestStart - now + 1, () => {
        this.queue.expire(this.events.now());
        this.settleRejected();
      });
    }
  }

  private run(job: Job, use: SlotUse): void {
    let isHeld = true;
    const free = (): void => {
      if (!isHeld) return;
      isHeld = false;
      const next = this.queue.release(this.events.now());
      this.settleRejected();
      if (next === undefined) return;
      const key = `${next.priority}/${next.ticket}`;
      const nextJob = this.waiting.get(key) as Job;
      this.waiting.delete(key);
      this.run(nextJob, next.use);
    };
    this.events.schedule(this.queue.computeMaxHoldMs(use.priority), free);
    job.start((hasReply) => {
      this.queue.recordEnd(use, this.events.now(), hasReply);
      free();
    });
  }

  private settleRejected(): void {
    for (const { ticket } of this.queue.takeRejected()) {
      const key = `${ticket.priority}/${ticket.ticket}`;
      const job = this.waiting.get(key);
      this.waiting.delete(key);
      job?.reject();
    }
  }
}

/** The last version's queue, which releases each slot after 150 ms. */
export class LastVersionScheduler implements Scheduler {
  private readonly queue: LastVersionQueue;

  private readonly waiting = new Map<string, Job>();

  constructor(
    slots: number,
    private readonly events: EventQueue,
  ) {
    this.queue = new LastVersionQueue(slots);
  }

  get pending(): number {
    return this.queue.pending;
  }

  submit(job: Job): void {
    const now = this.events.now();
    const { isInTransaction, objectiveMs, timeoutAt } = job;
    const waitMs = timeoutAt - now;
    const patienceMs = isInTransaction ? waitMs : objectiveMs * PATIENCE_RATIO;
    const decision = this.queue.request(
      {
        organisation: toBrand<OrganisationId>(job.organisation),
        weight: job.weight,
        priority: isInTransaction ? TRANSACTION_PRIORITY : job.urgency,
        deadline: toMilliseconds(timeoutAt),
        maxEstimatedWaitMs: patienceMs,
      },
      now,
    );
    if (decision.kind === 'refused') job.reject();
    else if (decision.kind === 'granted') this.run(job);
    else {
      const key = `${decision.ticket.priority}/${decision.ticket.ticket}`;
      this.waiting.set(key, job);
      this.events.schedule(Math.min(waitMs, patienceMs * 1.5), () => {
        if (!this.waiting.delete(key)) return;
        this.queue.cancel(decision.ticket);
        job.reject();
      });
    }
  }

  private run(job: Job): void {
    let isHeld = true;
    const free = (): void => {
      if (!isHeld) return;
      isHeld = false;
      const next = this.queue.release(this.events.now());
      if (next === undefined) return;
      const key = `${next.priority}/${next.ticket}`;
      const nextJob = this.waiting.get(key) as Job;
      this.waiting.delete(key);
      this.run(nextJob);
    };
    this.events.schedule(LAST_VERSION_HOLD_MS, free);
    job.start(free);
  }
}
