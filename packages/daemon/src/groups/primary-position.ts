/** Asks a group's primary for its confirmed position, once for all reads that wait for it. */
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

/** Asks the primary; undefined if it did not confirm in time. */
export type PositionSource = (group: GroupId) => Promise<SessionPosition | undefined>;

/** How long a sample can be of use for reads of a stated age. */
const KEEP_SAMPLES_MS = 120_000;

/** Confirmed positions of one group's primary. */
export class PrimaryPosition {
  private readonly batcher = new ReadIndexBatcher();

  private readonly samples = new PositionHistory(KEEP_SAMPLES_MS);

  private readonly waiters = new Map<ReadTicket, (position: SessionPosition | undefined) => void>();

  constructor(
    private readonly group: GroupId,
    private readonly clock: Clock,
    private readonly source: PositionSource,
  ) {}

  /**
   * @returns a position confirmed after this call, or undefined if the primary cannot be had
   */
  async readIndex(): Promise<SessionPosition | undefined> {
    const ticket = this.batcher.addRead();
    const promise = new Promise<SessionPosition | undefined>((resolve) => {
      this.waiters.set(ticket, resolve);
    });
    void this.pump();
    return promise;
  }

  /**
   * @param maxAgeMs - accepted age in milliseconds
   * @returns position from which on data are no older, if one is known
   */
  resolveAge(maxAgeMs: number): SessionPosition | undefined {
    return this.samples.findOldest(maxAgeMs, this.clock.now());
  }

  /** Notes a position that was confirmed for another purpose. */
  addSample(sample: PositionSample): void {
    this.samples.add(sample);
  }

  private async pump(): Promise<void> {
    const request = this.batcher.startRequest();
    if (request === undefined) return;
    const requestedAt: Milliseconds = this.clock.now();
    const position = await this.source(this.group);
    if (position !== undefined) this.samples.add({ requestedAt, position });
    for (const ticket of this.batcher.completeRequest(request.requestId, position).tickets) {
      this.waiters.get(ticket)?.(position);
      this.waiters.delete(ticket);
    }
    void this.pump();
  }
}
