/** When a connection counts as slow. */
export interface ProgressLimits {
  /** Bytes a second that a connection moves at least while bytes are expected. */
  readonly minBytesPerSecond: number;
  /** Time over which the bytes are counted, in milliseconds. */
  readonly windowMs: number;
}

/** Finds out whether a connection on which bytes are expected moves too few of them. */
export class ProgressMeter {
  private windowStart: number;

  private bytesAtStart = 0;

  /**
   * @param limits - when a connection counts as slow
   * @param now - time in milliseconds
   */
  constructor(
    private readonly limits: ProgressLimits,
    now: number,
  ) {
    this.windowStart = now;
  }

  /**
   * Checks a connection; called from time to time.
   *
   * @param now - time in milliseconds
   * @param bytes - bytes moved since the connection was opened
   * @param isExpected - whether the other side has begun something that it has not ended; an idle session
   *   has not, and is never slow
   * @returns whether a whole window has passed with too few bytes
   */
  checkSlow(now: number, bytes: number, isExpected: boolean): boolean {
    const elapsedMs = now - this.windowStart;
    if (isExpected && elapsedMs < this.limits.windowMs) return false;
    const isSlow =
      isExpected && bytes - this.bytesAtStart < (this.limits.minBytesPerSecond * elapsedMs) / 1000;
    this.windowStart = now;
    this.bytesAtStart = bytes;
    return isSlow;
  }
}
