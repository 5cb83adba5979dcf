/** Minimum jump of the time of day that is counted; scheduling delays stay below it. */
export const MIN_CLOCK_JUMP_MS = 40;

/** Readings of the monotonic clock and the time of day at the same time, in milliseconds. */
export interface ClockReadings {
  readonly monotonicMs: number;
  readonly timeOfDayMs: number;
}

/**
 * Measures how long the process has been suspended.
 *
 * The monotonic clock stops during a suspension, the time of day does not. The time of day may also
 * be set; a forward jump is always counted as a suspension, which at worst makes data look older
 * than it is. A backward jump can hide a suspension of the same length, so the uptime is read
 * whenever the time of day has jumped in either direction.
 */
export class SuspensionDetector {
  private timeOfDayOffsetMs: number;

  private uptimeOffsetMs: number;

  private suspendedMs = 0;

  /**
   * @param first - readings at the start
   * @param readUptimeMs - reads a clock that runs during suspensions and is never set, in
   * milliseconds
   */
  constructor(
    first: ClockReadings,
    private readonly readUptimeMs: () => number,
  ) {
    this.timeOfDayOffsetMs = first.timeOfDayMs - first.monotonicMs;
    this.uptimeOffsetMs = readUptimeMs() - first.monotonicMs;
  }

  /**
   * Updates the suspended time from new readings.
   *
   * @param readings - current readings
   * @returns total suspended time since the start, in milliseconds
   */
  observe(readings: ClockReadings): number {
    const timeOfDayOffsetMs = readings.timeOfDayMs - readings.monotonicMs;
    const timeOfDayJumpMs = timeOfDayOffsetMs - this.timeOfDayOffsetMs;
    if (Math.abs(timeOfDayJumpMs) < MIN_CLOCK_JUMP_MS) return this.suspendedMs;
    this.timeOfDayOffsetMs = timeOfDayOffsetMs;
    const uptimeOffsetMs = this.readUptimeMs() - readings.monotonicMs;
    const uptimeJumpMs = Math.max(0, uptimeOffsetMs - this.uptimeOffsetMs);
    this.uptimeOffsetMs = uptimeOffsetMs;
    this.suspendedMs += Math.max(0, timeOfDayJumpMs, uptimeJumpMs);
    return this.suspendedMs;
  }
}
