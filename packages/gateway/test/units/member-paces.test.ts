import {
  ManualClock,
  type MemberEntry,
  type MemberId,
  type MemberPace,
  type Milliseconds,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { classifyOutcome, EventLog, GatewayMetrics, MemberPaces } from '../../src/index.js';

const ENTRY: MemberEntry = {
  id: toBrand<MemberId>('m1'),
  group: toBrand('g'),
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  role: 'replica',
  slots: 4,
  isDraining: false,
  incarnation: 1,
};
const FULL_LIMIT = 5;

describe('MemberPaces', () => {
  let clock: ManualClock;
  let lines: Record<string, unknown>[];
  let metrics: GatewayMetrics;
  let coldEndsAt: Milliseconds | undefined;
  let paces: MemberPaces;
  let pace: MemberPace;

  beforeEach(() => {
    clock = new ManualClock(1000);
    lines = [];
    metrics = new GatewayMetrics();
    coldEndsAt = undefined;
    const write = (line: string): void => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    };
    const log = new EventLog(clock, { write });
    const findColdEnd = (): Milliseconds | undefined => coldEndsAt;
    const settings = { memberPace: 'adaptive' as const };
    paces = new MemberPaces({ settings, clock, metrics, log, findColdEnd });
    pace = paces.create(ENTRY) as MemberPace;
  });

  function answer(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      clock.advance(10);
      const running = pace.limit(clock.now());
      const end = { priority: 1, elapsedMs: 10, outcome: 'answered' as const, objectiveMs: 400 };
      for (let count = 0; count < running; count += 1) {
        pace.recordEnd({ ...end, running }, clock.now());
      }
      if (elapsedMs % 500 === 0) paces.update([ENTRY]);
    }
    paces.update([ENTRY]);
  }

  // Guards against a change for deployments without the setting.
  it.each(['fixed', undefined] as const)('creates no limit if the setting is %s', (memberPace) => {
    const log = new EventLog(clock, { write: () => {} });
    const services = {
      settings: { memberPace },
      clock,
      metrics,
      log,
      findColdEnd: () => undefined,
    };
    expect(new MemberPaces(services).create(ENTRY)).toBeUndefined();
  });

  // Guards against a log without the inputs of a decision, and one line for each step.
  it('logs a change by more than a quarter of the full limit, and shows the limit', async () => {
    answer(3000);
    const changes = lines.filter(({ event }) => event === 'member.limit');
    expect(changes.length).toBeGreaterThan(0);
    expect(changes.length).toBeLessThanOrEqual(2);
    expect(changes.at(-1)).toMatchObject({
      member: 'm1',
      group: 'g',
      to: FULL_LIMIT,
      fullLimit: FULL_LIMIT,
      cause: 'bears',
      meanMs: 10,
      lowestMs: 10,
    });
    expect(await metrics.registry.metrics()).toContain(
      'heatherledge_gateway_member_limit{member="m1"} 5',
    );
  });

  // Guards against a gauge that shows 1 at each instance that does not send to the member.
  it('shows no limit of a member that gets no statements, or is no longer listed', async () => {
    const name = 'heatherledge_gateway_member_limit{';
    paces.update([ENTRY]);
    expect(await metrics.registry.metrics()).not.toContain(name);
    answer(1000);
    expect(await metrics.registry.metrics()).toContain(name);
    paces.remove(ENTRY.id);
    expect(await metrics.registry.metrics()).not.toContain(name);
  });

  // Guards against a full limit at a member that has just returned.
  it('begins again when the member is reachable after all connections failed', () => {
    answer(3000);
    paces.recordReachable(ENTRY, true);
    expect(pace.limit(clock.now())).toBe(FULL_LIMIT);
    paces.recordReachable(ENTRY, false);
    paces.recordReachable(ENTRY, true);
    expect(pace.limit(clock.now())).toBe(1);
  });

  // Guards against a limit that ignores the warm-up which the member's entry states.
  it('begins again when the member becomes cold', () => {
    answer(3000);
    coldEndsAt = toMilliseconds(clock.now() + 20_000);
    paces.update([ENTRY]);
    expect(pace.limit(clock.now())).toBe(1);
    answer(3000);
    expect(pace.limit(clock.now())).toBe(3);
  });
});

describe('classifyOutcome', () => {
  const reply = { rows: [], signature: undefined, mark: undefined, state: 'idle' as const };
  const createReply = (error?: { code: 'busy' | 'read-only'; text: string }) =>
    ({ kind: 'answered', reply: { ...reply, error } }) as never;

  // Guards against statements that the member never received or refused by rule counting as overload.
  it('tells overload from errors and from statements that were not sent', () => {
    expect(classifyOutcome(createReply())).toBe('answered');
    expect(classifyOutcome(createReply({ code: 'busy', text: '' }))).toBe('busy');
    expect(classifyOutcome(createReply({ code: 'read-only', text: '' }))).toBe('failed');
    expect(classifyOutcome({ kind: 'lost', wasSent: true })).toBe('lost');
    expect(classifyOutcome({ kind: 'lost', wasSent: false })).toBe('unsent');
  });
});
