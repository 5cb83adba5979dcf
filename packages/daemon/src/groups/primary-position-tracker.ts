import {
  PositionHistory,
  type Clock,
  type GroupId,
  type Milliseconds,
  type PositionSample,
  ReadIndexBatcher,
  type ReadTicket,
  type SessionPosition,
} from '@heatherledge/core';

/** Requests the primary's confirmed position; undefined if it is not confirmed in time. */
export type PositionSource = (group: GroupId) => Promise<SessionPosition | undefined>;

/** How long samples are kept for reads with a maximum age. */
const SAMPLE_RETENTION_MS = 120_000;

/** Confirmed positions of one group's primary; concurrent reads share one request. */
export class PrimaryPositionTracker {
  private readonly batcher = new ReadIndexBatcher();

  private readonly samples = new PositionHistory(SAMPLE_RETENTION_MS);

  private readonly waiters = new Map<ReadTicket, (position: SessionPosition | undefined) => void>();

  constructor(
    private readonly group: GroupId,
    private readonly clock: Clock,
    private readonly requestPosition: PositionSource,
  ) {}

  /**
   * Requests the position that a linearizable read must have reached.
   *
   * @returns a position confirmed after this call, or undefined if the primary is unavailable
   */
  async readIndex(): Promise<SessionPosition | undefined> {
    const ticket = this.batcher.addRead();
    const promise = new Promise<SessionPosition | undefined>((resolve) => {
      this.waiters.set(ticket, resolve);
    });
    void this.sendNextRequest();
    return promise;
  }

  /**
   * @param maxAgeMs - maximum age of the data, in milliseconds
   * @returns a position at which data are at most that old, if one is known
   */
  findPositionForAge(maxAgeMs: number): SessionPosition | undefined {
    return this.samples.findOldest(maxAgeMs, this.clock.now());
  }

  /** Adds a position that was confirmed by another request. */
  addSample(sample: PositionSample): void {
    this.samples.add(sample);
  }

  /** Sends one request for all waiting reads, unless one is in progress; repeats as needed. */
  private async sendNextRequest(): Promise<void> {
    const request = this.batcher.startRequest();
    if (request === undefined) return;
    const requestedAt: Milliseconds = this.clock.now();
    const position = await this.requestPosition(this.group);
    if (position !== undefined) this.samples.add({ requestedAt, position });
    for (const ticket of this.batcher.completeRequest(request.requestId, position).tickets) {
      this.waiters.get(ticket)?.(position);
      this.waiters.delete(ticket);
    }
    void this.sendNextRequest();
  }
}
