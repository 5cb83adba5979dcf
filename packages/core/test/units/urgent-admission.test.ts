import { describe, expect, it } from 'vitest';
import {
  AdmissionQueue,
  type AdmissionRules,
  DEFAULT_LOAN_TIMINGS,
  type FleetSettings,
  type InstanceId,
  type OrganisationId,
  prefersUrgentRoutes,
  type Route,
  toBrand,
  toMilliseconds,
  UrgencyReserve,
} from '../../src/index.js';

const at = toMilliseconds;
const SELF = toBrand<InstanceId>('i1');
const LENDERS = ['i2', 'i3', 'i4'].map((id) => toBrand<InstanceId>(id));
const RULES: AdmissionRules = {
  loans: { ...DEFAULT_LOAN_TIMINGS, loanUnitTokens: 1 },
  fanout: 1,
  maxWaitMs: at(300),
  maxWaitingRequests: 8,
  loanRequestTimeoutMs: at(250),
  emptyLenderDelayMs: at(150),
  silentLenderDelayMs: at(2000),
  lateResponseMs: at(150),
  refusesUnservable: true,
};

function createQueue(ratePerSecond: number, burst: number, holders = [SELF]): AdmissionQueue {
  const queue = new AdmissionQueue(SELF, toBrand<OrganisationId>('o'), RULES);
  queue.setShare({ ratePerSecond, burst, holders: new Set(holders) }, at(0));
  return queue;
}

/** Requests of two priorities at fixed intervals for 10 s; returns the share admitted of each. */
function replayHotOrganisation(queue: AdmissionQueue): { urgent: number; other: number } {
  const admitted = { urgent: 0, other: 0 };
  const asked = { urgent: 0, other: 0 };
  const kinds = new Map<number, 'urgent' | 'other'>();
  for (let now = 0; now < 10_000; now += 5) {
    const arrivals = [
      ...(now % 100 === 0 ? (['urgent'] as const) : []),
      ...(now % 10 === 0 ? (['other'] as const) : []),
    ];
    for (const kind of arrivals) {
      asked[kind] += 1;
      const priority = kind === 'urgent' ? 0 : 2;
      const ticket = queue.addRequest(at(now), priority);
      if (ticket === undefined) admitted[kind] += 1;
      else kinds.set(ticket, kind);
    }
    for (const ticket of queue.step(at(now)).admitted) admitted[kinds.get(ticket) ?? 'other'] += 1;
  }
  return { urgent: admitted.urgent / asked.urgent, other: admitted.other / asked.other };
}

describe('AdmissionQueue under more than its rate', () => {
  // Guards against urgent requests that are refused while less urgent ones take the tokens.
  it('admits nearly all urgent requests of an organisation that sends five times its rate', () => {
    const { urgent, other } = replayHotOrganisation(createQueue(20, 20));
    expect(urgent).toBeGreaterThan(0.98);
    expect(other).toBeGreaterThan(0.08);
  });

  it('admits requests of all priorities alike while the rate suffices', () => {
    expect(replayHotOrganisation(createQueue(150, 20))).toEqual({ urgent: 1, other: 1 });
  });

  // Guards against a lender whose tokens go to the least urgent requests of other instances.
  it('keeps tokens for urgent borrowers', () => {
    const lender = createQueue(20, 20);
    let now = 0;
    for (; now < 3000; now += 50) {
      lender.handleLoanRequest(1, at(now), 0);
      lender.handleLoanRequest(4, at(now), 2);
    }
    expect(lender.handleLoanRequest(1, at(now), 2).loan).toBeUndefined();
    expect(lender.handleLoanRequest(1, at(now), 0).loan).toBeDefined();
  });

  it('serves a waiting urgent request before one that arrived earlier', () => {
    const queue = createQueue(10, 10);
    const other = queue.addRequest(at(0), 2);
    const urgent = queue.addRequest(at(1), 0);
    expect(queue.step(at(101)).admitted).toEqual([urgent]);
    expect(queue.step(at(202)).admitted).toEqual([other]);
  });
});

describe('AdmissionQueue behind a partition', () => {
  // Guards against requests that wait for lenders which have not answered before.
  it('refuses at once when no lender has answered, and asks them again after two seconds', () => {
    const queue = createQueue(0, 0, [SELF, ...LENDERS]);
    for (let now = 0; now < 2000; now += 10) {
      if (now % 100 === 0) queue.addRequest(at(now), 1);
      queue.step(at(now));
    }
    const ticket = queue.addRequest(at(2000), 1);
    const { refused, loanRequests } = queue.step(at(2000));
    expect(refused.map((refusal) => refusal.ticket)).toContain(ticket);
    expect(loanRequests).toEqual([]);
    queue.addRequest(at(4500), 1);
    expect(queue.step(at(4500)).loanRequests).toHaveLength(1);
  });

  // Guards against tokens borrowed in advance that count as urgent, for which lenders keep tokens back.
  it('borrows in advance with the priority of its least urgent requests', () => {
    const queue = createQueue(1, 6, [SELF, ...LENDERS]);
    for (let now = 0; now < 400; now += 20) {
      queue.addRequest(at(now), 1);
    }
    const { refused, loanRequests } = queue.step(at(400));
    expect(refused.length).toBeGreaterThan(0);
    expect(loanRequests.map(({ priority }) => priority)).toEqual([1]);
  });

  // Guards against a lender that is avoided for seconds because the link to it was being opened.
  it('asks a lender again soon after one late answer', () => {
    const [only] = LENDERS;
    const queue = createQueue(0, 0, only === undefined ? [SELF] : [SELF, only]);
    queue.addRequest(at(0), 1);
    expect(queue.step(at(0)).loanRequests).toHaveLength(1);
    queue.step(at(250));
    queue.addRequest(at(410), 1);
    expect(queue.step(at(410)).loanRequests).toHaveLength(1);
  });

  // Guards against urgent requests that are refused because a lender had nothing for less urgent ones.
  it('asks a lender for urgent requests that has refused less urgent ones', () => {
    const [only] = LENDERS;
    const queue = createQueue(0, 0, only === undefined ? [SELF] : [SELF, only]);
    queue.addRequest(at(0), 2);
    const [first] = queue.step(at(0)).loanRequests;
    queue.handleOffer(first?.requestId ?? 0, { loan: undefined, spare: 0 }, at(20));
    queue.addRequest(at(30), 2);
    expect(queue.step(at(30)).loanRequests).toEqual([]);
    queue.addRequest(at(40), 0);
    expect(queue.step(at(40)).loanRequests).toMatchObject([{ lender: only, priority: 0 }]);
  });

  it('asks another lender when the first is late', () => {
    const queue = createQueue(0, 0, [SELF, ...LENDERS]);
    queue.addRequest(at(0), 1);
    const [first] = queue.step(at(0)).loanRequests;
    expect(queue.step(at(100)).loanRequests).toEqual([]);
    const [second] = queue.step(at(150)).loanRequests;
    expect(second?.lender).not.toBe(first?.lender);
  });
});

describe('UrgencyReserve', () => {
  it('never keeps more than half of the burst', () => {
    const reserve = new UrgencyReserve();
    for (let now = 0; now < 1000; now += 1) reserve.recordDemand(0, 1, at(now));
    const share = { refillRatePerMs: 0.01, burst: 6 };
    expect(reserve.computeReserve(1, share, at(1000))).toBe(3);
    expect(reserve.computeReserve(0, share, at(1000))).toBe(0);
  });
});

describe('preference of urgent routes', () => {
  function createSettings(...priorities: readonly number[]): FleetSettings {
    const routes = priorities.map((priority) => [`d${priority}`, { priority } as Route] as const);
    return { routesByDatabase: new Map(routes) } as unknown as FleetSettings;
  }

  // Guards against deployments whose callers are refused in another order although no route is urgent.
  it('is asked for by a route of the highest priority only', () => {
    expect(prefersUrgentRoutes(createSettings(1, 2))).toBe(false);
    expect(prefersUrgentRoutes(createSettings(0, 1, 2))).toBe(true);
    expect(prefersUrgentRoutes(createSettings())).toBe(false);
  });
});
