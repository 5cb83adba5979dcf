/**
 * Notices that the process was suspended.
 *
 * A monotonic clock does not count the time of a suspension, the time of day does. The time of day
 * may also be stepped, so a forward jump is taken for a suspension: that only makes what is known
 * look older than it is. A jump back that hides a suspension of the same length shows on the
 * uptime, which is read whenever the time of day has jumped either way.
 */

/** Smallest jump of the time of day that counts; scheduling delays stay below it. */
export const SMALLEST_JUMP_MS = 40;

/** Readings of the three clocks at one moment, in milliseconds. */
export interface ClockReadings {
  readonly monotonicMs: number;
  readonly timeOfDayMs: number;
}

/** Adds up for how long the process was suspended. */
export class SuspensionDetector {
  private offsetMs: number;

  private uptimeOffsetMs: number;

  private suspendedMs = 0;

  /**
   * @param first - readings at the start
   * @param readUptimeMs - reads a clock that counts suspensions and is never stepped
   */
  constructor(
    first: ClockReadings,
    private readonly readUptimeMs: () => number,
  ) {
    this.offsetMs = first.timeOfDayMs - first.monotonicMs;
    this.uptimeOffsetMs = readUptimeMs() - first.monotonicMs;
  }

  /**
   * @param readings - present readings
   * @returns for how long the process has been suspended since its start, in milliseconds
   */
  observe(readings: ClockReadings): number {
    const offset = readings.timeOfDayMs - readings.monotonicMs;
    const jump = offset - this.offsetMs;
    if (Math.abs(jump) < SMALLEST_JUMP_MS) return this.suspendedMs;
    this.offsetMs = offset;
    const uptimeOffset = this.readUptimeMs() - readings.monotonicMs;
    const counted = Math.max(0, uptimeOffset - this.uptimeOffsetMs);
    this.uptimeOffsetMs = uptimeOffset;
    this.suspendedMs += Math.max(0, jump, counted);
    return this.suspendedMs;
  }
}
