import { describe, expect, it } from 'vitest';
import {
  compareHolders,
  type FencedMember,
  type GroupId,
  type InstanceId,
  type TermPosition,
  type LogPosition,
  mayRemoveGone,
  type MemberId,
  type MemberIncarnation,
  planPromotion,
  formatIncarnation,
  parseIncarnation,
  SuspicionTracker,
  type Term,
  toBrand,
  toMilliseconds,
  TokenBucket,
} from '../../src/index.js';

function createMember(
  id: string,
  position: number | undefined,
  changes: Partial<FencedMember> = {},
): FencedMember {
  const received =
    position === undefined
      ? undefined
      : { term: toBrand<Term>(3), position: toBrand<LogPosition>(position) };
  const base = { wasPrimary: false, isDraining: false, isListed: true, distance: 0 };
  return { id: toBrand<MemberId>(id), received, ...base, ...changes };
}

const UNREACHABLE_PRIMARY = createMember('p', undefined, { wasPrimary: true });

describe('planPromotion', () => {
  describe('with a primary that has stepped down', () => {
    const primary = createMember('p', 10, { wasPrimary: true, isDraining: true });

    // Guards against a primary that lands in a domain that is evacuated as well.
    it('prefers a replica outside the evacuated domains to a nearer one inside', () => {
      const inside = createMember('a', 10, { isEvacuated: true });
      const outside = createMember('b', 10, { distance: 2 });
      expect(planPromotion([primary, inside, outside], 1)).toEqual({
        kind: 'promote',
        member: 'b',
      });
    });

    // Guards against writes that are refused for the time of a warm-up although a warm member could run them.
    it('prefers a warm replica to a cold one at the same distance only', () => {
      const cold = createMember('a', 10, { isCold: true });
      const plan = planPromotion([primary, cold, createMember('b', 10)], 1);
      expect(plan).toEqual({ kind: 'promote', member: 'b' });
      const far = createMember('b', 10, { distance: 1 });
      expect(planPromotion([primary, cold, far], 1)).toEqual({ kind: 'promote', member: 'a' });
      expect(planPromotion([primary, cold], 1)).toEqual({ kind: 'promote', member: 'a' });
    });

    // Guards against a group that stays without a primary after a crash during an evacuation, and against
    // a planned switchover from one evacuated member to another.
    it('promotes a replica inside only if the change has another cause', () => {
      const members = [primary, createMember('a', 10, { isEvacuated: true }), createMember('b', 8)];
      expect(planPromotion(members, 1)).toEqual({ kind: 'promote', member: 'a' });
      expect(planPromotion(members, 1, false).kind).toBe('wait');
    });

    it('promotes a replica that has received the whole log', () => {
      const plan = planPromotion([primary, createMember('a', 10), createMember('b', 8)], 1);
      expect(plan).toEqual({ kind: 'promote', member: 'a' });
    });

    it('waits while no replica has received the whole log', () => {
      expect(planPromotion([primary, createMember('a', 9)], 1).kind).toBe('wait');
    });

    it('does not require the other members to be reachable', () => {
      const plan = planPromotion([primary, createMember('a', 10), createMember('b', undefined)], 1);
      expect(plan).toEqual({ kind: 'promote', member: 'a' });
    });

    it('never promotes a draining member', () => {
      const leaving = createMember('a', 10, { isDraining: true });
      expect(planPromotion([primary, leaving], 1).kind).toBe('wait');
    });
  });

  describe('without the primary', () => {
    it('promotes the replica with the longest log once all replicas are fenced', () => {
      const plan = planPromotion(
        [UNREACHABLE_PRIMARY, createMember('a', 8), createMember('b', 9)],
        1,
      );
      expect(plan).toEqual({ kind: 'promote', member: 'b' });
    });

    it('prefers a listed replica, but promotes an unlisted one that alone holds every commit', () => {
      const createUnlisted = (position: number): FencedMember =>
        createMember('a', position, { isListed: false });
      const equal = [UNREACHABLE_PRIMARY, createUnlisted(9), createMember('b', 9)];
      expect(planPromotion(equal, 1)).toEqual({ kind: 'promote', member: 'b' });
      const ahead = [UNREACHABLE_PRIMARY, createUnlisted(9), createMember('b', 8)];
      expect(planPromotion(ahead, 1)).toEqual({ kind: 'promote', member: 'a' });
    });

    it('waits while a replica that may hold acknowledged commits is unreachable', () => {
      const members = [UNREACHABLE_PRIMARY, createMember('a', 8), createMember('b', undefined)];
      expect(planPromotion(members, 1).kind).toBe('wait');
    });

    it('tolerates one unreachable replica if two replicas hold every acknowledged commit', () => {
      const members = [UNREACHABLE_PRIMARY, createMember('a', 8), createMember('b', undefined)];
      expect(planPromotion(members, 2)).toEqual({ kind: 'promote', member: 'a' });
    });

    it('promotes no member if none responds', () => {
      expect(planPromotion([UNREACHABLE_PRIMARY, createMember('a', undefined)], 1).kind).toBe(
        'wait',
      );
    });
  });
});

describe('SuspicionTracker', () => {
  const group = toBrand<GroupId>('g');
  const member = toBrand<MemberId>('m');
  const at = (ms: number) => toMilliseconds(ms);
  const id = (name: string) => toBrand<InstanceId>(name);

  it('requires reports of two instances if the coordinator cannot reach the primary either', () => {
    const tracker = new SuspicionTracker();
    tracker.record(group, member, id('a'), at(0));
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: false }, at(10))).toBe(false);
    tracker.record(group, member, id('b'), at(10));
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: false }, at(10))).toBe(true);
  });

  it('keeps a running primary that only one instance cannot reach', () => {
    const tracker = new SuspicionTracker();
    for (let now = 0; now < 5000; now += 100) tracker.record(group, member, id('a'), at(now));
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: true }, at(5000))).toBe(false);
  });

  it('replaces a running primary that a third of the instances cannot reach for long enough', () => {
    const tracker = new SuspicionTracker();
    for (let now = 0; now <= 1300; now += 100) {
      for (const name of ['a', 'b', 'c', 'd']) tracker.record(group, member, id(name), at(now));
    }
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: true }, at(1000))).toBe(false);
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: true }, at(1300))).toBe(true);
  });

  it('expires reports that are not repeated', () => {
    const tracker = new SuspicionTracker();
    tracker.record(group, member, id('a'), at(0));
    tracker.record(group, member, id('b'), at(0));
    expect(tracker.needsPrimaryChange(group, member, 9, { isAlive: false }, at(800))).toBe(false);
  });

  it('does not count reports about an earlier primary against the current one', () => {
    const tracker = new SuspicionTracker();
    tracker.record(group, toBrand<MemberId>('old'), id('a'), at(0));
    expect(tracker.isSuspected(group, member, at(0))).toBe(false);
  });
});

describe('token bucket of an instance that has just started', () => {
  it('holds the tokens accrued since the start, limited to the burst', () => {
    const recent = new TokenBucket(toMilliseconds(0));
    recent.setShare(10, 10, toMilliseconds(500));
    expect(recent.countAvailable(toMilliseconds(500))).toBeCloseTo(5);
    const old = new TokenBucket(toMilliseconds(0));
    old.setShare(10, 10, toMilliseconds(60_000));
    expect(old.countAvailable(toMilliseconds(60_000))).toBe(10);
  });

  it('starts empty if the start time is unknown', () => {
    const bucket = new TokenBucket();
    bucket.setShare(10, 10, toMilliseconds(60_000));
    expect(bucket.countAvailable(toMilliseconds(60_000))).toBe(0);
  });
});

describe('members that may hold commits that no other replica holds', () => {
  const createIncarnation = (id: string, incarnation: number): MemberIncarnation =>
    formatIncarnation({ id: toBrand<MemberId>(id), incarnation });

  it('are distinguished by incarnation', () => {
    const recorded = [createIncarnation('r1', 1), createIncarnation('r2', 1)];
    const listed = [createIncarnation('r1', 2), createIncarnation('r2', 1)];
    expect(compareHolders(recorded, listed)).toEqual({
      added: [createIncarnation('r1', 2)],
      departed: [createIncarnation('r1', 1)],
    });
    expect(parseIncarnation(createIncarnation('a/b', 3))).toEqual({ id: 'a/b', incarnation: 3 });
  });

  it('are removed once enough replicas have received what the primary held after they left', () => {
    const createPosition = (position: number): TermPosition => ({
      term: toBrand<Term>(1),
      position: toBrand<LogPosition>(position),
    });
    expect(mayRemoveGone(createPosition(10), [createPosition(9)], 1)).toBe(false);
    expect(mayRemoveGone(createPosition(10), [createPosition(9), createPosition(10)], 1)).toBe(
      true,
    );
    expect(mayRemoveGone(createPosition(10), [createPosition(9), createPosition(10)], 2)).toBe(
      false,
    );
  });
});
