import type { StatementOutcome } from '@heatherledge/core';
import type { EventQueue } from '../../faults/event-queue.js';

/** Statements that a member runs at the same time. */
export const LIMIT_SLOTS = 4;
/** Statements that wait inside a member; further ones are refused as busy. */
const INNER_QUEUE = 1;
/** Time until a refusal arrives. */
const REFUSAL_MS = 1;
/** Time after which a statement at a member that is down counts as lost. */
const LOST_TIMEOUT_MS = 150;

interface Work {
  readonly workMs: number;
  readonly onEnd: (outcome: StatementOutcome) => void;
}

/** A member whose speed and capacity change, and which may be down. */
export class LimitedMember {
  /** Multiplies the time of each statement. */
  slowness = 1;

  /** Statements that it runs at the same time now. */
  capacity = LIMIT_SLOTS;

  isDown = false;

  /** Statements that it received, and those among them that it refused or lost. */
  received = 0;

  notBorne = 0;

  private running = 0;

  private waiting: Work[] = [];

  constructor(private readonly events: EventQueue) {}

  /** @returns statements that it bears at once now */
  get bearable(): number {
    return this.isDown ? 1 : this.capacity + INNER_QUEUE;
  }

  /** Sends a statement that takes `workMs` at the usual speed. */
  send(workMs: number, onEnd: (outcome: StatementOutcome) => void): void {
    this.received += 1;
    if (this.isDown) {
      this.notBorne += 1;
      this.events.schedule(LOST_TIMEOUT_MS, () => onEnd('lost'));
    } else if (this.running < this.capacity) this.run({ workMs, onEnd });
    else if (this.waiting.length < INNER_QUEUE) this.waiting.push({ workMs, onEnd });
    else {
      this.notBorne += 1;
      this.events.schedule(REFUSAL_MS, () => onEnd('busy'));
    }
  }

  private run({ workMs, onEnd }: Work): void {
    this.running += 1;
    this.events.schedule(workMs * this.slowness, () => {
      this.running -= 1;
      if (this.running < this.capacity) {
        const next = this.waiting.shift();
        if (next !== undefined) this.run(next);
      }
      if (this.isDown) this.notBorne += 1;
      onEnd(this.isDown ? 'lost' : 'answered');
    });
  }
}
