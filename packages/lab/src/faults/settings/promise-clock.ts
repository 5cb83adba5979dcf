/** Lets code that awaits promises run between the events of a manual clock. */
import type { EventQueue } from '../event-queue.js';

/** Rounds of the microtask queue after which code has come to rest. */
const SETTLING_ROUNDS = 12;

/**
 * Runs events up to a moment, and between them everything that was waiting for promises.
 *
 * @param queue - the events
 * @param untilMs - last moment
 * @param stepMs - time between two rests, in milliseconds
 */
export async function runWithPromises(
  queue: EventQueue,
  untilMs: number,
  stepMs: number,
): Promise<void> {
  for (let now = queue.now() + stepMs; now <= untilMs; now += stepMs) {
    queue.runUntil(now);
    for (let round = 0; round < SETTLING_ROUNDS; round += 1) await Promise.resolve();
  }
}
