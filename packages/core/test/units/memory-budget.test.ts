import { describe, expect, it } from 'vitest';
import { MemoryBudget } from '../../src/index.js';

describe('MemoryBudget', () => {
  function createAccounts(count: number, maxBytes: number) {
    const budget = new MemoryBudget(maxBytes);
    const reclaimed: number[] = [];
    const accounts = Array.from({ length: count }, (_, index) =>
      budget.open(() => reclaimed.push(index)),
    );
    return { budget, reclaimed, accounts };
  }

  it('reclaims the largest account first, and serves the others on', () => {
    const { budget, reclaimed, accounts } = createAccounts(3, 100);
    accounts[0]?.use(60);
    accounts[1]?.use(30);
    expect(reclaimed).toEqual([]);
    accounts[2]?.use(11);
    expect(reclaimed).toEqual([0]);
    expect(budget.usedBytes).toBe(41);
  });

  it('reclaims an account that exceeds the limit by itself', () => {
    const { budget, reclaimed, accounts } = createAccounts(2, 100);
    accounts[0]?.use(40);
    accounts[1]?.use(101);
    expect(reclaimed).toEqual([1]);
    expect(budget.usedBytes).toBe(40);
  });

  it('counts nothing of accounts that are closed', () => {
    const { budget, reclaimed, accounts } = createAccounts(2, 100);
    accounts[0]?.use(90);
    accounts[0]?.close();
    accounts[0]?.use(90);
    accounts[1]?.use(90);
    expect(reclaimed).toEqual([]);
    expect(budget.usedBytes).toBe(90);
  });
});

describe('a share of a MemoryBudget', () => {
  // Guards against parts that are each within their limits and together exceed the process's.
  it('is reclaimed from when all shares together hold too much, the fullest first', () => {
    const whole = new MemoryBudget(100);
    const reclaimed: string[] = [];
    const callers = whole.createShare(80).open(() => reclaimed.push('caller'));
    const peers = whole.createShare(50).open(() => reclaimed.push('peer'));
    callers.use(60);
    peers.use(40);
    expect(reclaimed).toEqual([]);
    callers.use(61);
    expect(reclaimed).toEqual(['peer']);
    expect(whole.usedBytes).toBe(61);
  });

  // Guards against one source address that uses what others need.
  it('is reclaimed from the group that exceeds its own limit', () => {
    const budget = new MemoryBudget(100, { maxGroupBytes: 50 });
    const reclaimed: string[] = [];
    const other = budget.open(() => reclaimed.push('other'), 'a');
    const small = budget.open(() => reclaimed.push('small'), 'b');
    const large = budget.open(() => reclaimed.push('large'), 'b');
    other.use(45);
    small.use(20);
    large.use(31);
    expect(reclaimed).toEqual(['large']);
    expect(budget.usedBytes).toBe(65);
  });
});

describe('the choice of what a MemoryBudget reclaims', () => {
  // Guards against idle sessions that are closed for others that never end what they have begun.
  it('counts the time for which something of the other side is outstanding, and none of idle accounts', () => {
    const budget = new MemoryBudget(100);
    const reclaimed: string[] = [];
    const idle = budget.open(() => reclaimed.push('idle'));
    const stalled = budget.open(() => reclaimed.push('stalled'));
    const active = budget.open(() => reclaimed.push('active'));
    idle.use(50);
    stalled.use(20);
    stalled.setOutstandingSince(1000);
    budget.reclaimStalled(10_000);
    active.use(31);
    expect(reclaimed).toEqual(['stalled']);
  });
});

describe('reservations of a MemoryBudget', () => {
  // Guards against messages of legal size that never find room.
  it('always allow one, however large', () => {
    const account = new MemoryBudget(100, { maxReservedBytes: 10 }).open(() => {});
    expect(account.reserve(50, () => {})).toBe(true);
  });

  it('go to those that wait, in order, before those that have just arrived', () => {
    const budget = new MemoryBudget(100, { maxReservedBytes: 10 });
    const accounts = Array.from({ length: 4 }, () => budget.open(() => {}));
    const [first, second, third, late] = accounts as [
      (typeof accounts)[0],
      (typeof accounts)[0],
      (typeof accounts)[0],
      (typeof accounts)[0],
    ];
    const served: string[] = [];
    expect(first.reserve(8, () => {})).toBe(true);
    const take = (name: string, account: typeof first) => (): void => {
      if (account.reserve(8, take(name, account))) served.push(name);
    };
    take('second', second)();
    take('third', third)();
    expect(late.reserve(1, () => {})).toBe(false);
    first.release(8);
    expect(served).toEqual(['second']);
    second.close();
    expect(served).toEqual(['second', 'third']);
    third.release(8);
    expect(budget.reservedBytes).toBe(0);
  });

  // Guards against crawling messages that keep all room for large ones.
  it('are reclaimed from those whose messages stay incomplete for long, only while others wait', () => {
    const budget = new MemoryBudget(100, { maxReservedBytes: 10 });
    const reclaimed: string[] = [];
    const slow = budget.open(() => reclaimed.push('slow'));
    const running = budget.open(() => reclaimed.push('running'));
    const waiting = budget.open(() => reclaimed.push('waiting'));
    slow.reserve(5, () => {});
    running.reserve(5, () => {});
    slow.setOutstandingSince(0);
    budget.reclaimStalled(60_000);
    expect(reclaimed).toEqual([]);
    let wasCalled = false;
    waiting.reserve(5, () => {
      wasCalled = true;
    });
    budget.reclaimStalled(60_000);
    expect({ reclaimed, wasCalled }).toEqual({ reclaimed: ['slow'], wasCalled: true });
  });
});
