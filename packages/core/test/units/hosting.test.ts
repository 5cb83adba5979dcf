import { beforeEach, describe, expect, it } from 'vitest';
import {
  chooseMemberHosts,
  chooseObservers,
  HostAvailability,
  type InstanceId,
  MemberLoadTracker,
  type MemberId,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const TIMINGS = {
  pingAfterMs: toMilliseconds(100),
  silenceTimeoutMs: toMilliseconds(350),
  retryDelayMs: toMilliseconds(250),
  leavingTtlMs: toMilliseconds(10_000),
};
const HOST = toBrand<InstanceId>('host');
const MEMBER_COUNT = 3000;

function createMember(index: number): MemberId {
  return toBrand<MemberId>(`m${index}`);
}

describe('hosts of members', () => {
  const candidates = Array.from({ length: 30 }, (_, index) => ({
    id: toBrand<InstanceId>(`i${index}`),
    cores: index < 6 ? 1.35 : 0.324,
  }));

  it('hold members in proportion to their processor capacity', () => {
    const counts = new Map<InstanceId, number>();
    for (let index = 0; index < MEMBER_COUNT; index += 1) {
      const [host] = chooseMemberHosts(createMember(index), candidates);
      counts.set(host as InstanceId, (counts.get(host as InstanceId) ?? 0) + 1);
    }
    const totalCores = candidates.reduce((sum, { cores }) => sum + cores, 0);
    for (const { id, cores } of candidates) {
      const expected = (MEMBER_COUNT * cores) / totalCores;
      expect(Math.abs((counts.get(id) ?? 0) - expected)).toBeLessThan(6 * Math.sqrt(expected));
    }
  });

  it('are two different instances', () => {
    for (let index = 0; index < 100; index += 1) {
      const hosts = chooseMemberHosts(createMember(index), candidates);
      expect(new Set(hosts).size).toBe(2);
    }
  });

  it('change only for the members of an instance that leaves, to their standby', () => {
    const [gone] = candidates;
    const others = candidates.slice(1);
    for (let index = 0; index < 500; index += 1) {
      const before = chooseMemberHosts(createMember(index), candidates);
      const after = chooseMemberHosts(createMember(index), others);
      expect(after[0]).toBe(before[0] === gone?.id ? before[1] : before[0]);
    }
  });
});

describe('observers of a suspected primary', () => {
  const createDomain = (name: string, count: number) => {
    const all = Array.from({ length: count }, (_, index) => toBrand<InstanceId>(`${name}${index}`));
    return { all, strongest: all };
  };

  it('are at least six, from every failure domain', () => {
    const domains = ['a', 'b', 'c'].map((name) => createDomain(name, 10));
    const observers = chooseObservers(createMember(1), domains);
    expect(observers.length).toBeGreaterThanOrEqual(6);
    for (const { all } of domains) expect(observers.some((id) => all.includes(id))).toBe(true);
  });

  it('do not grow in number with the fleet', () => {
    const domains = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) => createDomain(name, 100));
    expect(chooseObservers(createMember(1), domains)).toHaveLength(6);
  });
});

describe('HostAvailability', () => {
  let availability: HostAvailability;
  const at = (ms: number) => toMilliseconds(ms);

  beforeEach(() => {
    availability = new HostAvailability(TIMINGS);
  });

  it('takes a host for available until it is known otherwise', () => {
    expect(availability.isAvailable(HOST, at(0))).toBe(true);
  });

  describe('of a host that is frozen', () => {
    beforeEach(() => availability.recordSent(HOST, at(0)));

    it('asks for a ping before it gives the host up', () => {
      expect(availability.takeDuePings(at(50))).toEqual([]);
      expect(availability.takeDuePings(at(100))).toEqual([HOST]);
      expect(availability.isAvailable(HOST, at(340))).toBe(true);
      expect(availability.isAvailable(HOST, at(350))).toBe(false);
    });

    it('ends while a slow member delays the answer, but the host answers pings', () => {
      for (let now = 100; now < 2000; now += 120) {
        expect(availability.takeDuePings(at(now))).toEqual([HOST]);
        availability.recordHeard(HOST, at(now + 20));
        expect(availability.isAvailable(HOST, at(now + 110))).toBe(true);
      }
    });

    it('returns with the first message of the host', () => {
      availability.recordFailure(HOST, at(400));
      expect(availability.isAvailable(HOST, at(3000))).toBe(false);
      availability.recordHeard(HOST, at(4000));
      expect(availability.isAvailable(HOST, at(4000))).toBe(true);
    });
  });

  it('pings a host that is down at intervals', () => {
    availability.recordFailure(HOST, at(0));
    expect(availability.takeDuePings(at(249))).toEqual([]);
    expect(availability.takeDuePings(at(250))).toEqual([HOST]);
    expect(availability.takeDuePings(at(400))).toEqual([]);
    expect(availability.takeDuePings(at(500))).toEqual([HOST]);
  });

  it('is forgotten with a host that is no longer listed, which is not pinged any more', () => {
    availability.recordFailure(HOST, at(0));
    availability.removeUnlisted((host) => host === HOST);
    expect(availability.takeDuePings(at(250))).toEqual([HOST]);
    availability.removeUnlisted(() => false);
    expect(availability.takeDuePings(at(5000))).toEqual([]);
  });

  it('does not return for a host that is stopping, although it still answers', () => {
    availability.recordLeaving(HOST, at(0));
    availability.recordHeard(HOST, at(10));
    expect(availability.isAvailable(HOST, at(20))).toBe(false);
    expect(availability.isAvailable(HOST, at(10_000))).toBe(true);
  });
});

describe('MemberLoadTracker', () => {
  it('knows a queue that other instances have filled, for as long as the report describes it', () => {
    const tracker = new MemberLoadTracker();
    tracker.recordReport({ pending: 12 }, 1, toMilliseconds(0));
    expect(tracker.estimatePending(toMilliseconds(100))).toBe(12);
    expect(tracker.estimatePending(toMilliseconds(1000))).toBe(0);
    tracker.recordStart();
    expect(tracker.estimatePending(toMilliseconds(1000))).toBe(1);
  });
});
