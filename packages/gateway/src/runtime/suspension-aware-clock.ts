/** A monotonic clock that also counts the time for which the process was suspended. */
import { uptime } from 'node:os';
import {
  type Clock,
  type ClockReadings,
  type Milliseconds,
  SuspensionDetector,
  toMilliseconds,
} from '@heatherledge/core';

/** Ages and leases are judged by this clock, so that a resumed process knows what it missed. */
export class SuspensionAwareClock implements Clock {
  private readonly detector = new SuspensionDetector(readClocks(), () => uptime() * 1000);

  now(): Milliseconds {
    const readings = readClocks();
    return toMilliseconds(readings.monotonicMs + this.detector.observe(readings));
  }
}

function readClocks(): ClockReadings {
  return { monotonicMs: performance.now(), timeOfDayMs: Date.now() };
}
