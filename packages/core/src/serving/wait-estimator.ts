/**
 * Estimates how long a request would wait for a connection to a member.
 *
 * Answers the pattern of more work than a member can do, when its replicas lag or callers come in a
 * burst: a queue that only times out serves each request just before its time is over, late for its
 * caller and at the cost of those behind it. A request that would wait too long is refused when it
 * arrives, so that those that are taken are served promptly and the others can try elsewhere.
 */
import type { Milliseconds } from '../types/ids.js';

/** Weight of the newest interval between two turns; about the last ten count. */
const SMOOTHING = 0.2;
/** Turns further apart than this say nothing about how fast a queue moves. */
const LONGEST_INTERVAL_MS = 1000;

/** Watches the turns of one queue. */
export class WaitEstimator {
  private intervalMs: number | undefined;

  private lastTurnAt: Milliseconds | undefined;

  /**
   * Takes note that a waiting request got its turn.
   *
   * @param now - present moment
   * @param hasMore - whether others go on waiting
   */
  noteTurn(now: Milliseconds, hasMore: boolean): void {
    const since = this.lastTurnAt === undefined ? undefined : now - this.lastTurnAt;
    this.lastTurnAt = hasMore ? now : undefined;
    if (since === undefined || since > LONGEST_INTERVAL_MS) return;
    const known = this.intervalMs ?? since;
    this.intervalMs = known + SMOOTHING * (since - known);
  }

  /**
   * @param ahead - requests that would be served first
   * @param now - present moment
   * @returns milliseconds until a new request would have its turn
   */
  estimateWait(ahead: number, now: Milliseconds): number {
    // A queue that has not moved for longer than usual moves no faster than that.
    const stalledMs = this.lastTurnAt === undefined ? 0 : now - this.lastTurnAt;
    return ahead * Math.max(this.intervalMs ?? 0, ahead > 0 ? stalledMs / ahead : 0);
  }
}
