/** Asks a group's primary for its position once for all reads that wait for it. */
import type { Milliseconds } from '../types/ids.js';
import type { SessionPosition } from './session-position.js';

/** Names one waiting read. */
export type ReadTicket = number;

/** A question that is to be sent to the primary now. */
export interface IndexQuestion {
  readonly question: number;
}

/** What became of waiting reads. */
export interface IndexAnswer {
  readonly tickets: readonly ReadTicket[];
  readonly position: SessionPosition | undefined;
}

/** A confirmed position and when it was asked for: replicas past it are at most that old. */
export interface PositionSample {
  readonly askedAt: Milliseconds;
  readonly position: SessionPosition;
}

/**
 * Batches questions for the primary's position.
 *
 * A question counts only for reads that arrived before it was sent, since an answer to an earlier
 * one may miss a write that was acknowledged in between.
 */
export class ReadIndexBatcher {
  private waiting: ReadTicket[] = [];

  private asked: ReadTicket[] = [];

  private question = 0;

  private outstanding = false;

  private nextTicket = 1;

  /** @returns a ticket for a read that arrives now; call {@link ask} afterwards */
  join(): ReadTicket {
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    this.waiting.push(ticket);
    return ticket;
  }

  /** @returns the question to send now, or undefined if one is out or nobody waits */
  ask(): IndexQuestion | undefined {
    if (this.outstanding || this.waiting.length === 0) return undefined;
    this.outstanding = true;
    this.question += 1;
    this.asked = this.waiting;
    this.waiting = [];
    return { question: this.question };
  }

  /**
   * Takes the answer to a question.
   *
   * @param question - number of the question; answers to others are late and are left alone
   * @param position - confirmed position of the primary, or undefined if it could not be had
   * @returns the reads that the answer is for
   */
  answer(question: number, position: SessionPosition | undefined): IndexAnswer {
    if (!this.outstanding || question !== this.question) return { tickets: [], position };
    this.outstanding = false;
    const tickets = this.asked;
    this.asked = [];
    return { tickets, position };
  }
}

/** Keeps recent positions of the primary to judge the age of replicas without a shared clock. */
export class AgeSamples {
  private samples: PositionSample[] = [];

  /** @param keepMs - how long a sample is of use, in milliseconds */
  constructor(private readonly keepMs: number) {}

  /**
   * @param sample - a confirmed position and the moment before which it was asked for
   */
  add(sample: PositionSample): void {
    this.samples.push(sample);
    const oldest = sample.askedAt - this.keepMs;
    const firstKept = this.samples.findIndex(({ askedAt }) => askedAt >= oldest);
    if (firstKept > 0) this.samples.splice(0, firstKept);
  }

  /**
   * Finds the position from which on data are no older than asked.
   *
   * @param maxAgeMs - accepted age in milliseconds
   * @param now - present moment
   * @returns the oldest position that still satisfies the age, or undefined if none does
   */
  resolve(maxAgeMs: number, now: Milliseconds): SessionPosition | undefined {
    return this.samples.find(({ askedAt }) => now - askedAt <= maxAgeMs)?.position;
  }
}
