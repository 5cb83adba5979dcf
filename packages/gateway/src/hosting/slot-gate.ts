import {
  type Clock,
  MemberSlotQueue,
  type SlotRequest,
  type SlotTicket,
  toMilliseconds,
} from '@heatherledge/core';

/** How a request for a slot ended. */
export type SlotResult =
  | {
      readonly kind: 'granted';
      /** Releases the slot; further calls have no effect. */
      readonly release: () => void;
    }
  | { readonly kind: 'timeout' }
  | {
      readonly kind: 'overloaded';
      /** Time after which the statement would probably be accepted, in milliseconds. */
      readonly retryAfterMs: number;
    };

/** What a statement tells of itself to get a slot. */
export type GateRequest = Omit<SlotRequest, 'deadline'> & {
  /** Maximum wait, in milliseconds. */
  readonly waitMs: number;
};

/** A statement waits up to this multiple of the wait that it may be estimated to have. */
const MAX_WAIT_FACTOR = 1.5;
/**
 * A statement takes at most 110 ms, and a new connection 12 ms. If its reply is lost, it waits for its
 * timeout, but the member has long been running others.
 */
const MAX_SLOT_HOLD_MS = 150;

interface Waiter {
  readonly ticket: SlotTicket;
  readonly resolve: (result: SlotResult) => void;
  readonly timer: NodeJS.Timeout;
}

/** Lets statements of this instance and of others through to one member, as slots become free. */
export class SlotGate {
  private readonly queue: MemberSlotQueue;

  private readonly waiters = new Map<string, Waiter>();

  /**
   * @param slots - statements that the member runs at the same time
   * @param clock - source of time
   */
  constructor(
    slots: number,
    private readonly clock: Clock,
  ) {
    this.queue = new MemberSlotQueue(slots);
  }

  /** @returns number of statements that run or wait */
  get pending(): number {
    return this.queue.pending;
  }

  /**
   * Waits for a slot, which the caller must release if it is granted; one that is held for longer
   * than a statement takes is released without it.
   *
   * @param request - the statement
   * @returns whether the statement may run
   */
  async acquire({ waitMs, ...request }: GateRequest): Promise<SlotResult> {
    const now = this.clock.now();
    const decision = this.queue.request(
      { ...request, deadline: toMilliseconds(now + waitMs) },
      now,
    );
    if (decision.kind === 'granted') return this.createGrant();
    if (decision.kind === 'refused') {
      return { kind: 'overloaded', retryAfterMs: decision.retryAfterMs };
    }
    const { ticket } = decision;
    return new Promise((resolve) => {
      // Beyond its objective a statement would be served late, and delay those behind it.
      const objectiveMs = request.maxEstimatedWaitMs * MAX_WAIT_FACTOR;
      const result: SlotResult =
        objectiveMs < waitMs
          ? { kind: 'overloaded', retryAfterMs: request.maxEstimatedWaitMs }
          : { kind: 'timeout' };
      const maxWaitMs = Math.min(waitMs, objectiveMs);
      const timer = setTimeout(() => this.expire(ticket, result), Math.max(1, maxWaitMs));
      this.waiters.set(formatTicket(ticket), { ticket, resolve, timer });
    });
  }

  private createGrant(): SlotResult {
    let isReleased = false;
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      clearTimeout(timer);
      const next = this.queue.release(this.clock.now());
      if (next !== undefined) this.settle(next, this.createGrant());
    };
    const timer = setTimeout(release, MAX_SLOT_HOLD_MS);
    return { kind: 'granted', release };
  }

  private expire(ticket: SlotTicket, result: SlotResult): void {
    this.queue.cancel(ticket);
    this.settle(ticket, result);
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
