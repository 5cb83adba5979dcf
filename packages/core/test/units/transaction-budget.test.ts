import { beforeEach, describe, expect, it } from 'vitest';
import {
  type OrganisationId,
  toBrand,
  toMilliseconds,
  TransactionBudget,
} from '../../src/index.js';

/** The host's part of 56 connections. */
const MAX_CONNECTIONS = 45;
const SHARE = 22;
/** Four slots, and one statement more so that none is idle. */
const CONCURRENCY = 5;

const organisation = (name: string): OrganisationId => toBrand<OrganisationId>(name);

describe('TransactionBudget', () => {
  let budget: TransactionBudget;

  beforeEach(() => {
    budget = new TransactionBudget(CONCURRENCY);
  });

  function request(name: string, now = 0) {
    return budget.request(organisation(name), MAX_CONNECTIONS, toMilliseconds(now));
  }

  /** @returns number of transactions that may begin */
  function beginMany(name: string, now = 0): number {
    let granted = 0;
    for (let index = 0; index < MAX_CONNECTIONS; index += 1) {
      if (request(name, now).kind === 'granted') granted += 1;
    }
    return granted;
  }

  describe('load pattern: clients sit idle in transactions', () => {
    // Guards against idle transactions that hold every connection of a member.
    it('leaves single statements as many connections as the member runs statements', () => {
      expect(beginMany('idle')).toBe(MAX_CONNECTIONS - CONCURRENCY);
      expect(request('idle')).toMatchObject({ kind: 'refused', cause: 'transaction-limit' });
      expect(request('other')).toMatchObject({ kind: 'refused', cause: 'transaction-limit' });
    });

    it('leaves half of the connections at an instance that has few', () => {
      const begin = (): string => budget.request(organisation('a'), 3, toMilliseconds(0)).kind;
      expect([begin(), begin(), begin()]).toEqual(['granted', 'granted', 'refused']);
    });
  });

  describe('load pattern: one organisation begins transactions faster than they end', () => {
    // Guards against one organisation's transactions that keep all others from beginning any.
    it('gives it half of the connections while others ask', () => {
      request('other');
      expect(beginMany('large')).toBe(SHARE);
      expect(request('large')).toMatchObject({ kind: 'refused', cause: 'transaction-share' });
      expect(beginMany('other')).toBe(MAX_CONNECTIONS - CONCURRENCY - SHARE - 1);
    });

    it('lends it the other half while nobody else asks, until somebody does', () => {
      request('other', 0);
      expect(beginMany('large', 500)).toBe(SHARE);
      expect(beginMany('large', 1000)).toBe(MAX_CONNECTIONS - CONCURRENCY - SHARE - 1);
      expect(request('large', 1001)).toMatchObject({ kind: 'refused', cause: 'transaction-limit' });
      request('other', 1002);
      // What was lent is not given again when it is returned.
      budget.recordEnd(organisation('large'), 50);
      expect(request('large', 1003)).toMatchObject({ cause: 'transaction-share' });
      expect(request('other', 1003).kind).toBe('granted');
    });

    it('names the time in which as many transactions end as are too many', () => {
      request('other');
      beginMany('large');
      for (let index = 0; index < 100; index += 1) {
        budget.recordEnd(organisation('large'), 2200);
        request('large');
      }
      const refused = request('large');
      if (refused.kind !== 'refused') throw new Error(refused.kind);
      // One of 22 ends each 100 ms.
      expect(refused.retryAfterMs).toBeGreaterThan(95);
      expect(refused.retryAfterMs).toBeLessThan(105);
    });
  });

  it('counts each end once, and remembers no organisation without open transactions', () => {
    for (let index = 0; index < 10_000; index += 1) {
      expect(request(`o${index}`).kind).toBe('granted');
      budget.recordEnd(organisation(`o${index}`), 10);
      budget.recordEnd(organisation(`o${index}`), 10);
    }
    expect(beginMany('a', 5000)).toBe(MAX_CONNECTIONS - CONCURRENCY);
    const text = JSON.stringify(budget, (_, value: unknown) =>
      value instanceof Map ? [...(value as Iterable<unknown>)] : value,
    );
    expect(text.length).toBeLessThan(1000);
  });
});
