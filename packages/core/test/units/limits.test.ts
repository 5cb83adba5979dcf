import {
  createSlotRecord,
  DEFAULT_LOAN_TIMINGS,
  LoanDesk,
  type OrganisationId,
  type InstanceId,
  SlotClaims,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

const at = toMilliseconds;
const timings = {
  leaseMs: at(1000),
  renewEveryMs: at(300),
  readEveryMs: at(300),
  firstReadMs: at(100),
  settleMs: at(100),
};

function createClaims(name: string, incarnation = '1'): SlotClaims {
  return new SlotClaims(toBrand<InstanceId>(name), incarnation, timings);
}

describe('SlotClaims', () => {
  it('uses new slots only after the loans of their previous holder have expired', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.propose(1, at(0));
    expect(write).toBeDefined();
    if (write === undefined) return;
    claims.noteSent(write, at(0));
    claims.observe(write.record, at(10));
    expect(claims.resolveOwned(at(20))).toEqual([]);
    expect(claims.resolveOwned(at(120))).toHaveLength(4);
  });

  it('counts a lease from before the renewal was sent', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.propose(1, at(0));
    if (write === undefined) return;
    claims.noteSent(write, at(0));
    claims.observe(write.record, at(500));
    expect(claims.resolveOwned(at(999))).toHaveLength(4);
    expect(claims.resolveOwned(at(1000))).toEqual([]);
  });

  it('takes over a slot only after observing its claim without renewal for longer than the lease', () => {
    const [first, second] = [createClaims('a'), createClaims('b')];
    first.observe(createSlotRecord(4), at(0));
    const write = first.propose(1, at(0));
    if (write === undefined) return;
    second.observe(write.record, at(0));
    expect(second.propose(2, at(1000))).toBeUndefined();
    expect(second.propose(2, at(1060))).toBeDefined();
  });

  it('reclaims the slots of its own instance id at once after a restart', () => {
    const first = createClaims('a', '1');
    first.observe(createSlotRecord(4), at(0));
    const write = first.propose(1, at(0));
    if (write === undefined) return;
    const restarted = createClaims('a', '2');
    restarted.observe(write.record, at(50));
    expect(restarted.resolveOwned(at(50))).toEqual([]);
    expect(restarted.propose(1, at(50))).toBeDefined();
  });

  it('stops using released slots before the write is sent', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.propose(1, at(0));
    if (write === undefined) return;
    claims.noteSent(write, at(0));
    claims.observe(write.record, at(0));
    claims.release();
    const release = claims.propose(1, at(200));
    if (release === undefined) return;
    claims.noteSent(release, at(200));
    expect(claims.resolveOwned(at(200))).toEqual([]);
  });
});

describe('AdmissionQueue', () => {
  const rules = {
    loans: DEFAULT_LOAN_TIMINGS,
    fanout: 2,
    longestWaitMs: at(500),
    mostWaiting: 2,
    askTimeoutMs: at(100),
    emptyLenderMs: at(100),
  };

  function createQueue(name: string): LoanDesk {
    return new LoanDesk(toBrand<InstanceId>(name), toBrand<OrganisationId>('o'), rules);
  }

  it('refuses a request at once if the maximum number of requests is waiting', () => {
    const queue = createQueue('a');
    const tickets = [1, 2, 3].map(() => queue.request(at(0)));
    const { refused } = queue.step(at(0));
    expect(refused.map(({ ticket }) => ticket)).toEqual([tickets[2]]);
  });

  it('admits a waiting request with borrowed tokens', () => {
    const [borrower, lender] = [createQueue('a'), createQueue('b')];
    const holders = new Set([toBrand<InstanceId>('b')]);
    borrower.resize({ ratePerSecond: 0, burst: 0, holders }, at(0));
    lender.resize({ ratePerSecond: 100, burst: 10, holders }, at(0));
    const ticket = borrower.request(at(1000));
    for (const { ask: requestId, tokens } of borrower.step(at(1000)).questions) {
      borrower.handleOffer(requestId, lender.handleAsk(tokens, at(1005)), at(1010));
    }
    expect(borrower.step(at(1010)).admitted).toEqual([ticket]);
  });

  it('ignores an offer that arrives after its loan request has timed out', () => {
    const [borrower, lender] = [createQueue('a'), createQueue('b')];
    const holders = new Set([toBrand<InstanceId>('b')]);
    borrower.resize({ ratePerSecond: 0, burst: 0, holders }, at(0));
    lender.resize({ ratePerSecond: 100, burst: 10, holders: new Set() }, at(0));
    borrower.request(at(1000));
    const [request] = borrower.step(at(1000)).questions;
    borrower.step(at(1200));
    borrower.handleOffer(request?.ask ?? 0, lender.handleAsk(5, at(1200)), at(1200));
    expect(borrower.describe(at(1200)).borrowed).toBe(0);
  });
});
