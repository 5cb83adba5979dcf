import { describe, expect, it } from 'vitest';
import {
  ManualClock,
  MemberPace,
  MemberSlotQueue,
  type OrganisationId,
  type StatementOutcome,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const SLOTS = 4;
const FULL_LIMIT = SLOTS + 1;
const SERVICE_MS = 10;
const OBJECTIVE_MS = 400;
/** Time after which a member that is down is given up on. */
const TIMEOUT_MS = 150;
const PRIORITY = 1;

/** How a model member treats a statement that starts. */
interface Treatment {
  readonly outcome: StatementOutcome;
  readonly elapsedMs: number;
}

/** Decides on the statement with a number, at a time, when `running` run at the member with it. */
type ModelMember = (now: number, running: number, number: number) => Treatment;

interface Sample {
  readonly at: number;
  readonly limit: number;
}

interface Replay {
  readonly samples: readonly Sample[];
  readonly counts: Readonly<Record<StatementOutcome, number>>;
  readonly maxRunning: number;
}

const answer = (elapsedMs = SERVICE_MS): Treatment => ({ outcome: 'answered', elapsedMs });
const BUSY: Treatment = { outcome: 'busy', elapsedMs: 1 };
const LOST: Treatment = { outcome: 'lost', elapsedMs: TIMEOUT_MS };

/** Keeps as many statements at the member as its limit allows, in steps of 1 ms. */
function replay(
  member: ModelMember,
  untilMs: number,
  clock = new ManualClock(),
  pace = new MemberPace(FULL_LIMIT, clock.now()),
  computeDemand: (now: number) => number = () => Infinity,
): Replay {
  const samples: Sample[] = [];
  const counts = { answered: 0, failed: 0, busy: 0, lost: 0, unsent: 0 };
  let running: (Treatment & { readonly startedAt: number })[] = [];
  let number = 0;
  let maxRunning = 0;
  for (; clock.now() < untilMs; clock.advance(1)) {
    const now = clock.now();
    for (const use of running.filter(({ startedAt, elapsedMs }) => startedAt + elapsedMs <= now)) {
      const { outcome, elapsedMs } = use;
      counts[outcome] += 1;
      const end = { priority: PRIORITY, elapsedMs, outcome, objectiveMs: OBJECTIVE_MS };
      pace.recordEnd({ ...end, running: running.length }, now);
      running = running.filter((other) => other !== use);
    }
    const limit = pace.limit(now);
    samples.push({ at: now, limit });
    while (running.length < Math.min(limit, computeDemand(now))) {
      number += 1;
      running.push({ ...member(now, running.length + 1, number), startedAt: now });
      maxRunning = Math.max(maxRunning, running.length);
    }
  }
  return { samples, counts, maxRunning };
}

function listLimits({ samples }: Replay, fromMs: number, untilMs: number): number[] {
  return samples.filter(({ at }) => at >= fromMs && at < untilMs).map(({ limit }) => limit);
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function findFullAt({ samples }: Replay, fromMs = 0): number {
  return samples.find(({ at, limit }) => at >= fromMs && limit === FULL_LIMIT)?.at ?? Infinity;
}

describe('MemberPace', () => {
  // Guards against a cold server that is flooded, or left idle for the whole of a fixed ramp.
  it.each([1, 2, 4, 16, 64])(
    'begins with one statement and is at a limit of %i + 1 within 3 s',
    (slots) => {
      const clock = new ManualClock();
      const pace = new MemberPace(slots + 1, clock.now());
      expect(pace.limit(clock.now())).toBe(1);
      const { samples } = replay(() => answer(), 3000, clock, pace);
      expect(samples.at(-1)?.limit).toBe(slots + 1);
    },
  );

  // Guards against a cold member that refuses most of what it gets while it bears one statement.
  it('sends few statements that a cold member cannot bear', () => {
    const warmAt = 5000;
    const cold: ModelMember = (now, running) => {
      if (now >= warmAt) return answer();
      return running > 1 ? BUSY : answer(5 * SERVICE_MS);
    };
    const result = replay(cold, 10_000);
    expect(computeMean(listLimits(result, 0, warmAt))).toBeLessThan(1.5);
    expect(result.counts.busy).toBeLessThan(10);
    expect(findFullAt(result, warmAt) - warmAt).toBeLessThan(4000);
  });

  // Guards against a rise during the warm-up that the member's entry announces, and a late one after.
  it('holds half of the limit while the entry says that the member is cold', () => {
    const clock = new ManualClock();
    const pace = new MemberPace(FULL_LIMIT, clock.now());
    pace.recordWarmup(toMilliseconds(6000), clock.now());
    const result = replay(() => answer(), 10_000, clock, pace);
    expect(Math.max(...listLimits(result, 0, 6000))).toBe(3);
    expect(findFullAt(result)).toBeLessThan(7000);
  });

  // Guards against a member that is left idle although its slow answers are in time.
  it('keeps the limit at a member that is slower, but within the objective', () => {
    const slow: ModelMember = (now) => answer(now < 3000 ? SERVICE_MS : 7 * SERVICE_MS);
    const result = replay(slow, 30_000);
    expect(Math.min(...listLimits(result, 3000, 30_000))).toBe(FULL_LIMIT);
  });

  // Guards against answers beyond the objective where fewer statements at once would be in time.
  it('settles where the answers of a member without its capacity are within the objective', () => {
    const shared: ModelMember = (now, running) =>
      answer(now < 3000 ? SERVICE_MS : 20 * SERVICE_MS * running);
    const result = replay(shared, 12_000);
    const limits = listLimits(result, 6000, 12_000);
    expect(computeMean(limits) * 20 * SERVICE_MS).toBeLessThan(OBJECTIVE_MS * 1.1);
  });

  // Guards against a limit that stays at its bound after each short failure, or floods a member that is down.
  it('falls and rises again with a member that flaps each second', () => {
    const flapping: ModelMember = (now) => (Math.floor(now / 1000) % 2 === 1 ? LOST : answer());
    const result = replay(flapping, 20_000);
    expect(result.samples.every(({ limit }) => limit >= 1)).toBe(true);
    for (let second = 2; second < 20; second += 2) {
      const at = second * 1000;
      expect(Math.max(...listLimits(result, at - 500, at))).toBeLessThanOrEqual(2);
      expect(Math.max(...listLimits(result, at, at + 1000))).toBeGreaterThanOrEqual(3);
    }
  });

  // Guards against a member held at one statement for lost replies that are no sign of overload.
  it('keeps the limit of a member that loses one of twenty replies', () => {
    const result = replay(
      (_now, _running, number) => (number % 20 === 0 ? LOST : answer()),
      20_000,
    );
    expect(computeMean(listLimits(result, 3000, 20_000))).toBeGreaterThan(4.5);
  });

  // Guards against errors of the statements themselves that count as overload, or as very fast answers.
  it('takes nothing from statements that failed by themselves', () => {
    const failing: ModelMember = (_now, _running, number) =>
      number % 3 === 0 ? { outcome: 'failed', elapsedMs: 1 } : answer();
    expect(listLimits(replay(failing, 5000), 3000, 5000).every((limit) => limit === 5)).toBe(true);
  });

  // Guards against a limit that follows the load instead of the member, or is lost in a pause of it.
  it('keeps the full limit through a step in load', () => {
    const computeDemand = (now: number): number => (now >= 3000 && now < 6000 ? 1 : 20);
    const clock = new ManualClock();
    const pace = new MemberPace(FULL_LIMIT, clock.now());
    const result = replay(() => answer(), 10_000, clock, pace, computeDemand);
    expect(Math.min(...listLimits(result, 3000, 10_000))).toBe(FULL_LIMIT);
  });

  // Guards against a new host that adds a full limit to that of the old one, which still sends.
  it('starts cautiously at a host that takes a member over', () => {
    const clock = new ManualClock();
    const second = new MemberPace(FULL_LIMIT, clock.now());
    replay(() => answer(), 6000, clock);
    let busy = 0;
    const paces = [new MemberPace(FULL_LIMIT, clock.now()), second];
    expect(second.limit(clock.now())).toBe(1);
    // Both hosts send for 2 s to a member that accepts one statement more than the full limit.
    for (let step = 0; step < 200; step += 1) {
      clock.advance(SERVICE_MS);
      const limits = paces.map((pace) => pace.limit(clock.now()));
      const total = limits.reduce((sum, limit) => sum + limit, 0);
      paces.forEach((pace, index) => {
        const running = limits[index] ?? 1;
        for (let count = 0; count < running; count += 1) {
          const isBusy = total > FULL_LIMIT + 1 && count === running - 1;
          if (isBusy) busy += 1;
          const outcome = isBusy ? ('busy' as const) : ('answered' as const);
          const end = { priority: 1, elapsedMs: SERVICE_MS, outcome, objectiveMs: OBJECTIVE_MS };
          pace.recordEnd({ ...end, running }, clock.now());
        }
      });
    }
    expect(busy).toBeLessThan(20);
  });

  // Guards against members that stayed and lose their limit, or their part of the load, to returned ones.
  it('leaves the limits of the members that stayed when several return at once', () => {
    const clock = new ManualClock();
    const paces = Array.from({ length: 5 }, () => new MemberPace(FULL_LIMIT, clock.now()));
    const send = (pace: MemberPace): void => {
      const running = pace.limit(clock.now());
      for (let count = 0; count < running; count += 1) {
        const end = { priority: 1, elapsedMs: SERVICE_MS, objectiveMs: OBJECTIVE_MS };
        pace.recordEnd({ ...end, outcome: 'answered', running }, clock.now());
      }
    };
    for (; clock.now() < 3000; clock.advance(SERVICE_MS)) paces.forEach(send);
    const [first, second, ...returned] = paces as [MemberPace, MemberPace, ...MemberPace[]];
    for (const pace of returned) pace.recordStart(clock.now());
    for (; clock.now() < 6000; clock.advance(SERVICE_MS)) {
      paces.forEach(send);
      expect(first.limit(clock.now())).toBe(FULL_LIMIT);
      expect(second.limit(clock.now())).toBe(FULL_LIMIT);
    }
    expect(returned.map((pace) => pace.limit(clock.now()))).toEqual([5, 5, 5]);
  });

  // Guards against a member that receives nothing any more, so that its return is never noticed.
  it.each([BUSY, LOST])('never falls below one statement: $outcome', (treatment) => {
    const result = replay((now) => (now < 2000 ? answer() : treatment), 30_000);
    expect(Math.min(...listLimits(result, 0, 30_000))).toBe(1);
    expect(result.samples.at(-1)?.limit).toBe(1);
    expect(result.maxRunning).toBe(FULL_LIMIT);
  });

  it('tells of a change once, with its cause', () => {
    const clock = new ManualClock();
    const pace = new MemberPace(FULL_LIMIT, clock.now());
    replay(() => answer(), 3000, clock, pace);
    expect(pace.takeChange()).toMatchObject({ cause: 'bears', from: 1, to: FULL_LIMIT });
    expect(pace.takeChange()).toBeUndefined();
  });
});

describe('MemberSlotQueue with and without a pace', () => {
  const request = {
    organisation: toBrand<OrganisationId>('a'),
    weight: 1,
    priority: PRIORITY,
    deadline: toMilliseconds(60_000),
    maxEstimatedWaitMs: 30_000,
  };

  function countGranted(queue: MemberSlotQueue, count: number): number {
    const decisions = Array.from({ length: count }, () =>
      queue.request(request, toMilliseconds(0)),
    );
    return decisions.filter(({ kind }) => kind === 'granted').length;
  }

  // Guards against any change for deployments that have not chosen the setting.
  it('runs its slots and one more without a pace', () => {
    expect(countGranted(new MemberSlotQueue(SLOTS), 20)).toBe(SLOTS + 1);
  });

  // Guards against waiting statements that do not start when the limit rises, or start when it has fallen.
  it('follows the limit of the pace while statements wait', () => {
    const clock = new ManualClock();
    const queue = new MemberSlotQueue(SLOTS, new MemberPace(FULL_LIMIT, clock.now()));
    const first = queue.request(request, clock.now());
    expect(countGranted(queue, 150)).toBe(0);
    const uses = first.kind === 'granted' ? [first.use] : [];
    let maxRunning = 0;
    for (let step = 0; step < 100 && uses.length > 0; step += 1) {
      clock.advance(30);
      for (const use of uses.splice(0)) {
        queue.recordEnd(use, clock.now(), true);
        const next = queue.release(clock.now());
        if (next !== undefined) uses.push(next.use);
      }
      for (let next = queue.startNext(clock.now()); next; next = queue.startNext(clock.now())) {
        uses.push(next.use);
      }
      maxRunning = Math.max(maxRunning, uses.length);
    }
    expect(maxRunning).toBe(FULL_LIMIT);
    expect(queue.pending).toBe(0);
  });
});
