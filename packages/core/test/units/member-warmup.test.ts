import { beforeEach, describe, expect, it } from 'vitest';
import {
  chooseReadMember,
  type GroupWarmup,
  type LogPosition,
  ManualClock,
  MemberWarmup,
  type ReadMemberState,
  type Route,
  type Term,
  type TermPosition,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const WARMUP: GroupWarmup = { durationMs: toMilliseconds(20_000), requestsPerSecond: 10 };
const MAX_WARMUP_MS = 3_600_000;

describe('the warm-up of a member', () => {
  let clock: ManualClock;
  let warmup: MemberWarmup;

  beforeEach(() => {
    clock = new ManualClock(1000);
    warmup = new MemberWarmup();
  });

  function record(incarnation: number, sequence: number | undefined, remainingMs?: number): void {
    const warmupRemainingMs = remainingMs === undefined ? undefined : toMilliseconds(remainingMs);
    warmup.recordEntry({ incarnation, sequence, warmupRemainingMs }, clock.now());
  }

  function findRemainingMs(evacuationEndedAt?: number): number {
    const endedAt = evacuationEndedAt === undefined ? undefined : toMilliseconds(evacuationEndedAt);
    const cold = warmup.find(WARMUP, endedAt, clock.now());
    return cold === undefined ? 0 : cold.endsAt - clock.now();
  }

  it('lasts for the time in its entry, also if no further entry arrives (guards against a member that stays cold in an outage of the store)', () => {
    record(1, 1, 5000);
    clock.advance(4999);
    expect(findRemainingMs()).toBe(1);
    clock.advance(1);
    expect(findRemainingMs()).toBe(0);
  });

  it('is not prolonged by a listing that repeats the entry (guards against counting from the last arrival)', () => {
    record(1, 7, 5000);
    clock.advance(4000);
    record(1, 7, 5000);
    record(1, 6, 6000);
    expect(findRemainingMs()).toBe(1000);
  });

  it('is not ended by an entry of the run before a restart that arrives late (guards against the full load on a cold member)', () => {
    record(1, 50, 0);
    record(2, 1, 8000);
    clock.advance(100);
    record(1, 51, 0);
    expect(findRemainingMs()).toBe(7900);
    record(2, 2, 7900);
    expect(findRemainingMs()).toBe(7900);
  });

  it('begins when connections are opened again after all failed (guards against a restart whose entry is late)', () => {
    record(1, 50, 0);
    warmup.recordLost(clock.now());
    expect(findRemainingMs()).toBe(0);
    clock.advance(300);
    warmup.recordReconnection(clock.now());
    expect(findRemainingMs()).toBe(2500);
    clock.advance(200);
    record(1, 51, 0);
    expect(findRemainingMs()).toBe(2300);
    clock.advance(1000);
    record(1, 52, 0);
    expect(findRemainingMs()).toBe(0);
  });

  it('follows the entry of the new run once that arrives (guards against an end after 2.5 s)', () => {
    record(1, 50, 0);
    warmup.recordLost(clock.now());
    warmup.recordReconnection(clock.now());
    clock.advance(100);
    record(2, 1, 9000);
    expect(findRemainingMs()).toBe(9000);
  });

  it('ends 2.5 s after a reconnection without an entry (guards against a member that stays cold)', () => {
    record(1, 50, 0);
    warmup.recordLost(clock.now());
    clock.advance(60_000);
    warmup.recordReconnection(clock.now());
    warmup.recordReconnection(clock.now());
    clock.advance(2499);
    expect(findRemainingMs()).toBe(1);
    clock.advance(1);
    expect(findRemainingMs()).toBe(0);
  });

  it('is not begun by the first connection (guards against limits at the start of an instance)', () => {
    record(1, 50, 0);
    warmup.recordReconnection(clock.now());
    expect(findRemainingMs()).toBe(0);
  });

  it('follows the end of an evacuation (guards against the full load on a member without recent work)', () => {
    record(1, 50, 0);
    expect(findRemainingMs(clock.now())).toBe(WARMUP.durationMs);
    clock.advance(20_000);
    expect(findRemainingMs(clock.now() - 20_000)).toBe(0);
  });

  it.each([
    [undefined, 0],
    [-5, 0],
    [NaN, 0],
    [Infinity, MAX_WARMUP_MS],
    [Number.MAX_SAFE_INTEGER, MAX_WARMUP_MS],
  ])('of %s ms lasts %i ms (guards against odd values in entries)', (remainingMs, expected) => {
    record(1, undefined, remainingMs);
    expect(findRemainingMs()).toBe(expected);
  });

  it('has no effect in a group without one (guards against limits that nobody configured)', () => {
    record(1, 1, 5000);
    warmup.recordLost(clock.now());
    warmup.recordReconnection(clock.now());
    expect(warmup.find(undefined, clock.now(), clock.now())).toBeUndefined();
  });
});

describe('the choice of a member for a read', () => {
  const never = toMilliseconds(0);
  const state: ReadMemberState = {
    id: toBrand('warm'),
    isPrimary: false,
    isDraining: false,
    distance: 2,
    pending: 50,
    avoidUntil: never,
    reportedPosition: undefined,
    laggingUntil: never,
    failureRatio: 0,
  };
  const cold: ReadMemberState = {
    ...state,
    id: toBrand('cold'),
    distance: 0,
    pending: 0,
    isCold: true,
  };
  const position: TermPosition = {
    term: toBrand<Term>(1),
    position: toBrand<LogPosition>(1),
  };
  const choose = (members: ReadMemberState[], tried: readonly string[] = []) =>
    chooseReadMember(
      members,
      {
        route: { consistency: 'bounded' } as Route,
        sessionPosition: undefined,
        stalenessPosition: position,
        tried: new Set(tried) as never,
      },
      toMilliseconds(1),
    )?.member;

  it('takes a far warm member with a queue before a cold one (guards against reads that queue for a cold member)', () => {
    expect(choose([cold, state])).toBe('warm');
  });

  it('takes the cold member once the warm one is full, tried or avoided (guards against a cold member without any work)', () => {
    expect(choose([cold, { ...state, pending: 80 }])).toBe('cold');
    expect(choose([cold, state], ['warm'])).toBe('cold');
    expect(choose([cold, { ...state, avoidUntil: toMilliseconds(9) }])).toBe('cold');
  });
});
