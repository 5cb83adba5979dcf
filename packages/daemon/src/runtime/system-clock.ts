/** The process's monotonic clock. */
import { type Clock, type Milliseconds, toMilliseconds } from '@heatherledge/core';

/** Reads the monotonic clock of the machine. */
export class SystemClock implements Clock {
  now(): Milliseconds {
    return toMilliseconds(performance.now());
  }
}

/**
 * @param ms - how long to wait, in milliseconds
 * @returns a promise that resolves after that time
 */
export async function delay(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Waits for a promise, but not longer than a bound.
 *
 * @param promise - what to wait for
 * @param ms - longest wait, in milliseconds
 * @param fallback - result if the wait was in vain
 * @returns the promise's result, or the fallback
 */
export async function waitAtMost<Value, Fallback>(
  promise: Promise<Value>,
  ms: number,
  fallback: Fallback,
): Promise<Value | Fallback> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Fallback>((resolve) => {
    timer = setTimeout(() => resolve(fallback), ms);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
