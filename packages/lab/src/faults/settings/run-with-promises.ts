import type { EventQueue } from '../event-queue.js';

/** Turns of the microtask queue within which the code that can continue after a step has run. */
const MICROTASK_ROUNDS = 12;

/**
 * Advances the event queue in steps and drains the microtask queue after each, so that code that
 * awaits promises runs in simulated time.
 *
 * @param queue - the event queue
 * @param untilMs - time up to which events run, in milliseconds
 * @param stepMs - simulated time between two drains, in milliseconds
 */
export async function runWithPromises(
  queue: EventQueue,
  untilMs: number,
  stepMs: number,
): Promise<void> {
  for (let now = queue.now() + stepMs; now <= untilMs; now += stepMs) {
    queue.runUntil(now);
    for (let round = 0; round < MICROTASK_ROUNDS; round += 1) await Promise.resolve();
  }
}
