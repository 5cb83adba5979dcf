import {
  createSlotRecord,
  DEFAULT_LOAN_TIMINGS,
  AdmissionQueue,
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
  renewalIntervalMs: at(300),
  maxReadIntervalMs: at(300),
  minReadIntervalMs: at(100),
  newSlotDelayMs: at(100),
};

function createClaims(name: string, incarnation = '1'): SlotClaims {
  return new SlotClaims(toBrand<InstanceId>(name), incarnation, timings);
}

describe('SlotClaims', () => {
  it('uses new slots only after the loans of their previous holder have expired', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.createWrite(1, at(0));
    expect(write).toBeDefined();
    if (write === undefined) return;
    claims.recordSentWrite(write, at(0));
    claims.observe(write.record, at(10));
    expect(claims.listUsableSlots(at(20))).toEqual([]);
    expect(claims.listUsableSlots(at(120))).toHaveLength(4);
  });

  it('counts a lease from before the renewal was sent', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.createWrite(1, at(0));
    if (write === undefined) return;
    claims.recordSentWrite(write, at(0));
    claims.observe(write.record, at(500));
    expect(claims.listUsableSlots(at(999))).toHaveLength(4);
    expect(claims.listUsableSlots(at(1000))).toEqual([]);
  });

  it('takes over a slot only after observing its claim without renewal for longer than the lease', () => {
    const [first, second] = [createClaims('a'), createClaims('b')];
    first.observe(createSlotRecord(4), at(0));
    const write = first.createWrite(1, at(0));
    if (write === undefined) return;
    second.observe(write.record, at(0));
    expect(second.createWrite(2, at(1000))).toBeUndefined();
    expect(second.createWrite(2, at(1060))).toBeDefined();
  });

  it('reclaims the slots of its own instance id at once after a restart', () => {
    const first = createClaims('a', '1');
    first.observe(createSlotRecord(4), at(0));
    const write = first.createWrite(1, at(0));
    if (write === undefined) return;
    const restarted = createClaims('a', '2');
    restarted.observe(write.record, at(50));
    expect(restarted.listUsableSlots(at(50))).toEqual([]);
    expect(restarted.createWrite(1, at(50))).toBeDefined();
  });

  it('stops using released slots before the write is sent', () => {
    const claims = createClaims('a');
    claims.observe(createSlotRecord(4), at(0));
    const write = claims.createWrite(1, at(0));
    if (write === undefined) return;
    claims.recordSentWrite(write, at(0));
    claims.observe(write.record, at(0));
    claims.releaseAll();
    const release = claims.createWrite(1, at(200));
    if (release === undefined) return;
    claims.recordSentWrite(release, at(200));
    expect(claims.listUsableSlots(at(200))).toEqual([]);
  });
});

describe('AdmissionQueue', () => {
  const rules = {
    loans: DEFAULT_LOAN_TIMINGS,
    fanout: 2,
    maxWaitMs: at(500),
    maxWaitingRequests: 2,
    loanRequestTimeoutMs: at(100),
    emptyLenderDelayMs: at(100),
  };

  function createQueue(name: string): AdmissionQueue {
    return new AdmissionQueue(toBrand<InstanceId>(name), toBrand<OrganisationId>('o'), rules);
  }

  it('refuses a request at once if the maximum number of requests is waiting', () => {
    const queue = createQueue('a');
    const tickets = [1, 2, 3].map(() => queue.addRequest(at(0)));
    const { refused } = queue.step(at(0));
    expect(refused.map(({ ticket }) => ticket)).toEqual([tickets[2]]);
  });

  it('admits a waiting request with borrowed tokens', () => {
    const [borrower, lender] = [createQueue('a'), createQueue('b')];
    const holders = new Set([toBrand<InstanceId>('b')]);
    borrower.setShare({ ratePerSecond: 0, burst: 0, holders }, at(0));
    lender.setShare({ ratePerSecond: 100, burst: 10, holders }, at(0));
    const ticket = borrower.addRequest(at(1000));
    for (const { requestId, tokens } of borrower.step(at(1000)).loanRequests) {
      borrower.handleOffer(requestId, lender.handleLoanRequest(tokens, at(1005)), at(1010));
    }
    expect(borrower.step(at(1010)).admitted).toEqual([ticket]);
  });

  it('ignores an offer that arrives after its loan request has timed out', () => {
    const [borrower, lender] = [createQueue('a'), createQueue('b')];
    const holders = new Set([toBrand<InstanceId>('b')]);
    borrower.setShare({ ratePerSecond: 0, burst: 0, holders }, at(0));
    lender.setShare({ ratePerSecond: 100, burst: 10, holders: new Set() }, at(0));
    borrower.addRequest(at(1000));
    const [request] = borrower.step(at(1000)).loanRequests;
    borrower.step(at(1200));
    borrower.handleOffer(request?.requestId ?? 0, lender.handleLoanRequest(5, at(1200)), at(1200));
    expect(borrower.describe(at(1200)).borrowed).toBe(0);
  });
});
