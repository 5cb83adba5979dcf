import {
  type Clock,
  MemberSlotQueue,
  type OrganisationId,
  PIPELINED_STATEMENTS,
  type RejectionDetails,
  type SlotRequest,
  type SlotTicket,
  type SlotUse,
  type StatementLimit,
  type StatementOutcome,
  toMilliseconds,
  TransactionBudget,
  type TransactionDecision,
} from '@heatherledge/core';

/** How a request for a slot ended. */
export type SlotResult =
  | {
      readonly kind: 'granted';
      /**
       * Releases the slot; further calls have no effect.
       *
       * @param hasReply - whether the member replied; true by default
       * @param outcome - how the statement ended, for the limit of the member
       */
      readonly release: (hasReply?: boolean, outcome?: StatementOutcome) => void;
      /**
       * Leaves a wait at this instance out of the measured slot time, which tells of the member's speed.
       *
       * @param waitMs - time for which nothing was sent to the member, in milliseconds
       */
      readonly excludeWait: (waitMs: number) => void;
    }
  | ({
      /** `timeout`: the statement's own timeout passed before its turn. */
      readonly kind: 'timeout' | 'overloaded';
    } & RejectionDetails);

/** A slot that its holder must release. */
export type GrantedSlot = Extract<SlotResult, { kind: 'granted' }>;

/** How a request to begin a transaction ended. */
export type TransactionPermit =
  | {
      readonly kind: 'granted';
      /** Must be called when the transaction has released its connection, or failed to begin. */
      readonly end: () => void;
    }
  | Extract<TransactionDecision, { kind: 'refused' }>;

/** What a statement tells of itself to get a slot. */
export type GateRequest = Omit<SlotRequest, 'deadline'> & {
  /** Maximum wait, in milliseconds. */
  readonly waitMs: number;
};

/**
 * A statement waits up to this multiple of the wait that it may be estimated to have, 0.84 of its
 * objective. With 1.5 it was 1.05, and several times as many replies came after the objective.
 */
const MAX_WAIT_FACTOR = 1.2;
/** A timer may fire up to a millisecond before the time that it was set for. */
const EXPIRY_MARGIN_MS = 1.5;
interface Waiter {
  readonly ticket: SlotTicket;
  readonly resolve: (result: SlotResult) => void;
  /** Result if it is rejected for its deadline. */
  readonly expiredKind: 'timeout' | 'overloaded';
  readonly timer: NodeJS.Timeout;
}

/** Lets statements of this instance and of others through to one member, as slots become free. */
export class SlotGate {
  private readonly queue: MemberSlotQueue;

  private readonly transactions: TransactionBudget;

  private readonly waiters = new Map<string, Waiter>();

  /**
   * @param slots - statements that the member runs at the same time
   * @param clock - source of time
   * @param pace - limit found from the member's answers; without it, the slots and one more
   */
  constructor(
    slots: number,
    private readonly clock: Clock,
    pace?: StatementLimit,
  ) {
    this.queue = new MemberSlotQueue(slots, pace);
    this.transactions = new TransactionBudget(slots + PIPELINED_STATEMENTS);
  }

  /** @returns number of statements that run or wait */
  get pending(): number {
    return this.queue.pending;
  }

  /**
   * Waits for a slot, which the caller must release if it is granted; one that is held for much longer
   * than the member's statements take is released without it.
   *
   * @param request - the statement
   * @returns whether the statement may run
   */
  async acquire({ waitMs, ...request }: GateRequest): Promise<SlotResult> {
    const now = this.clock.now();
    // Beyond its objective a statement would be served late, and delay those behind it.
    const objectiveMs =
      request.isInTransaction === true ? Infinity : request.maxEstimatedWaitMs * MAX_WAIT_FACTOR;
    const deadline = toMilliseconds(now + Math.min(waitMs, objectiveMs));
    const decision = this.queue.request({ ...request, deadline }, now);
    this.settleRejected();
    if (decision.kind === 'granted') return this.createGrant(decision.use);
    if (decision.kind === 'refused') return { ...decision, kind: 'overloaded' };
    const { ticket, latestStart } = decision;
    return new Promise((resolve) => {
      const expiredKind = objectiveMs < waitMs ? 'overloaded' : 'timeout';
      const timer = this.scheduleExpiry(latestStart - now);
      this.waiters.set(formatTicket(ticket), { ticket, resolve, expiredKind, timer });
    });
  }

  /**
   * Requests that a transaction may hold a connection.
   *
   * @param organisation - organisation of the transaction
   * @param maxConnections - connections to the member that this instance may open
   * @returns whether it may begin
   */
  acquireTransaction(
    organisation: OrganisationId | undefined,
    maxConnections: number,
  ): TransactionPermit {
    const startedAt = this.clock.now();
    const decision = this.transactions.request(organisation, maxConnections, startedAt);
    if (decision.kind === 'refused') return decision;
    let isEnded = false;
    const end = (): void => {
      if (isEnded) return;
      isEnded = true;
      this.transactions.recordEnd(organisation, this.clock.now() - startedAt);
    };
    return { kind: 'granted', end };
  }

  private createGrant(use: SlotUse): SlotResult {
    let isHeld = true;
    let isEnded = false;
    let excludedMs = 0;
    const free = (): void => {
      if (!isHeld) return;
      isHeld = false;
      clearTimeout(timer);
      const next = this.queue.release(this.clock.now());
      if (next !== undefined) this.settle(next, this.createGrant(next.use));
      this.startWaiting();
    };
    const timer = setTimeout(free, this.queue.computeMaxHoldMs(use.priority));
    const release = (hasReply = true, outcome?: StatementOutcome): void => {
      if (isEnded) return;
      isEnded = true;
      const startedAt = toMilliseconds(use.startedAt + excludedMs);
      this.queue.recordEnd({ ...use, startedAt }, this.clock.now(), hasReply, outcome);
      if (isHeld) free();
      else this.startWaiting();
    };
    const excludeWait = (waitMs: number): void => {
      excludedMs += waitMs;
    };
    return { kind: 'granted', release, excludeWait };
  }

  /** Starts what may run in addition if the limit has risen. */
  private startWaiting(): void {
    const now = this.clock.now();
    for (let next = this.queue.startNext(now); next; next = this.queue.startNext(now)) {
      this.settle(next, this.createGrant(next.use));
    }
    this.settleRejected();
  }

  private scheduleExpiry(delayMs: number): NodeJS.Timeout {
    return setTimeout(
      () => {
        this.queue.expire(toMilliseconds(this.clock.now() + EXPIRY_MARGIN_MS));
        this.settleRejected();
      },
      Math.max(1, Math.ceil(delayMs)),
    );
  }

  private settleRejected(): void {
    for (const { ticket, ...details } of this.queue.takeRejected()) {
      const expiredKind = this.waiters.get(formatTicket(ticket))?.expiredKind;
      const isTimeout = details.cause === 'deadline' && expiredKind === 'timeout';
      this.settle(ticket, { ...details, kind: isTimeout ? 'timeout' : 'overloaded' });
    }
  }

  private settle(ticket: SlotTicket, result: SlotResult): void {
    const key = formatTicket(ticket);
    const waiter = this.waiters.get(key);
    if (waiter === undefined) return;
    this.waiters.delete(key);
    clearTimeout(waiter.timer);
    waiter.resolve(result);
  }
}

function formatTicket({ priority, ticket }: SlotTicket): string {
  return `${priority}/${ticket}`;
}
