import type { Milliseconds } from '../types/ids.js';

/** Weight of the newest dequeue interval in the moving average of about the last ten. */
const SMOOTHING_FACTOR = 0.2;
/** Longer intervals do not show how fast a queue moves and are ignored. */
const MAX_DEQUEUE_INTERVAL_MS = 1000;

/**
 * Estimates how long a request would wait in a queue for a connection to a member.
 *
 * If a member gets more work than it can do, because its replicas lag or callers send a burst, a
 * queue bounded only by a timeout serves each request just before the timeout: too late for its
 * caller, and at the cost of the requests behind it. Requests that would wait too long are therefore
 * refused on arrival, so that accepted ones are served promptly and refused ones can be retried
 * elsewhere.
 */
export class WaitEstimator {
  private intervalMs: number | undefined;

  private lastDequeueAt: Milliseconds | undefined;

  /**
   * Records that a request left the queue to be served.
   *
   * @param now - current time
   * @param hasMore - whether other requests are still queued
   */
  recordDequeue(now: Milliseconds, hasMore: boolean): void {
    const elapsedMs = this.lastDequeueAt === undefined ? undefined : now - this.lastDequeueAt;
    this.lastDequeueAt = hasMore ? now : undefined;
    if (elapsedMs === undefined || elapsedMs > MAX_DEQUEUE_INTERVAL_MS) return;
    const average = this.intervalMs ?? elapsedMs;
    this.intervalMs = average + SMOOTHING_FACTOR * (elapsedMs - average);
  }

  /**
   * @param ahead - requests that would be served first
   * @param now - current time
   * @returns estimated wait of a new request, in milliseconds
   */
  estimateWait(ahead: number, now: Milliseconds): number {
    // The estimate is at least the time since the queue last moved: a stalled queue is not expected
    // to move faster than that.
    const stalledMs = this.computeStallMs(now);
    return ahead * Math.max(this.intervalMs ?? 0, ahead > 0 ? stalledMs / ahead : 0);
  }

  /** @returns milliseconds since the queue last moved; 0 if nothing was left in it */
  computeStallMs(now: Milliseconds): number {
    return this.lastDequeueAt === undefined ? 0 : now - this.lastDequeueAt;
  }
}
