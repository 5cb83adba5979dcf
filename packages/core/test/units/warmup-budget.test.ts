import { describe, expect, it } from 'vitest';
import {
  computeWarmupShare,
  type GroupWarmup,
  ManualClock,
  type Milliseconds,
  resolveWarmupPace,
  toMilliseconds,
  WarmupBudget,
  type WarmupPlace,
} from '../../src/index.js';

const LONG_AGO = toMilliseconds(-60_000);
const OVERSHOOT = 1.5;
const SLACK = 5;
const WARMUP_MS = 30_000;
const PACES = [1, 10, 40, 200];

/** An instance that always has a statement for the member. */
interface Sender {
  /** Place of the instance at a time; undefined while it sends nothing. */
  readonly findPlace: (now: Milliseconds) => WarmupPlace | undefined;
  /** Error of its estimate of the end of the warm-up. */
  readonly skewMs?: number;
}

interface Arrival {
  readonly at: number;
  readonly sender: number;
}

const HOST: WarmupPlace = { rank: 'host', since: LONG_AGO, isConfirmed: true };
const STANDBY: WarmupPlace = { rank: 'standby' };

/** Offers each instance a statement every 2 ms, and returns what the member gets. */
function replay(pace: number, senders: readonly Sender[], durationMs: number, maxWaitMs = 0) {
  const clock = new ManualClock();
  const budgets = senders.map(() => new WarmupBudget(clock.now()));
  const arrivals: Arrival[] = [];
  for (; clock.now() < durationMs; clock.advance(2)) {
    const now = clock.now();
    senders.forEach(({ findPlace, skewMs = 0 }, sender) => {
      const place = findPlace(now);
      if (place === undefined) return;
      const referenceAt = toMilliseconds(WARMUP_MS + skewMs);
      const share = computeWarmupShare(pace, place, referenceAt, now);
      const decision = (budgets[sender] as WarmupBudget).reserve(share, maxWaitMs, now);
      if (decision.kind === 'granted') arrivals.push({ at: now + decision.delayMs, sender });
    });
  }
  return arrivals.sort((left, right) => left.at - right.at);
}

/** Counts the arrivals of the busiest sliding window of one second. */
function countBusiestSecond(arrivals: readonly Arrival[]): number {
  let busiest = 0;
  let first = 0;
  arrivals.forEach(({ at }, last) => {
    while (at - (arrivals[first] as Arrival).at >= 1000 - 1e-6) first += 1;
    busiest = Math.max(busiest, last - first + 1);
  });
  return busiest;
}

function createOthers(count: number, findSkew: (index: number) => number = () => 0): Sender[] {
  return Array.from({ length: count }, (_, index) => ({
    findPlace: () => ({ rank: 'other', index, instanceCount: count }),
    skewMs: findSkew(index),
  }));
}

describe('statements to a cold member', () => {
  it.each(PACES)(
    'keep to a pace of %i a second when it returns under full load (guards against a burst of queued statements)',
    (pace) => {
      for (const maxWaitMs of [0, 280]) {
        const arrivals = replay(pace, [{ findPlace: () => HOST }], 10_000, maxWaitMs);
        expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(pace);
        expect(arrivals.length).toBeGreaterThan(0.85 * 9 * pace);
      }
    },
  );

  it.each(PACES)(
    'stay within the limit for a pace of %i with two hosts at once (guards against a new host at the full share)',
    (pace) => {
      const changesAt = 5000;
      const oldHost = (now: Milliseconds): WarmupPlace => (now < changesAt + 1900 ? HOST : STANDBY);
      const newHost = (now: Milliseconds): WarmupPlace =>
        now < changesAt
          ? { rank: 'other', index: 0, instanceCount: 71 }
          : { rank: 'host', since: toMilliseconds(changesAt), isConfirmed: true };
      const senders = [oldHost, newHost, () => STANDBY].map((findPlace) => ({ findPlace }));
      const arrivals = replay(pace, senders, 12_000);
      expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(OVERSHOOT * pace + SLACK);
    },
  );

  it.each(PACES)(
    'stay within the limit for a pace of %i beside an old host that is cut off from the store (guards against two full shares)',
    (pace) => {
      const senders: Sender[] = [
        { findPlace: () => ({ ...HOST, rank: 'host', since: LONG_AGO, isConfirmed: false }) },
        { findPlace: () => HOST },
        { findPlace: () => STANDBY },
      ];
      const arrivals = replay(pace, senders, 6000);
      expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(OVERSHOOT * pace + SLACK);
    },
  );

  it.each(PACES)(
    'stay within the limit for a pace of %i with a standby beside a partitioned host (guards against a standby at the full share)',
    (pace) => {
      const senders = [HOST, STANDBY].map((place) => ({ findPlace: () => place }));
      const arrivals = replay(pace, [...senders, ...createOthers(69)], 6000);
      expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(OVERSHOOT * pace + SLACK);
      expect(arrivals.some(({ sender }) => sender === 1)).toBe(true);
    },
  );

  it.each([1, 10, 40])(
    'stay within a quarter of a pace of %i from 71 instances that reach no host (guards against a full token at each)',
    (pace) => {
      const findSkew = (index: number): number => ((index * 37) % 200) - 100;
      const others = createOthers(71, findSkew);
      const periodMs = (1000 / (pace * 0.25)) * others.length;
      const arrivals = replay(pace, others, Math.min(WARMUP_MS, periodMs * 2));
      expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(pace * 0.25 + SLACK);
      if (periodMs > WARMUP_MS) return;
      const served = new Set(arrivals.map(({ sender }) => sender));
      expect(served.size).toBe(others.length);
    },
  );

  it('are not held up at a host that was another instance before (guards against a pause of a whole round of turns)', () => {
    const budget = new WarmupBudget(toMilliseconds(0));
    const other: WarmupPlace = { rank: 'other', index: 0, instanceCount: 71 };
    const now = toMilliseconds(1000);
    const share = computeWarmupShare(10, other, toMilliseconds(0), now);
    expect(budget.reserve(share, Infinity, now).kind).toBe('granted');
    const later = toMilliseconds(WARMUP_MS);
    const asHost = computeWarmupShare(10, HOST, toMilliseconds(0), later);
    expect(budget.reserve(asHost, 0, later)).toEqual({ kind: 'granted', delayMs: 0 });
  });

  it.each([2, 4, 8, 25])(
    'stay within the limit with %i commands each (guards against sessions with many values)',
    (cost) => {
      for (const pace of PACES) {
        const clock = new ManualClock();
        const budget = new WarmupBudget(clock.now());
        const arrivals: Arrival[] = [];
        for (; clock.now() < 10_000; clock.advance(2)) {
          const share = computeWarmupShare(pace, HOST, toMilliseconds(WARMUP_MS), clock.now());
          const decision = budget.reserve(share, 800, clock.now(), cost);
          if (decision.kind === 'refused') continue;
          const at = clock.now() + decision.delayMs;
          for (let count = 0; count < cost; count += 1) arrivals.push({ at, sender: 0 });
        }
        expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual(pace + SLACK);
      }
    },
  );

  it('reserve nothing when they are refused (guards against refusals that use up the pace)', () => {
    const budget = new WarmupBudget(toMilliseconds(0));
    const share = { intervalMs: 100 };
    for (let count = 0; count < 50; count += 1) {
      expect(budget.reserve(share, 50, toMilliseconds(0)).kind).toBe('refused');
    }
    expect(budget.reserve(share, 100, toMilliseconds(0))).toEqual({
      kind: 'granted',
      delayMs: 100,
    });
  });
});

describe('the pace of a cold member', () => {
  const durationMs = toMilliseconds(WARMUP_MS);
  const resolve = (requestsPerSecond: number, overshoot?: number): number =>
    resolveWarmupPace({ durationMs, requestsPerSecond } satisfies GroupWarmup, overshoot);

  it.each([0, 0.2, -3, NaN])(
    'is one a second for a value of %d (guards against a member that never receives a statement)',
    (value) => expect(resolve(value)).toBe(1),
  );

  it('is lowered to a smaller tolerance than the sum of the shares (guards against shares beyond the limit)', () => {
    expect(resolve(30, 1.5)).toBe(30);
    expect(resolve(30, 4)).toBe(30);
    expect(resolve(30, 1)).toBe(20);
  });
});
