import type { Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import { comparePositions, type TermPosition, type LogSample } from './term-position.js';

/** Minimum interval between samples, apart from the newest; closer ones add no information. */
const MIN_SAMPLE_INTERVAL_MS = 50;
/** Older samples serve no route: the largest maximum age of a route is 2,500 ms. */
const SAMPLE_RETENTION_MS = 4000;
/** Margin for the time between a caller's start of a read and the arrival of its first byte. */
const ARRIVAL_MARGIN_MS = 50;

/**
 * Keeps recent samples of the logs of a group's primaries, in order of time.
 *
 * If replicas lag by a part of a route's maximum age, the oldest sample within that age gives a
 * position that they already hold, while the newest would send every read to the primary. Samples
 * taken by other instances are added too: if many instances each send few requests to a group, the
 * primary need not be sampled by every one of them.
 */
export class LogSampleHistory {
  private samples: LogSample[] = [];

  /** @returns the newest sample, if there is any */
  get newest(): LogSample | undefined {
    return this.samples.at(-1);
  }

  /** Adds a sample; one that is not newer than the newest is ignored. */
  add(sample: LogSample): void {
    const { newest, samples } = this;
    if (newest !== undefined && newest.takenAt >= sample.takenAt) return;
    const previous = samples.at(-2);
    const isClose =
      previous !== undefined && sample.takenAt - previous.takenAt < MIN_SAMPLE_INTERVAL_MS;
    if (isClose) samples.pop();
    samples.push(sample);
    const minTakenAt = sample.takenAt - SAMPLE_RETENTION_MS;
    while (samples[0] !== undefined && samples[0].takenAt < minTakenAt) samples.shift();
  }

  /**
   * Finds the earliest position that includes every commit which a read must not miss.
   *
   * @param arrivedAt - arrival time of the first byte of the read, or of its transaction
   * @param maxAgeMs - maximum age of acknowledged commits that the read may miss
   * @returns the position, or undefined if every sample is too old
   */
  findEarliestPosition(arrivedAt: Milliseconds, maxAgeMs: Milliseconds): TermPosition | undefined {
    const minTakenAt = toMilliseconds(arrivedAt - maxAgeMs + ARRIVAL_MARGIN_MS);
    let earliest: TermPosition | undefined;
    for (const { logPosition: sampled, takenAt } of this.samples) {
      if (takenAt <= minTakenAt) continue;
      if (earliest === undefined || comparePositions(sampled, earliest) < 0) earliest = sampled;
    }
    return earliest;
  }
}
