import type { Milliseconds } from '../types/ids.js';

/** Time constant of the exponential decay; a failing member is tried again after about twice this. */
const DECAY_MS = 4000;
/** Minimum decayed count of outcomes; the ratio of fewer is unreliable and counts as 0. */
const MIN_OUTCOMES = 1.5;

/**
 * Tracks the recent failure ratio of one member's statements at one instance.
 *
 * A member can fail some of its statements while it reports itself healthy, and each read that fails
 * there has to be retried at another member. A member with a high ratio is therefore avoided until
 * its outcomes have decayed, and is then tried again.
 */
export class FailureRatioTracker {
  private succeeded = 0;

  private failed = 0;

  private decayedAt: Milliseconds | undefined;

  /**
   * Records the outcome of a statement.
   *
   * @param isSuccess - whether the member ran it, or correctly reported why it did not
   * @param now - current time
   */
  recordOutcome(isSuccess: boolean, now: Milliseconds): void {
    this.applyDecay(now);
    if (isSuccess) this.succeeded += 1;
    else this.failed += 1;
  }

  /** @returns fraction of the recent statements that failed, 0 to 1 */
  computeFailureRatio(now: Milliseconds): number {
    this.applyDecay(now);
    const total = this.succeeded + this.failed;
    return total < MIN_OUTCOMES ? 0 : this.failed / total;
  }

  private applyDecay(now: Milliseconds): void {
    const factor = Math.exp(-Math.max(0, now - (this.decayedAt ?? now)) / DECAY_MS);
    this.decayedAt = now;
    this.succeeded *= factor;
    this.failed *= factor;
  }
}
