import { uptime } from 'node:os';
import {
  type Clock,
  type ClockReadings,
  type Milliseconds,
  SuspensionDetector,
  toMilliseconds,
} from '@heatherledge/core';

/**
 * A clock that adds the time of suspensions to its readings. The difference between two readings is
 * exact only if `suspendedMs` is the same at both.
 */
export interface SuspensionAware {
  /** Total time added for detected suspensions, which may include false detections. */
  readonly suspendedMs: number;
}

/**
 * A monotonic clock that also counts the time for which the process was suspended. Ages and leases
 * are measured with it, so that they also expire while the process is suspended.
 */
export class SuspensionAwareClock implements Clock, SuspensionAware {
  private readonly detector = new SuspensionDetector(readClocks(), () => uptime() * 1000);

  get suspendedMs(): number {
    return this.detector.observe(readClocks());
  }

  now(): Milliseconds {
    const readings = readClocks();
    return toMilliseconds(readings.monotonicMs + this.detector.observe(readings));
  }
}

function readClocks(): ClockReadings {
  return { monotonicMs: performance.now(), timeOfDayMs: Date.now() };
}
