import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/** Limits of a sequence of calls. */
export interface CallPace {
  /** Calls that may follow each other at once. */
  readonly burst: number;
  /** Time after which one more call may be made. */
  readonly intervalMs: Milliseconds;
}

/**
 * Paces calls that each return what has changed since the last one.
 *
 * Load pattern: a fleet starts, and 42 members and 195 instances list themselves within 6 s. A watch
 * ends with the first change, so each relay makes a call for each of them. A single change is passed
 * on at once, while those of a burst are collected.
 */
export class CallPacer {
  private available: number;

  private updatedAt: Milliseconds | undefined;

  /** @param pace - limits of the calls */
  constructor(private readonly pace: CallPace) {
    this.available = pace.burst;
  }

  /**
   * Takes the next call.
   *
   * @param now - current time
   * @returns delay before the call is to be made, in milliseconds
   */
  take(now: Milliseconds): Milliseconds {
    const { burst, intervalMs } = this.pace;
    const elapsedMs = Math.max(0, now - (this.updatedAt ?? now));
    this.updatedAt = now;
    this.available = Math.min(burst, this.available + elapsedMs / intervalMs) - 1;
    return toMilliseconds(Math.max(0, -this.available * intervalMs));
  }
}
