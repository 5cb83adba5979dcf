/** How far requests within a window may exceed an organisation's rate and burst. */
export interface RateTolerance {
  /** Length of the window in which requests are counted, in milliseconds. */
  readonly windowMs: number;
  /** Tolerated excess as a fraction of the requests that rate and burst admit in a window. */
  readonly overshoot: number;
  /** Requests tolerated in addition to that excess. */
  readonly slack: number;
}

/**
 * Two restarts within one window use four fifths of the tolerance; the remaining fifth allows for
 * delayed requests.
 */
const TOLERANCE_FRACTION_PER_RESTART = 0.4;

/**
 * Computes the tokens that are available at once after a restart.
 *
 * After a power loss all callers reconnect within the first second. Buckets that start empty would
 * refuse them, although their organisations spent nothing during the outage. A restarted instance
 * has no record of the last window, so it may use only the tolerated excess over a rate, and only a
 * fraction of that, since all instances may restart twice within one window.
 *
 * @param ratePerSecond - the organisation's whole rate
 * @param burst - the organisation's whole burst
 * @param tolerance - tolerated excess
 * @returns tokens for all instances together
 */
export function computeInitialTokens(
  ratePerSecond: number,
  burst: number,
  { windowMs, overshoot, slack }: RateTolerance,
): number {
  const admitted = (ratePerSecond * windowMs) / 1000 + burst;
  return TOLERANCE_FRACTION_PER_RESTART * (overshoot * admitted + slack);
}
