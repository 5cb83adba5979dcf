import type { EventQueue } from '../faults/event-queue.js';

/** Statements that a member runs at the same time. */
export const SLOTS = 2;
/** Statements that wait inside a member; further ones are refused as busy. */
const INNER_QUEUE = 16;
/** Time for which a new connection takes a slot. */
const HANDSHAKE_MS = 12;

/** A statement as a member receives it. */
export interface MemberWork {
  readonly organisation: number;
  readonly workMs: number;
  /** Called when the statement has run, or was refused because the member is busy. */
  readonly onEnd: (hasRun: boolean) => void;
}

/** A member with two slots, a short queue, and connections that belong to one organisation. */
export class ModelMember {
  /** Multiplies the time of each statement. */
  slowness = 1;

  handshakes = 0;

  private running = 0;

  private readonly waiting: MemberWork[] = [];

  /** Organisations with an idle connection, least recently used first, by owner. */
  private readonly idle = new Map<string, number[]>();

  constructor(private readonly events: EventQueue) {}

  /** @returns statements that wait or run */
  get pending(): number {
    return this.running + this.waiting.length;
  }

  /**
   * Sends a statement.
   *
   * @param owner - instance that owns the connection
   * @param maxIdle - connections that the owner keeps open
   * @param work - the statement
   */
  send(owner: string, maxIdle: number, work: MemberWork): void {
    const handshakeMs = this.takeConnection(owner, maxIdle, work.organisation) ? 0 : HANDSHAKE_MS;
    const statement = { ...work, workMs: work.workMs * this.slowness + handshakeMs };
    if (this.running < SLOTS) this.run(statement);
    else if (this.waiting.length < INNER_QUEUE) this.waiting.push(statement);
    else work.onEnd(false);
  }

  /** Closes all connections of an owner. */
  closeConnections(owner: string): void {
    this.idle.delete(owner);
  }

  /** @returns whether the organisation's connection was open */
  private takeConnection(owner: string, maxIdle: number, organisation: number): boolean {
    const idle = this.idle.get(owner) ?? [];
    const index = idle.indexOf(organisation);
    if (index >= 0) idle.splice(index, 1);
    else this.handshakes += 1;
    idle.push(organisation);
    this.idle.set(owner, idle.slice(Math.max(0, idle.length - maxIdle)));
    return index >= 0;
  }

  private run(work: MemberWork): void {
    this.running += 1;
    this.events.schedule(work.workMs, () => {
      this.running -= 1;
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next);
      work.onEnd(true);
    });
  }
}
