import { describe, expect, it } from 'vitest';
import {
  computeEvacuationWindow,
  isUseAllowed,
  ManualClock,
  type MemberUse,
  toMilliseconds,
} from '../../src/index.js';

const MAX_DELAY_MS = toMilliseconds(5000);
const LEARNED_AT = 100_000;
const STEP_MS = 100;

/** @returns time in milliseconds after the instance learned of the request until which a use is allowed */
function measureUse(use: MemberUse, absentMs: number | undefined): number {
  const clock = new ManualClock(LEARNED_AT);
  const absentAt = absentMs === undefined ? undefined : toMilliseconds(LEARNED_AT - absentMs);
  const window = computeEvacuationWindow(clock.now(), absentAt, MAX_DELAY_MS);
  while (isUseAllowed(use, window, clock.now())) clock.advance(STEP_MS);
  return clock.now() - LEARNED_AT;
}

describe('the window of an evacuation', () => {
  // Guards against reads that are still sent to replicas of the domain.
  it('lets nothing new through to replicas', () => {
    expect(measureUse('replica', 0)).toBe(0);
  });

  // Guards against a write interruption during the switchover, and a primary that is used for too long.
  it('lets the primary be used for 2 s and open transactions for 4 s', () => {
    expect(measureUse('primary', 0)).toBe(2000);
    expect(measureUse('open-transaction', 0)).toBe(4000);
  });

  // Guards against an instance that learns of the request late and uses the primary beyond the bound.
  it.each([
    [1000, 2000],
    [3000, 1500],
    [4500, 0],
    [9000, 0],
  ])('is shorter if the last check without the request was %d ms ago', (absentMs, expected) => {
    expect(measureUse('primary', absentMs)).toBe(expected);
  });

  // Guards against a new window at each start of a process while the request stands.
  it('is empty if the request may be old', () => {
    expect(measureUse('primary', undefined)).toBe(0);
    expect(measureUse('open-transaction', undefined)).toBe(0);
  });

  // Guards against a switchover that aborts transactions at once, or that begins after the primary's window.
  it('begins the switchover after 0.5 s, and never after the end of the primary window', () => {
    const learnedAt = toMilliseconds(LEARNED_AT);
    const late = toMilliseconds(LEARNED_AT - 4400);
    expect(computeEvacuationWindow(learnedAt, learnedAt, MAX_DELAY_MS).switchoverFrom).toBe(
      LEARNED_AT + 500,
    );
    const window = computeEvacuationWindow(learnedAt, late, MAX_DELAY_MS);
    expect(window.switchoverFrom).toBe(LEARNED_AT + 100);
    expect(window.primaryUntil).toBe(LEARNED_AT + 100);
  });
});
