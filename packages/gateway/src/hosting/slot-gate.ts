import {
  type Clock,
  MemberSlotQueue,
  type SlotRequest,
  type SlotTicket,
  toMilliseconds,
} from '@heatherledge/core';

/** How a request for a slot ended. */
export type SlotResult =
  | { readonly kind: 'granted' }
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
   * Waits for a slot, which the caller must release if it is granted.
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
    if (decision.kind === 'granted') return decision;
    if (decision.kind === 'refused') {
      return { kind: 'overloaded', retryAfterMs: decision.retryAfterMs };
    }
    const { ticket } = decision;
    return new Promise((resolve) => {
      // The accepted wait is enforced as well as estimated: beyond it, the statement would be late,
      // and so would those behind it.
      const { maxEstimatedWaitMs } = request;
      const result: SlotResult =
        maxEstimatedWaitMs < waitMs
          ? { kind: 'overloaded', retryAfterMs: maxEstimatedWaitMs }
          : { kind: 'timeout' };
      const maxWaitMs = Math.min(waitMs, maxEstimatedWaitMs);
      const timer = setTimeout(() => this.expire(ticket, result), Math.max(1, maxWaitMs));
      this.waiters.set(formatTicket(ticket), { ticket, resolve, timer });
    });
  }

  /** Releases a slot. */
  release(): void {
    const next = this.queue.release(this.clock.now());
    if (next !== undefined) this.settle(next, { kind: 'granted' });
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
