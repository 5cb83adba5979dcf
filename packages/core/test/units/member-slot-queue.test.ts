import { beforeEach, describe, expect, it } from 'vitest';
import {
  MemberSlotQueue,
  type Milliseconds,
  type OrganisationId,
  type SlotTicket,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const SLOTS = 2;
const SERVICE_MS = 10;
const OBJECTIVE_MS = 400;
const PATIENCE_MS = 280;
const STEP_MS = 1;

interface Arrival {
  readonly at: number;
  readonly organisation: OrganisationId;
  readonly priority: number;
  /** The organisation's rate. */
  readonly weight: number;
}

interface Outcome extends Arrival {
  /** Undefined if the statement was refused. */
  readonly finishedAt: number | undefined;
}

const organisation = (name: string): OrganisationId => toBrand<OrganisationId>(name);

/**
 * Replays arrivals at a member that runs two statements at a time. Like the gate, it refuses statements
 * that have waited for as long as a wait may be estimated.
 */
function replay(arrivals: readonly Arrival[], patienceMs: number): Outcome[] {
  const queue = new MemberSlotQueue(SLOTS);
  const waiting = new Map<string, { arrival: Arrival; ticket: SlotTicket }>();
  const outcomes: Outcome[] = [];
  /** Statements at the member, in order; it runs the first two. */
  let atMember: { arrival: Arrival; remainingMs: number }[] = [];
  const formatTicket = (ticket: SlotTicket): string => `${ticket.priority}/${ticket.ticket}`;
  const send = (arrival: Arrival): void => {
    atMember.push({ arrival, remainingMs: SERVICE_MS });
  };
  let arrived = 0;
  for (let now = 0; arrived < arrivals.length || atMember.length > 0; now += STEP_MS) {
    for (; (arrivals[arrived]?.at ?? Infinity) <= now; arrived += 1) {
      const arrival = arrivals[arrived] as Arrival;
      const deadline = toMilliseconds(now + 5000);
      const request = { ...arrival, deadline, maxEstimatedWaitMs: patienceMs };
      const decision = queue.request(request, toMilliseconds(now));
      if (decision.kind === 'granted') send(arrival);
      else if (decision.kind === 'queued') {
        waiting.set(formatTicket(decision.ticket), { arrival, ticket: decision.ticket });
      } else outcomes.push({ ...arrival, finishedAt: undefined });
    }
    for (const [key, { arrival, ticket }] of waiting) {
      if (now - arrival.at < patienceMs) continue;
      queue.cancel(ticket);
      waiting.delete(key);
      outcomes.push({ ...arrival, finishedAt: undefined });
    }
    for (const statement of atMember.slice(0, SLOTS)) statement.remainingMs -= STEP_MS;
    const done = atMember.filter(({ remainingMs }) => remainingMs <= 0);
    atMember = atMember.filter(({ remainingMs }) => remainingMs > 0);
    for (const { arrival } of done) {
      outcomes.push({ ...arrival, finishedAt: now + STEP_MS });
      const ticket = queue.release(toMilliseconds(now + STEP_MS));
      const next = ticket && waiting.get(formatTicket(ticket));
      if (ticket !== undefined) waiting.delete(formatTicket(ticket));
      if (next !== undefined) send(next.arrival);
    }
  }
  return outcomes;
}

/** Creates evenly spaced arrivals of one organisation. */
function arriveEvery(
  intervalMs: number,
  name: string,
  priority = 1,
  weight = 1,
  untilMs = 4000,
): Arrival[] {
  const arrivals: Arrival[] = [];
  for (let at = 0; at < untilMs; at += intervalMs) {
    arrivals.push({ at, organisation: organisation(name), priority, weight });
  }
  return arrivals;
}

function merge(...lists: readonly (readonly Arrival[])[]): Arrival[] {
  return lists.flat().sort((left, right) => left.at - right.at);
}

/** Share of the arrivals of an organisation that finished within the objective. */
function computeShareInTime(outcomes: readonly Outcome[], name: string): number {
  const own = outcomes.filter((outcome) => outcome.organisation === organisation(name));
  const inTime = own.filter(
    ({ at, finishedAt }) => finishedAt !== undefined && finishedAt - at <= OBJECTIVE_MS,
  );
  return inTime.length / own.length;
}

describe('MemberSlotQueue', () => {
  describe('load pattern: one organisation sends eight times its usual number', () => {
    const usual = merge(arriveEvery(40, 'a'), arriveEvery(40, 'b'), arriveEvery(40, 'c'));
    const hot = arriveEvery(5, 'hot');

    it('serves the others as on a day without it', () => {
      const without = replay(usual, PATIENCE_MS);
      const withHot = replay(merge(usual, hot), PATIENCE_MS);
      for (const name of ['a', 'b', 'c']) {
        expect(computeShareInTime(without, name)).toBe(1);
        expect(computeShareInTime(withHot, name)).toBeGreaterThan(0.97);
      }
    });

    it('leaves the busy organisation what the others do not use', () => {
      const outcomes = replay(merge(usual, hot), PATIENCE_MS);
      const served = outcomes.filter(({ finishedAt }) => finishedAt !== undefined).length;
      // The member can run 200 statements a second for 4 s.
      expect(served).toBeGreaterThan(0.95 * 800);
      expect(computeShareInTime(outcomes, 'hot')).toBeGreaterThan(0.5);
    });
  });

  describe('load pattern: lagging replicas send all reads to the primary', () => {
    const reads = merge(arriveEvery(6, 'a', 2), arriveEvery(6, 'b', 2));
    const writes = arriveEvery(50, 'a', 1);

    it('runs the writes, which only the primary can run, without a queue', () => {
      const outcomes = replay(merge(reads, writes), PATIENCE_MS);
      const slowest = Math.max(
        ...outcomes
          .filter(({ priority }) => priority === 1)
          .map(({ at, finishedAt = Infinity }) => finishedAt - at),
      );
      expect(slowest).toBeLessThanOrEqual(4 * SERVICE_MS);
    });

    it('refuses at arrival what it would serve too late, and nothing that it accepted', () => {
      const outcomes = replay(merge(reads, writes), PATIENCE_MS);
      const accepted = outcomes.filter(({ finishedAt }) => finishedAt !== undefined);
      const late = accepted.filter(
        ({ at, finishedAt = 0 }) => finishedAt - at > OBJECTIVE_MS,
      ).length;
      expect(accepted.length).toBeGreaterThan(0.95 * 800);
      expect(late).toBeLessThan(accepted.length * 0.02);
    });

    it('would serve most of them late if it refused nothing', () => {
      const outcomes = replay(merge(reads, writes), Infinity);
      const late = outcomes.filter(
        ({ at, finishedAt = Infinity }) => finishedAt - at > OBJECTIVE_MS,
      ).length;
      expect(late).toBeGreaterThan(outcomes.length * 0.4);
    });
  });

  describe('load pattern: overload, with a large organisation within its rate', () => {
    const large = arriveEvery(6, 'large', 1, 20);
    const small = merge(...Array.from({ length: 20 }, (_, index) => arriveEvery(150, `s${index}`)));

    it('refuses large and small organisations alike', () => {
      const outcomes = replay(merge(large, small), PATIENCE_MS);
      const share = computeShareInTime(outcomes, 'large');
      const smallShares = Array.from({ length: 20 }, (_, index) =>
        computeShareInTime(outcomes, `s${index}`),
      );
      const smallShare = smallShares.reduce((sum, value) => sum + value, 0) / smallShares.length;
      expect(share).toBeGreaterThan(0.55);
      expect(smallShare).toBeGreaterThan(0.55);
    });
  });

  describe('slots', () => {
    let queue: MemberSlotQueue;
    const request = (deadline = 5000) => ({
      organisation: organisation('a'),
      weight: 1,
      priority: 1,
      deadline: toMilliseconds(deadline),
      maxEstimatedWaitMs: PATIENCE_MS,
    });
    const now: Milliseconds = toMilliseconds(0);

    beforeEach(() => {
      queue = new MemberSlotQueue(SLOTS);
    });

    it('let one statement more than they are through', () => {
      const kinds = Array.from({ length: 4 }, () => queue.request(request(), now).kind);
      expect(kinds).toEqual(['granted', 'granted', 'granted', 'queued']);
      expect(queue.pending).toBe(4);
    });

    it('are refused with the time by which the queue is too long', () => {
      let now = 0;
      for (let index = 0; index < 3; index += 1) queue.request(request(), toMilliseconds(now));
      for (let index = 0; index < 40; index += 1) queue.request(request(), toMilliseconds(now));
      for (let index = 0; index < 10; index += 1) {
        now += 20;
        queue.release(toMilliseconds(now));
      }
      // 30 statements are left, one each 20 ms; the patience is 280 ms.
      const decision = queue.request(request(), toMilliseconds(now));
      if (decision.kind !== 'refused') throw new Error(decision.kind);
      expect(decision.retryAfterMs).toBeGreaterThan(250);
      expect(decision.retryAfterMs).toBeLessThan(400);
    });

    it('go to no statement that has stopped waiting', () => {
      for (let index = 0; index < 3; index += 1) queue.request(request(), now);
      const decision = queue.request(request(), now);
      if (decision.kind !== 'queued') throw new Error(decision.kind);
      queue.cancel(decision.ticket);
      expect(queue.release(now)).toBeUndefined();
      expect(queue.pending).toBe(2);
    });
  });
});
