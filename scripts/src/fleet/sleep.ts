/** Waiting. */

/**
 * @param ms - how long, in milliseconds
 * @returns a promise that resolves after that time
 */
export async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
