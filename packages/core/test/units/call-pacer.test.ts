import { describe, expect, it } from 'vitest';
import { CallPacer, toMilliseconds } from '../../src/index.js';

const PACE = { burst: 3, intervalMs: toMilliseconds(400) };
const STORE_RESPONSE_MS = 4;

/** Counts the calls of a watch that ends with each change, and the longest delay of a change. */
function replayWatch(changeTimes: readonly number[], pacer: CallPacer | undefined) {
  let calls = 0;
  let maxDelayMs = 0;
  let now = 0;
  let seen = 0;
  while (seen < changeTimes.length) {
    now += pacer?.take(toMilliseconds(now)) ?? 0;
    calls += 1;
    now = Math.max(now, changeTimes[seen] as number);
    while (seen < changeTimes.length && (changeTimes[seen] as number) <= now) {
      maxDelayMs = Math.max(maxDelayMs, now - (changeTimes[seen] as number));
      seen += 1;
    }
    now += STORE_RESPONSE_MS;
  }
  return { calls, maxDelayMs };
}

describe('CallPacer', () => {
  describe('load pattern: a fleet of 195 instances and 42 members lists itself within 6 s', () => {
    const changes = Array.from({ length: 237 }, (_, index) => (index * 6000) / 237);

    it('lets a relay make a tenth of the calls of a watch that ends with each change', () => {
      const unpaced = replayWatch(changes, undefined);
      const paced = replayWatch(changes, new CallPacer(PACE));
      expect(unpaced.calls).toBeGreaterThan(200);
      expect(paced.calls).toBeLessThan(unpaced.calls / 10);
    });

    it('delays no change by more than its interval', () => {
      expect(replayWatch(changes, new CallPacer(PACE)).maxDelayMs).toBeLessThanOrEqual(400);
    });
  });

  it('delays no change that comes by itself', () => {
    const changes = Array.from({ length: 20 }, (_, index) => index * 1000);
    expect(replayWatch(changes, new CallPacer(PACE)).maxDelayMs).toBe(0);
  });
});
