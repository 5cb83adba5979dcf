import { type Clock, type Milliseconds, toMilliseconds } from '@heatherledge/core';

/** The process's monotonic clock. */
export class SystemClock implements Clock {
  now(): Milliseconds {
    return toMilliseconds(performance.now());
  }
}

/**
 * Waits for a time.
 *
 * @param ms - time to wait, in milliseconds
 */
export async function delay(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Waits for a promise with a timeout.
 *
 * @param promise - promise to wait for
 * @param ms - maximum wait, in milliseconds
 * @param fallback - result after a timeout
 * @returns the promise's result, or the fallback
 */
export async function waitWithTimeout<Value, Fallback>(
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
