import {
  ConfirmationTracker,
  DEFAULT_LOAN_TIMINGS,
  type AdmissionRules,
  type GroupId,
  type InstanceId,
  ManualClock,
  type MemberEntry,
  AdmissionQueue,
  type MemberId,
  type Milliseconds,
  type OrganisationId,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { OrganisationShare } from '@heatherledge/daemon';
import { ok } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import {
  encodeRecord,
  EventLog,
  type FleetDirectory,
  FleetView,
  formatInstanceKey,
  formatPrimaryKey,
  GATEWAY_ADMISSION_RULES,
  RateShareAllocator,
  type StoreEra,
  type StoreItem,
  type StoreRevision,
} from '../../src/index.js';

const MEMBER = toBrand<MemberId>('m1');
const ERA = toBrand<StoreEra>(1);
const NOW = toMilliseconds(0);

function createEntry(isDraining: boolean, sequence: number): MemberEntry {
  return {
    id: MEMBER,
    group: toBrand<GroupId>('g'),
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    role: 'primary',
    slots: 2,
    isDraining,
    incarnation: 1,
    sequence,
  };
}

const DIRECTORY: FleetDirectory = {
  settingsKey: 'settings',
  membersPrefix: 'members/',
  decodeSettings: (value) => ok({ ...JSON.parse(value.toString()), routesByDatabase: new Map() }),
  // A member's entry is its state and sequence number.
  decodeMember: (_, value) => {
    const [state, sequence = 0] = value.toString().split(' ');
    return ok(createEntry(state === 'draining', Number(sequence)));
  },
};

function createView(): FleetView {
  const clock = new ManualClock();
  const limit = toMilliseconds(1000);
  const confirmation = new ConfirmationTracker({
    maxKeyedAgeMs: limit,
    maxPrimaryAgeMs: limit,
    maxReadyAgeMs: limit,
  });
  const view = new FleetView(DIRECTORY, confirmation, new EventLog(clock), clock);
  view.replace({ items: [], era: ERA }, NOW);
  return view;
}

function createItem(key: string, value: string, revision = 1): StoreItem {
  const storeRevision = revision as StoreRevision;
  return {
    key,
    value: Buffer.from(value),
    revision: storeRevision,
    createdRevision: storeRevision,
  };
}

describe('FleetView', () => {
  it('removes members that a listing lacks', () => {
    const view = createView();
    view.replace({ items: [createItem('members/m1', 'ready')], era: ERA }, NOW);
    view.replace({ items: [], era: ERA }, NOW);
    expect(view.members.size).toBe(0);
  });

  describe('after an outage of the store', () => {
    it('retains members whose entries are missing until the given time', () => {
      const view = createView();
      view.replace({ items: [createItem('members/m1', 'ready')], era: ERA }, NOW);
      view.retainMembers(toMilliseconds(0));
      view.replace({ items: [], era: ERA }, NOW);
      view.removeMissing(toMilliseconds(2300));
      expect(view.members.has(MEMBER)).toBe(true);
      view.removeMissing(toMilliseconds(2400));
      expect(view.members.has(MEMBER)).toBe(false);
    });

    it('keeps a member whose entry is written again', () => {
      const view = createView();
      view.replace({ items: [createItem('members/m1', 'ready')], era: ERA }, NOW);
      view.retainMembers(toMilliseconds(0));
      view.apply([{ kind: 'deleted', key: 'members/m1' }], ERA);
      view.apply([{ kind: 'written', item: createItem('members/m1', 'ready', 2) }], ERA);
      view.removeMissing(toMilliseconds(2400));
      expect(view.members.has(MEMBER)).toBe(true);
    });

    it('removes a draining member at once', () => {
      const view = createView();
      view.replace({ items: [createItem('members/m1', 'draining')], era: ERA }, NOW);
      view.retainMembers(toMilliseconds(0));
      view.replace({ items: [], era: ERA }, NOW);
      expect(view.members.has(MEMBER)).toBe(false);
    });
  });

  describe('after the store has returned from an older copy', () => {
    const nextEra = toBrand<StoreEra>(2);

    it('ignores changes and listings of the era before', () => {
      const view = createView();
      view.replace({ items: [createItem('members/m1', 'ready')], era: nextEra }, NOW);
      const settings = createItem('settings', '{"version":9}', 90);
      view.apply([{ kind: 'written', item: settings }], ERA);
      expect(view.replace({ items: [settings], era: ERA }, NOW)).toBe(false);
      expect(view.settings).toBeUndefined();
      expect(view.members.has(MEMBER)).toBe(true);
    });

    it('keeps a member draining whose copied entry is older', () => {
      const view = createView();
      view.replace({ items: [createItem('members/m1', 'ready 4')], era: ERA }, NOW);
      const drained = createItem('members/m1', 'draining 5', 2);
      view.apply([{ kind: 'written', item: drained }], ERA);
      view.replace({ items: [createItem('members/m1', 'ready 4')], era: nextEra }, NOW);
      expect(view.members.get(MEMBER)?.isDraining).toBe(true);
      const next = createItem('members/m1', 'ready 6', 2);
      view.apply([{ kind: 'written', item: next }], nextEra);
      expect(view.members.get(MEMBER)?.isDraining).toBe(false);
    });
  });

  describe('primaries', () => {
    const group = toBrand<GroupId>('g');
    const key = formatPrimaryKey(group);

    it('are not replaced by an older record', () => {
      const view = createView();
      const record = (epoch: number) =>
        encodeRecord({ epoch, member: `m${epoch}`, holders: [] }).toString();
      view.apply([{ kind: 'written', item: createItem(key, record(2), 20) }], ERA);
      view.apply([{ kind: 'written', item: createItem(key, record(1), 10) }], ERA);
      expect(view.primaries.get(group)?.value.epoch).toBe(2);
    });

    it('are among the expectations of a check', () => {
      const view = createView();
      view.apply(
        [
          {
            kind: 'written',
            item: createItem(key, encodeRecord({ epoch: 1, holders: [] }).toString(), 20),
          },
        ],
        ERA,
      );
      expect(view.listExpectations(toBrand<InstanceId>('i'))).toContainEqual({ key, revision: 20 });
    });

    it('are unchanged by a record that cannot be decoded', () => {
      const view = createView();
      view.apply([{ kind: 'written', item: createItem(key, 'not a record', 20) }], ERA);
      expect(view.primaries.size).toBe(0);
    });
  });
});

describe('RateShareAllocator', () => {
  const SETTLE_MS = toMilliseconds(5000);
  const self = toBrand<InstanceId>('a');

  function createInstances(...names: string[]): Map<InstanceId, never> {
    const view = createView();
    const value = encodeRecord({ host: 'h', peerPort: 1, domain: 'd', cores: 1 }).toString();
    const items = names.map((name) =>
      createItem(formatInstanceKey(toBrand<InstanceId>(name)), value),
    );
    view.replace({ items, era: ERA }, NOW);
    return view.instances as unknown as Map<InstanceId, never>;
  }

  function computeShare(allocator: RateShareAllocator, names: string[], now: number): number {
    const { owned, slotCount } = allocator.computeShare(
      createInstances(...names),
      toMilliseconds(now),
    );
    return slotCount === 0 ? 0 : owned.length / slotCount;
  }

  it('gives a new instance no share until every other one has seen it or stopped serving', () => {
    const allocator = new RateShareAllocator(self, SETTLE_MS);
    expect(computeShare(allocator, ['a', 'b'], 0)).toBe(0);
    expect(computeShare(allocator, ['a', 'b'], 5000)).toBe(0);
    expect(computeShare(allocator, ['a', 'b'], 5001)).toBe(0.5);
  });

  it('resumes the share of an earlier incarnation at once', () => {
    const allocator = new RateShareAllocator(self, SETTLE_MS);
    allocator.resumeShare();
    expect(computeShare(allocator, ['a', 'b'], 0)).toBe(0.5);
  });

  it('shrinks the share at once for a new instance, and grows it late after one has left', () => {
    const allocator = new RateShareAllocator(self, SETTLE_MS);
    allocator.resumeShare();
    expect(computeShare(allocator, ['a', 'b', 'c'], 0)).toBeCloseTo(1 / 3);
    expect(computeShare(allocator, ['a', 'b'], 5000)).toBeCloseTo(1 / 3);
    expect(computeShare(allocator, ['a', 'b'], 5001)).toBe(0.5);
  });

  it('drops the share of an unlisted instance, which then waits like a new one', () => {
    const allocator = new RateShareAllocator(self, SETTLE_MS);
    allocator.resumeShare();
    expect(computeShare(allocator, ['b'], 0)).toBe(0);
    expect(computeShare(allocator, ['a', 'b'], 100)).toBe(0);
    expect(computeShare(allocator, ['a', 'b'], 5101)).toBe(0.5);
  });

  describe('with a rate that is low for the fleet', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
    const organisation = toBrand<OrganisationId>('o');

    function divide(name: string, burst: number): OrganisationShare | undefined {
      const allocator = new RateShareAllocator(toBrand<InstanceId>(name), SETTLE_MS);
      allocator.resumeShare();
      return allocator
        .computeShare(createInstances(...names), toMilliseconds(0))
        .divide?.(organisation, burst);
    }

    it('divides the rate among as many holders as its burst suffices for', () => {
      const fractions = names.map((name) => divide(name, 12)?.fraction ?? 0);
      expect(fractions.filter((fraction) => fraction > 0)).toEqual([0.5, 0.5]);
    });

    it('gives equal shares if the burst suffices for all instances', () => {
      for (const name of names) expect(divide(name, 95)?.fraction).toBe(1 / 8);
    });

    /**
     * Simulates a rate of 5 a second over eight instances that receive 2 requests a second each.
     *
     * @returns the admitted fraction of the rate
     */
    function simulate(shares: readonly OrganisationShare[], rules: AdmissionRules): number {
      const queues = new Map(
        names.map((name) => {
          const id = toBrand<InstanceId>(name);
          return [id, new AdmissionQueue(id, organisation, rules)];
        }),
      );
      const ids = [...queues.keys()];
      let admitted = 0;
      for (let now = 0; now < 40_000; now += 10) {
        const at = toMilliseconds(now);
        for (const [index, id] of ids.entries()) {
          const queue = queues.get(id) as AdmissionQueue;
          const { fraction, holders } = shares[index] as OrganisationShare;
          queue.setShare({ ratePerSecond: 5 * fraction, burst: 5 * fraction, holders }, at);
          if ((now + index * 60) % 500 === 0 && queue.addRequest(at) === undefined) admitted += 1;
          const actions = queue.step(at);
          admitted += actions.admitted.length;
          for (const { lender, requestId, tokens } of actions.loanRequests) {
            const offer = queues.get(lender)?.handleLoanRequest(tokens, at);
            if (offer !== undefined) queue.handleOffer(requestId, offer, at);
          }
          for (const { lender, loan, unspent } of actions.settlements) {
            queues.get(lender)?.handleSettlement(loan, unspent, at);
          }
        }
      }
      return admitted / (5 * 40);
    }

    it('admits nearly all of the rate, where equal shares admit less', () => {
      const holders = new Set(names.map((name) => toBrand<InstanceId>(name)));
      const fractionalLoans = { ...GATEWAY_ADMISSION_RULES, loans: DEFAULT_LOAN_TIMINGS };
      const equal = simulate(
        names.map(() => ({ fraction: 1 / 8, holders })),
        fractionalLoans,
      );
      const shares = names.map((name) => divide(name, 5) as OrganisationShare);
      const divided = simulate(shares, GATEWAY_ADMISSION_RULES);
      expect(divided).toBeGreaterThan(0.9);
      // Equal shares with whole-token loans lose the rate that no instance accumulates to a whole
      // token, but still admit requests.
      expect(
        simulate(
          names.map(() => ({ fraction: 1 / 8, holders })),
          GATEWAY_ADMISSION_RULES,
        ),
      ).toBeLessThan(divided);
      expect(divided).toBeLessThanOrEqual(1.03);
      expect(equal).toBeLessThan(0.1);
      expect(simulate(shares, fractionalLoans)).toBeLessThan(0.1);
    });
  });

  describe('with 91 instances in six failure domains', () => {
    const DOMAINS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
    const ids = Array.from({ length: 91 }, (_, index) => toBrand<InstanceId>(`i${index}`));
    const getDomain = (index: number): string => DOMAINS[index % DOMAINS.length] as string;
    const organisation = toBrand<OrganisationId>('o');
    const RATE = 10;
    /** A response takes one round trip over an open connection, and four more over a new one. */
    const ROUND_TRIP_MS = 24;

    function createFleet(): Map<InstanceId, never> {
      const view = createView();
      const items = ids.map((id, index) => {
        const cores = index < 12 ? 1.35 : 0.324;
        const record = { host: 'h', peerPort: 1, domain: getDomain(index), cores };
        return createItem(formatInstanceKey(id), encodeRecord(record).toString());
      });
      view.replace({ items, era: ERA }, NOW);
      return view.instances as unknown as Map<InstanceId, never>;
    }

    function divideFor(id: InstanceId, burst: number): OrganisationShare {
      const allocator = new RateShareAllocator(id, SETTLE_MS);
      allocator.resumeShare();
      const { divide } = allocator.computeShare(createFleet(), toMilliseconds(0));
      return divide?.(organisation, burst) as OrganisationShare;
    }

    it('places low rates on the strongest instances, one of each domain in turn', () => {
      const { holders } = divideFor(ids[40] as InstanceId, 30);
      const domains = [...holders].map((id) => getDomain(ids.indexOf(id)));
      expect(new Set(domains).size).toBe(6);
      expect([...holders].every((id) => ids.indexOf(id) < 12)).toBe(true);
    });

    it('lets an instance borrow from a holder in its own domain first', () => {
      const { holders, near } = divideFor(ids[40] as InstanceId, 30);
      expect([...(near ?? [])].map((id) => getDomain(ids.indexOf(id)))).toEqual([getDomain(40)]);
      const share = { ratePerSecond: 0, burst: 0, holders, near: near ?? new Set<InstanceId>() };
      const queue = new AdmissionQueue(
        ids[40] as InstanceId,
        organisation,
        GATEWAY_ADMISSION_RULES,
      );
      queue.setShare(share, toMilliseconds(0));
      queue.addRequest(toMilliseconds(10));
      const [loanRequest] = queue.step(toMilliseconds(10)).loanRequests;
      expect(near?.has(loanRequest?.lender as InstanceId)).toBe(true);
    });

    /**
     * Simulates the load pattern cv-ceras-grown: an organisation requests 0.64 of its rate, from
     * any instance.
     *
     * @returns the admitted fraction of the requests
     */
    function simulate(rules: AdmissionRules): number {
      const shares = ids.map((id) => divideFor(id, RATE));
      const queues = new Map(ids.map((id) => [id, new AdmissionQueue(id, organisation, rules)]));
      const openConnections = new Set<string>();
      const deliveries: { at: number; run: (now: Milliseconds) => void }[] = [];
      let admitted = 0;
      let requested = 0;
      for (let now = 0; now < 30_000; now += 4) {
        const at = toMilliseconds(now);
        for (const { run } of deliveries.filter((delivery) => delivery.at <= now)) run(at);
        deliveries.splice(
          0,
          deliveries.length,
          ...deliveries.filter((delivery) => delivery.at > now),
        );
        for (const [index, id] of ids.entries()) {
          const queue = queues.get(id) as AdmissionQueue;
          const { fraction, ...chosen } = shares[index] as OrganisationShare;
          queue.setShare({ ratePerSecond: RATE * fraction, burst: RATE * fraction, ...chosen }, at);
          if (now % 156 === 0 && now > 5000 && ((now / 156) * 37) % ids.length === index) {
            requested += 1;
            if (queue.addRequest(at) === undefined) admitted += 1;
          }
          const actions = queue.step(at);
          admitted += actions.admitted.length;
          for (const { lender, requestId, tokens } of actions.loanRequests) {
            const connection = `${id} ${lender}`;
            const delayMs = openConnections.has(connection) ? ROUND_TRIP_MS : ROUND_TRIP_MS * 5;
            openConnections.add(connection);
            const offer = queues.get(lender)?.handleLoanRequest(tokens, at);
            deliveries.push({
              at: now + delayMs,
              run: (deliveredAt) => offer && queue.handleOffer(requestId, offer, deliveredAt),
            });
          }
          for (const { lender, loan, unspent } of actions.settlements) {
            queues.get(lender)?.handleSettlement(loan, unspent, at);
          }
        }
      }
      return admitted / Math.max(1, requested);
    }

    it('admits requests that wait for a new connection, where shorter waits refuse many', () => {
      const shortWaits = {
        loanRequestTimeoutMs: toMilliseconds(100),
        maxWaitMs: toMilliseconds(150),
      };
      expect(simulate(GATEWAY_ADMISSION_RULES)).toBeGreaterThan(0.98);
      expect(simulate({ ...GATEWAY_ADMISSION_RULES, ...shortWaits })).toBeLessThan(0.75);
    });
  });

  it('never gives out more than the whole rate while instances join and leave', () => {
    const allocators = new Map(
      ['a', 'b', 'c', 'd'].map((name) => [
        name,
        new RateShareAllocator(toBrand<InstanceId>(name), SETTLE_MS),
      ]),
    );
    const listNames = (now: number): string[] => {
      const names = ['a', 'b'];
      if (now >= 3000 && now < 16_000) names.push('c');
      if (now >= 9000) names.push('d');
      return names;
    };
    for (let now = 0; now < 30_000; now += 100) {
      let sum = 0;
      for (const [name, allocator] of allocators) {
        if (listNames(now).includes(name)) sum += computeShare(allocator, listNames(now), now);
      }
      expect(sum).toBeLessThanOrEqual(1 + 1e-9);
    }
  });
});
