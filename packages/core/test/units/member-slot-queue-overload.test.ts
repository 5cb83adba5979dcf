import { describe, expect, it } from 'vitest';
import {
  computeMaxHoldMs,
  MemberSlotQueue,
  type OrganisationId,
  type SlotRequest,
  type SlotUse,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const SLOTS = 4;
/** Statements that the queue lets through at the same time. */
const CONCURRENCY = SLOTS + 1;
const MAX_WAITING = 384;

const organisation = (name: string): OrganisationId => toBrand<OrganisationId>(name);

interface Arrival {
  readonly at: number;
  readonly name: string;
  readonly serviceMs: number;
  readonly priority: number;
  readonly objectiveMs: number;
  readonly isInTransaction?: boolean;
}

interface Outcome extends Arrival {
  readonly startedAt: number | undefined;
  /** When it finished or was rejected. */
  readonly endedAt: number;
}

function createRequest(arrival: Arrival, now: number): SlotRequest {
  const { name, priority, objectiveMs, isInTransaction = false } = arrival;
  return {
    organisation: organisation(name),
    weight: 1,
    priority,
    deadline: toMilliseconds(now + objectiveMs),
    maxEstimatedWaitMs: objectiveMs * 0.7,
    isInTransaction,
  };
}

/** Replays arrivals at a member that runs as many statements at a time as the queue lets through. */
function replay(arrivals: readonly Arrival[]): Outcome[] {
  const queue = new MemberSlotQueue(SLOTS);
  const waiting = new Map<string, Arrival>();
  const outcomes: Outcome[] = [];
  let running: { arrival: Arrival; use: SlotUse; startedAt: number }[] = [];
  const settleRejected = (now: number): void => {
    for (const { ticket } of queue.takeRejected()) {
      const key = `${ticket.priority}/${ticket.ticket}`;
      const arrival = waiting.get(key) as Arrival;
      waiting.delete(key);
      outcomes.push({ ...arrival, startedAt: undefined, endedAt: now });
    }
  };
  const pending = [...arrivals].sort((left, right) => left.at - right.at);
  for (let now = 0; pending.length > 0 || running.length > 0; now += 1) {
    const time = toMilliseconds(now);
    const ended = running.filter(({ arrival, startedAt }) => now - startedAt >= arrival.serviceMs);
    running = running.filter((statement) => !ended.includes(statement));
    for (const { arrival, use, startedAt } of ended) {
      outcomes.push({ ...arrival, startedAt, endedAt: now });
      queue.recordEnd(use, time, true);
      const next = queue.release(time);
      settleRejected(now);
      if (next === undefined) continue;
      const key = `${next.priority}/${next.ticket}`;
      running.push({ arrival: waiting.get(key) as Arrival, use: next.use, startedAt: now });
      waiting.delete(key);
    }
    while ((pending[0]?.at ?? Infinity) <= now) {
      const arrival = pending.shift() as Arrival;
      const decision = queue.request(createRequest(arrival, now), time);
      settleRejected(now);
      if (decision.kind === 'granted') {
        running.push({ arrival, use: decision.use, startedAt: now });
      } else if (decision.kind === 'queued') {
        waiting.set(`${decision.ticket.priority}/${decision.ticket.ticket}`, arrival);
      } else outcomes.push({ ...arrival, startedAt: undefined, endedAt: now });
    }
  }
  return outcomes;
}

function arriveEvery(
  intervalMs: number,
  changes: Partial<Arrival> & { readonly name: string },
  untilMs = 4000,
): Arrival[] {
  const usual = { serviceMs: 10, priority: 2, objectiveMs: 800 };
  const arrivals: Arrival[] = [];
  for (let at = 0; at < untilMs; at += intervalMs) arrivals.push({ ...usual, at, ...changes });
  return arrivals;
}

function computeShareInTime(
  outcomes: readonly Outcome[],
  isCounted: (outcome: Outcome) => boolean,
) {
  const counted = outcomes.filter(isCounted);
  const inTime = counted.filter(
    ({ at, startedAt, endedAt, objectiveMs }) =>
      startedAt !== undefined && endedAt - at <= objectiveMs,
  );
  return inTime.length / counted.length;
}

describe('MemberSlotQueue under overload', () => {
  describe('load pattern: two organisations send as many statements, of 100 ms and of 10 ms', () => {
    // 25 % more than the member can do; the short statements need a sixth of it.
    const outcomes = replay([
      ...arriveEvery(18, { name: 'long', serviceMs: 100 }),
      ...arriveEvery(12, { name: 'short', serviceMs: 10 }),
    ]);

    // Guards against shares by number, with which the long statements delay or displace the short ones.
    it('serves the organisation that stays within its share of the slot time', () => {
      const own = outcomes.filter(({ name }) => name === 'short');
      const longestWaitMs = Math.max(...own.map(({ at, startedAt = Infinity }) => startedAt - at));
      // Every slot may have just been given to a long statement.
      expect(longestWaitMs).toBeLessThanOrEqual(100);
      expect(computeShareInTime(outcomes, ({ name }) => name === 'short')).toBe(1);
    });

    it('leaves the slot time that it does not use to the other one', () => {
      let usedMs = 0;
      for (const { startedAt, endedAt } of outcomes) {
        if (startedAt !== undefined) usedMs += endedAt - startedAt;
      }
      expect(usedMs).toBeGreaterThan(0.95 * CONCURRENCY * 4000);
    });
  });

  describe('load pattern: statements whose time was estimated wrongly', () => {
    it('charges the organisation what it used, and not what was assumed', () => {
      const queue = new MemberSlotQueue(SLOTS);
      const arrival = { serviceMs: 0, priority: 2, objectiveMs: 4000, at: 0 };
      const now = toMilliseconds(0);
      for (let index = 0; index < CONCURRENCY; index += 1) {
        queue.request(createRequest({ ...arrival, name: 'long' }, 0), now);
      }
      for (const name of ['long', 'long', 'short', 'short', 'short']) {
        queue.request(createRequest({ ...arrival, name }, 0), now);
      }
      const first = queue.release(now);
      if (first === undefined) throw new Error('nothing waits');
      // The first statement takes 300 ms instead of 10, so the next three are of the other one.
      queue.recordEnd(first.use, toMilliseconds(300), true);
      const names = [1, 2, 3, 4].map(() => queue.release(toMilliseconds(300))?.use.charge);
      expect(names.map((charge) => charge?.organisation)).toEqual(
        first.use.charge.organisation === organisation('long')
          ? ['short', 'short', 'short', 'long']
          : ['long', 'long', 'short', 'short'],
      );
    });
  });

  describe('load pattern: routes with objectives of 600 and 1,500 ms in one organisation', () => {
    const usual = { name: 'a', priority: 2, serviceMs: 10, at: 0 };

    it('runs the earliest deadline first', () => {
      const queue = new MemberSlotQueue(SLOTS);
      const now = toMilliseconds(0);
      for (let index = 0; index < CONCURRENCY; index += 1) {
        queue.request(createRequest({ ...usual, objectiveMs: 600 }, 0), now);
      }
      queue.request(createRequest({ ...usual, objectiveMs: 1500 }, 0), now);
      const early = queue.request(createRequest({ ...usual, objectiveMs: 600 }, 0), now);
      if (early.kind !== 'queued') throw new Error(early.kind);
      expect(queue.release(now)).toMatchObject(early.ticket);
    });
  });

  describe('load pattern: more urgent statements arrive behind accepted ones', () => {
    const late = { name: 'a', serviceMs: 50, priority: 2, objectiveMs: 600 };
    const outcomes = replay([
      // After 500 ms, about 200 ms of its work wait.
      ...arriveEvery(7, late, 1000),
      // 0.4 s of the member's time at once.
      ...Array.from({ length: 40 }, () => ({
        name: 'urgent',
        serviceMs: 50,
        priority: 1,
        objectiveMs: 600,
        at: 500,
      })),
    ]);

    it('runs none that cannot meet its deadline', () => {
      const lateMs = outcomes.map(({ at, startedAt, endedAt, objectiveMs }) =>
        startedAt === undefined ? 0 : endedAt - at - objectiveMs,
      );
      expect(Math.max(...lateMs)).toBeLessThanOrEqual(0);
    });

    it('rejects some long before their deadlines, as soon as they cannot be met', () => {
      const rejected = outcomes.filter(
        ({ at, startedAt, endedAt }) => startedAt === undefined && endedAt > at,
      );
      expect(rejected.length).toBeGreaterThan(0);
      const earliest = rejected.some(
        ({ at, endedAt, objectiveMs }) => endedAt < at + objectiveMs - 100,
      );
      expect(earliest).toBe(true);
    });

    it('serves the more urgent ones in time', () => {
      expect(computeShareInTime(outcomes, ({ priority }) => priority === 1)).toBe(1);
    });
  });

  describe('load pattern: a burst of the least urgent class fills the queue', () => {
    const slow = { serviceMs: 10, objectiveMs: 60_000, at: 0 };

    function fill(queue: MemberSlotQueue, name: string, priority: number): void {
      for (let index = 0; index < CONCURRENCY + MAX_WAITING; index += 1) {
        queue.request(createRequest({ ...slow, name, priority }, 0), toMilliseconds(0));
      }
    }

    it('displaces the least urgent statement that has waited least', () => {
      const queue = new MemberSlotQueue(SLOTS);
      fill(queue, 'burst', 2);
      const urgent = createRequest({ ...slow, name: 'a', priority: 0 }, 0);
      expect(queue.request(urgent, toMilliseconds(0)).kind).toBe('queued');
      const [displaced, ...others] = queue.takeRejected();
      expect(others).toEqual([]);
      expect(displaced).toMatchObject({
        cause: 'displaced',
        ticket: { priority: 2, ticket: MAX_WAITING },
      });
      expect(queue.pending).toBe(CONCURRENCY + MAX_WAITING);
    });

    it('displaces no more urgent statement, and none of an open transaction', () => {
      const queue = new MemberSlotQueue(SLOTS);
      fill(queue, 'a', 0);
      const less = createRequest({ ...slow, name: 'b', priority: 2 }, 0);
      expect(queue.request(less, toMilliseconds(0))).toMatchObject({
        kind: 'refused',
        cause: 'full',
      });
      const inTransaction = new MemberSlotQueue(SLOTS);
      for (let index = 0; index < CONCURRENCY + MAX_WAITING; index += 1) {
        const arrival = { ...slow, name: 'a', priority: 2, isInTransaction: true };
        inTransaction.request(createRequest(arrival, 0), toMilliseconds(0));
      }
      const urgent = createRequest({ ...slow, name: 'b', priority: 0 }, 0);
      expect(inTransaction.request(urgent, toMilliseconds(0)).kind).toBe('refused');
      expect(inTransaction.takeRejected()).toEqual([]);
    });

    it('makes room for another organisation within the class', () => {
      const queue = new MemberSlotQueue(SLOTS);
      fill(queue, 'burst', 2);
      const other = createRequest({ ...slow, name: 'other', priority: 2 }, 0);
      expect(queue.request(other, toMilliseconds(0)).kind).toBe('queued');
      expect(queue.takeRejected()).toMatchObject([{ cause: 'displaced' }]);
      const same = createRequest({ ...slow, name: 'burst', priority: 2 }, 0);
      expect(queue.request(same, toMilliseconds(0))).toMatchObject({ cause: 'full' });
    });
  });

  describe('load pattern: 10,000 organisations and 1,000 priorities', () => {
    it('keeps a bounded number of statements and of remembered organisations', () => {
      const queue = new MemberSlotQueue(SLOTS);
      const objectiveMs = 60_000;
      for (let index = 0; index < 10_000; index += 1) {
        const arrival = { at: 0, name: `o${index}`, serviceMs: 10, objectiveMs };
        const request = createRequest({ ...arrival, priority: index % 1000 }, 0);
        queue.request(request, toMilliseconds(0));
        queue.takeRejected();
      }
      expect(queue.pending).toBe(CONCURRENCY + MAX_WAITING);
      // The queue's own state, as text: about 150 bytes for each statement and organisation.
      const remembered = JSON.stringify(queue, (_, value: unknown) =>
        value instanceof Map || value instanceof Set ? [...(value as Iterable<unknown>)] : value,
      );
      expect(remembered.length).toBeLessThan(400_000);
    });
  });
});

describe('computeMaxHoldMs', () => {
  // Guards against the fixed 150 ms, after which a member got more statements than it has slots.
  it('covers the longest statement of each class, at a member that is seven times slower too', () => {
    for (const [meanMs, longestMs] of [
      [5, 54],
      [26, 270],
      [15, 160],
    ] as const) {
      expect(computeMaxHoldMs(meanMs)).toBeGreaterThan(longestMs);
      expect(computeMaxHoldMs(meanMs * 7)).toBeGreaterThan(longestMs * 7);
    }
  });

  it('is bounded, so that a member that never replies does not block its queue', () => {
    expect(computeMaxHoldMs(undefined)).toBe(150);
    expect(computeMaxHoldMs(10_000)).toBe(2000);
  });
});
