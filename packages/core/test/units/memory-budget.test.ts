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
