import { computeInitialTokens, TokenBucket, toMilliseconds } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

const RATE = 46;
const BURST = 46;
const INSTANCES = 9;
const TOLERANCE = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const STEP_MS = 20;

/**
 * Simulates the load pattern cv-ceras: one organisation sends requests at more than its rate to all
 * instances. These lose power at the given times and restart 1.6 s later.
 *
 * @returns times at which requests were admitted
 */
function simulateRequests(powerLosses: readonly number[], initialTokens: number): number[] {
  const share = 1 / INSTANCES;
  const admitted: number[] = [];
  let buckets: TokenBucket[] = [];
  let startedAt = -1;
  const startInstances = (now: number): void => {
    startedAt = now;
    buckets = Array.from({ length: INSTANCES }, () => new TokenBucket(toMilliseconds(now)));
  };
  startInstances(0);
  for (let now = 0; now < 20_000; now += STEP_MS) {
    const at = toMilliseconds(now);
    if (powerLosses.includes(now)) startInstances(now + 1600);
    if (now < startedAt) continue;
    for (const bucket of buckets) {
      bucket.setShare(RATE * share, BURST * share, at, initialTokens * share);
      while (bucket.take(1, at)) admitted.push(now);
    }
  }
  return admitted;
}

/** @returns maximum number of requests admitted within any window of the tolerance */
function countMaxPerWindow(admitted: readonly number[]): number {
  const counts = admitted.map(
    (from) => admitted.filter((at) => at >= from && at < from + TOLERANCE.windowMs).length,
  );
  return Math.max(...counts);
}

describe('computeInitialTokens', () => {
  const initialTokens = computeInitialTokens(RATE, BURST, TOLERANCE);
  const allowed =
    (RATE * (TOLERANCE.windowMs / 1000) + BURST) * (1 + TOLERANCE.overshoot) + TOLERANCE.slack;

  it('admits callers that reconnect right after a restart, nearly all of whom empty buckets refuse', () => {
    const countFirst = (tokens: number): number =>
      simulateRequests([8000], tokens).filter((at) => at >= 9600 && at < 9900).length;
    expect(countFirst(0)).toBeLessThan(10);
    expect(countFirst(initialTokens)).toBeGreaterThan(15);
  });

  it.each([
    ['one power loss', [8000]],
    ['two power losses in one window', [8000, 10_400]],
    ['two power losses in immediate succession', [8000, 9600]],
  ])('stays within the tolerance after %s', (_, losses) => {
    expect(countMaxPerWindow(simulateRequests(losses, initialTokens))).toBeLessThanOrEqual(allowed);
  });

  it('grants no tokens if the tolerance is zero', () => {
    expect(computeInitialTokens(RATE, BURST, { windowMs: 5000, overshoot: 0, slack: 0 })).toBe(0);
  });
});
