import type { Milliseconds } from '../types/ids.js';
import type { SessionPosition } from './session-position.js';

/** Identifies a waiting read. */
export type ReadTicket = number;

/** A request for the primary's position that is to be sent now. */
export interface ReadIndexRequest {
  /** Number of the request. */
  readonly requestId: number;
}

/** The reads that a response completes, and the position that it returned. */
export interface CompletedReads {
  readonly tickets: readonly ReadTicket[];
  readonly position: SessionPosition | undefined;
}

/**
 * A confirmed position and a time before its request was sent. Data of a replica that has applied
 * this position are not older than that time.
 */
export interface PositionSample {
  readonly requestedAt: Milliseconds;
  readonly position: SessionPosition;
}

/**
 * Batches requests for the confirmed position of a group's primary, so that one request serves all
 * reads that wait for it.
 *
 * A request serves only reads that arrived before it was sent: the response to an earlier request
 * may miss a write that was acknowledged in between.
 */
export class ReadIndexBatcher {
  private waiting: ReadTicket[] = [];

  private requested: ReadTicket[] = [];

  private lastRequestId = 0;

  private isOutstanding = false;

  private nextTicket = 1;

  /**
   * Adds a read that arrives now; call {@link startRequest} afterwards.
   *
   * @returns the read's ticket
   */
  addRead(): ReadTicket {
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    this.waiting.push(ticket);
    return ticket;
  }

  /**
   * Starts a request for all reads that wait.
   *
   * @returns the request to send, or undefined if one is outstanding or no read waits
   */
  startRequest(): ReadIndexRequest | undefined {
    if (this.isOutstanding || this.waiting.length === 0) return undefined;
    this.isOutstanding = true;
    this.lastRequestId += 1;
    this.requested = this.waiting;
    this.waiting = [];
    return { requestId: this.lastRequestId };
  }

  /**
   * Handles the response to a request.
   *
   * @param requestId - number of the request; responses to earlier requests are late and are
   * ignored
   * @param position - confirmed position of the primary, or undefined if it is not available
   * @returns the reads that the response completes
   */
  completeRequest(requestId: number, position: SessionPosition | undefined): CompletedReads {
    if (!this.isOutstanding || requestId !== this.lastRequestId) return { tickets: [], position };
    this.isOutstanding = false;
    const tickets = this.requested;
    this.requested = [];
    return { tickets, position };
  }
}

/** Keeps recent positions of the primary, to bound the age of replicas without a shared clock. */
export class PositionHistory {
  private samples: PositionSample[] = [];

  /** @param retentionMs - how long samples are kept, in milliseconds */
  constructor(private readonly retentionMs: number) {}

  /**
   * Adds a sample and removes those that are too old.
   *
   * @param sample - a confirmed position and a time before its request was sent
   */
  add(sample: PositionSample): void {
    this.samples.push(sample);
    const oldestKeptAt = sample.requestedAt - this.retentionMs;
    const firstKeptIndex = this.samples.findIndex(({ requestedAt }) => requestedAt >= oldestKeptAt);
    if (firstKeptIndex > 0) this.samples.splice(0, firstKeptIndex);
  }

  /**
   * Finds the position that a replica must have applied for its data to be recent enough.
   *
   * @param maxAgeMs - maximum age, in milliseconds
   * @param now - current time
   * @returns the oldest position within the maximum age, or undefined if there is none
   */
  findOldest(maxAgeMs: number, now: Milliseconds): SessionPosition | undefined {
    return this.samples.find(({ requestedAt }) => now - requestedAt <= maxAgeMs)?.position;
  }
}
