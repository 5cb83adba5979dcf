import {
  countPermits,
  FairQueue,
  HashRing,
  type MemberId,
  Membership,
  type MembershipDatagram,
  DEFAULT_MEMBERSHIP_TIMINGS,
  type FailureDomainId,
  type InstanceId,
  type InstanceRecord,
  type OrganisationId,
  PermitTracker,
  chooseReadTargets,
  DEFAULT_READ_COST_WEIGHTS,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const at = toMilliseconds;
const organisation = (id: string): OrganisationId => toBrand<OrganisationId>(id);

describe('FairQueue', () => {
  const bounds = { perOrganisation: 100, total: 150 };

  it('serves organisations in turn, however many requests one of them has queued', () => {
    const queue = new FairQueue(bounds);
    const many = [1, 2, 3, 4].map(() => queue.push(organisation('many'), 1, at(100)));
    const few = queue.push(organisation('few'), 1, at(100));
    expect([queue.shift(), queue.shift()]).toEqual([many[0], few]);
  });

  it('serves organisations in proportion to their weights', () => {
    const queue = new FairQueue(bounds);
    const heavy = new Set(
      [1, 2, 3, 4, 5, 6].map(() => queue.push(organisation('heavy'), 2, at(100))),
    );
    for (let count = 0; count < 6; count += 1) queue.push(organisation('light'), 1, at(100));
    const first = [1, 2, 3, 4, 5, 6].map(() => queue.shift());
    expect(first.filter((ticket) => heavy.has(ticket))).toHaveLength(4);
  });

  it('refuses requests when it is full, and expires those past their deadline', () => {
    const queue = new FairQueue({ perOrganisation: 1, total: 2 });
    const ticket = queue.push(organisation('a'), 1, at(10));
    expect(queue.push(organisation('a'), 1, at(10))).toBeUndefined();
    expect(queue.expire(at(10))).toEqual([ticket]);
    expect(queue.shift()).toBeUndefined();
  });
});

describe('permits for the connections of a member', () => {
  it('are divided among the slot holders without a remainder', () => {
    const holders = fc.array(fc.nat(4), { minLength: 64, maxLength: 64 });
    fc.assert(
      fc.property(
        holders,
        fc.integer({ min: 1, max: 40 }),
        fc.nat(100),
        (slots, connections, offset) => {
          const parts = [0, 1, 2, 3, 4].map((holder) => {
            const owned = slots.flatMap((other, slot) => (other === holder ? [slot] : []));
            return countPermits(connections, 64, offset, owned);
          });
          expect(parts.reduce((sum, part) => sum + part, 0)).toBe(connections);
        },
      ),
      { seed: 1 },
    );
  });

  it('stay unusable at the lender until after the borrower may no longer use them', () => {
    const [lender, borrower] = [new PermitTracker(at(1000)), new PermitTracker(at(1000))];
    lender.setOwned(1);
    const loan = lender.lend(0, 0, at(50));
    if (loan !== undefined) borrower.borrow(loan, at(40));
    expect(lender.computePermits(at(1039)) + borrower.computePermits(at(1039))).toBe(1);
    expect(lender.computePermits(at(1040)) + borrower.computePermits(at(1040))).toBe(0);
    expect(lender.computePermits(at(1250))).toBe(1);
  });

  it('are lent while in use only to an instance without any, and not the last one', () => {
    const lender = new PermitTracker(at(1000));
    lender.setOwned(2);
    expect(lender.lend(2, 1, at(0))).toBeUndefined();
    expect(lender.lend(2, 0, at(0))).toBeDefined();
    expect(lender.lend(2, 0, at(0))).toBeUndefined();
  });
});

describe('HashRing', () => {
  it('moves only the roles of a removed candidate', () => {
    const ids = Array.from({ length: 20 }, (_, index) => `instance-${index}`);
    const [before, after] = [new HashRing(ids), new HashRing(ids.slice(1))];
    const roles = Array.from({ length: 500 }, (_, index) => `role-${index}`);
    const moved = roles.filter((role) => before.find(role) !== after.find(role));
    expect(moved.every((role) => before.find(role) === 'instance-0')).toBe(true);
  });
});

describe('chooseReadTargets', () => {
  const candidate = { latencyMs: 0, load: 0, connections: 1, applied: undefined, lagMs: 0 };
  const replica = { ...candidate, member: toBrand<MemberId>('replica'), isPrimary: false };
  const primary = { ...candidate, member: toBrand<MemberId>('primary'), isPrimary: true };
  const needed = { term: 1, position: 9 } as never;

  it('prefers an idle replica, and the primary to a replica that lags far behind', () => {
    const near = chooseReadTargets([primary, replica], needed, DEFAULT_READ_COST_WEIGHTS);
    expect(near[0]?.member).toBe('replica');
    const far = chooseReadTargets(
      [primary, { ...replica, lagMs: 500 }],
      needed,
      DEFAULT_READ_COST_WEIGHTS,
    );
    expect(far.map(({ member }) => member)).toEqual(['primary']);
  });
});

describe('Membership', () => {
  function createRecord(number: number): InstanceRecord {
    return {
      id: toBrand<InstanceId>(`instance-${number}`),
      failureDomain: toBrand<FailureDomainId>(`domain-${number % 3}`),
      host: '127.0.0.1',
      peerPort: 1000 + number,
      incarnation: 1,
      state: 'alive',
    };
  }

  /**
   * Simulates a fleet up to a given time. `instance-0` is unreachable for a period, in which messages
   * to and from it are lost.
   */
  function runFleet(
    count: number,
    unreachableFromMs: number,
    unreachableUntilMs: number,
    endMs: number,
  ): Membership[] {
    const records = Array.from({ length: count }, (_, index) => createRecord(index));
    let seed = 7;
    const random = (): number => {
      seed = (seed * 16_807) % 2_147_483_647;
      return seed / 2_147_483_647;
    };
    const fleet = records.map(
      (record) => new Membership(record, DEFAULT_MEMBERSHIP_TIMINGS, random),
    );
    for (const membership of fleet) membership.mergeListed(records);
    for (let now = 0; now <= endMs; now += 50) {
      const isUnreachable = (id: string): boolean =>
        id === 'instance-0' && now >= unreachableFromMs && now < unreachableUntilMs;
      const deliver = (datagrams: readonly MembershipDatagram[]): void => {
        for (const { to, message } of datagrams) {
          const target = fleet[records.findIndex(({ id }) => id === to.id)];
          if (!isUnreachable(to.id) && !isUnreachable(message.from)) {
            deliver(target?.handleMessage(message, at(now)) ?? []);
          }
        }
      };
      fleet.forEach((membership, index) => {
        if (!isUnreachable(records[index]?.id ?? '')) deliver(membership.step(at(now)));
      });
    }
    return fleet;
  }

  it('suspects no instance while all of them respond', () => {
    const fleet = runFleet(9, Infinity, Infinity, 20_000);
    expect(fleet.every((membership) => membership.live.length === 9)).toBe(true);
  });

  it('detects a dead instance within seconds', () => {
    const fleet = runFleet(9, 5000, Infinity, 13_000);
    const states = fleet.slice(1).map((m) => m.find(toBrand<InstanceId>('instance-0'))?.state);
    expect(new Set(states)).toEqual(new Set(['dead']));
  });

  it('marks a frozen instance as alive when it responds again', () => {
    const fleet = runFleet(9, 5000, 15_000, 40_000);
    expect(fleet.every((membership) => membership.live.length === 9)).toBe(true);
  });

  it('announces at once that an instance is leaving', () => {
    const fleet = runFleet(5, Infinity, Infinity, 3000);
    const datagrams = fleet[0]?.announceLeaving() ?? [];
    expect(datagrams).toHaveLength(4);
    for (const { to, message } of datagrams) {
      fleet[Number(to.id.split('-')[1])]?.handleMessage(message, at(3000));
    }
    const states = fleet.slice(1).map((m) => m.find(toBrand<InstanceId>('instance-0'))?.state);
    expect(new Set(states)).toEqual(new Set(['leaving']));
  });
});
