import { describe, expect, it } from 'vitest';
import {
  chooseReadMember,
  type GroupId,
  type LogPosition,
  type MemberId,
  type ReadMemberState,
  type Route,
  StatementTimes,
  type Term,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const at = toMilliseconds;
const position = { term: toBrand<Term>(1), position: toBrand<LogPosition>(1) };
const route: Route = {
  name: 'r',
  database: 'd',
  group: toBrand<GroupId>('g'),
  consistency: 'bounded',
  statementTimeoutMs: at(800),
  targetLatencyMs: at(800),
  maxAgeMs: at(1500),
  priority: 2,
  isPublic: false,
};
const requirements = {
  route,
  sessionPosition: undefined,
  stalenessPosition: position,
  tried: new Set<MemberId>(),
};

function createMember(id: string, changes: Partial<ReadMemberState>): ReadMemberState {
  return {
    id: toBrand<MemberId>(id),
    isPrimary: false,
    isDraining: false,
    distance: 0,
    pending: 0,
    slots: 4,
    avoidUntil: at(0),
    reportedPosition: position,
    laggingUntil: at(0),
    failureRatio: 0,
    ...changes,
  };
}

/**
 * Sends a read each 10 ms to one of three members with four slots, of which the near one takes seven times
 * as long; returns the share of it.
 */
function replaySlowMember(isMeasured: boolean): number {
  const times = [105, 15, 15];
  const ends: number[][] = [[], [], []];
  let slow = 0;
  for (let now = 0; now < 10_000; now += 10) {
    const members = times.map((ms, index) => {
      ends[index] = (ends[index] ?? []).filter((end) => end > now);
      const statementMs = isMeasured && now > 200 ? ms : undefined;
      const pending = ends[index]?.length ?? 0;
      return createMember(String(index), { pending, statementMs, distance: index === 0 ? 0 : 2 });
    });
    const chosen = Number(chooseReadMember(members, requirements, at(now))?.member);
    ends[chosen]?.push(now + (times[chosen] ?? 0));
    if (chosen === 0) slow += 1;
  }
  return slow / 1000;
}

describe('choice of a member by its speed', () => {
  // Guards against a slow member that keeps its share of reads because its queue is short.
  it('sends few reads to a member that takes seven times as long', () => {
    expect(replaySlowMember(true)).toBeLessThan(0.1);
    expect(replaySlowMember(false)).toBeGreaterThan(0.2);
  });

  it('takes a member of which no time is known for a usual one', () => {
    const members = [
      createMember('slow', { statementMs: 100 }),
      createMember('unknown', {}),
      createMember('usual', { statementMs: 15, pending: 1 }),
    ];
    expect(chooseReadMember(members, requirements, at(0))?.member).toBe('unknown');
  });

  // Guards against reads that leave their region because single statements took longer by chance.
  it('stays with the near member while it takes less than twice as long', () => {
    const members = [
      createMember('near', { statementMs: 28, pending: 1 }),
      createMember('far', { statementMs: 15, distance: 2 }),
      createMember('other', { statementMs: 16, distance: 2 }),
    ];
    expect(chooseReadMember(members, requirements, at(0))?.member).toBe('near');
  });

  // Guards against long queues at members with many slots that look as long as those with few.
  it('counts a queue by the slots that serve it', () => {
    const members = [
      createMember('few', { slots: 2, pending: 3 }),
      createMember('many', { slots: 8, pending: 4 }),
    ];
    expect(chooseReadMember(members, requirements, at(0))?.member).toBe('many');
  });
});

describe('StatementTimes', () => {
  it('keeps priorities apart', () => {
    const times = new StatementTimes();
    times.record(0, 3, at(0));
    times.record(2, 26, at(0));
    expect(times.findMeanMs(0, at(10))).toBe(3);
    expect(times.findMeanMs(2, at(10))).toBe(26);
    expect(times.findMeanMs(1, at(10))).toBeUndefined();
  });

  // Guards against a member that was slow once and is never tried again.
  it('forgets a mean that nothing has confirmed for three seconds', () => {
    const times = new StatementTimes();
    times.record(1, 200, at(0));
    expect(times.findMeanMs(1, at(2999))).toBe(200);
    expect(times.findMeanMs(1, at(3000))).toBeUndefined();
    times.record(1, 20, at(3000));
    expect(times.findMeanMs(1, at(3001))).toBe(20);
  });

  it('follows a change within a few statements', () => {
    const times = new StatementTimes();
    times.record(1, 10, at(0));
    for (let now = 1; now <= 10; now += 1) times.record(1, 100, at(now));
    expect(times.findMeanMs(1, at(11))).toBeGreaterThan(85);
  });
});
