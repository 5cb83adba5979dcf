import type { EventQueue } from '../../faults/event-queue.js';

/** Statements that wait inside a member; further ones are refused as busy. */
const INNER_QUEUE = 16;

interface InnerWork {
  readonly workMs: number;
  readonly onEnd: (hasRun: boolean) => void;
}

/** A member with slots, a short queue, and a number of connections for its host. */
export class OverloadMember {
  /** Multiplies the time of each statement that starts. */
  slowness = 1;

  busyRefusals = 0;

  private running = 0;

  private readonly inner: InnerWork[] = [];

  private readonly connectionWaiters: (() => void)[] = [];

  private usedConnections = 0;

  constructor(
    private readonly slots: number,
    readonly maxConnections: number,
    private readonly events: EventQueue,
  ) {}

  /** @returns statements that wait or run inside the member */
  get pending(): number {
    return this.running + this.inner.length;
  }

  /** Sends a statement over a connection that is held. */
  send(workMs: number, onEnd: (hasRun: boolean) => void): void {
    if (this.running < this.slots) this.run({ workMs, onEnd });
    else if (this.inner.length < INNER_QUEUE) this.inner.push({ workMs, onEnd });
    else {
      this.busyRefusals += 1;
      onEnd(false);
    }
  }

  /**
   * Takes a connection.
   *
   * @param maxWaitMs - maximum wait, in milliseconds
   * @param onResult - called when a connection is held, or none was free in time
   */
  acquire(maxWaitMs: number, onResult: (isHeld: boolean) => void): void {
    if (this.usedConnections < this.maxConnections) {
      this.usedConnections += 1;
      onResult(true);
      return;
    }
    let isSettled = false;
    const settle = (isHeld: boolean): void => {
      if (isSettled) return;
      isSettled = true;
      const index = this.connectionWaiters.indexOf(grant);
      if (index >= 0) this.connectionWaiters.splice(index, 1);
      onResult(isHeld);
    };
    const grant = (): void => settle(true);
    this.connectionWaiters.push(grant);
    this.events.schedule(maxWaitMs, () => settle(false));
  }

  /** Returns a connection. */
  release(): void {
    const next = this.connectionWaiters[0];
    if (next === undefined) this.usedConnections -= 1;
    else next();
  }

  private run(work: InnerWork): void {
    this.running += 1;
    this.events.schedule(work.workMs * this.slowness, () => {
      this.running -= 1;
      const next = this.inner.shift();
      if (next !== undefined) this.run(next);
      work.onEnd(true);
    });
  }
}
