/**
 * @param ms - delay in milliseconds
 * @returns a promise that resolves after the delay
 */
export async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
