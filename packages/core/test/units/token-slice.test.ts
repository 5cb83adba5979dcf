import {
  LoanWallet,
  TokenSlice,
  toMilliseconds,
  toBrand,
  type InstanceId,
} from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

const at = toMilliseconds;
const lender = toBrand<InstanceId>('lender');

describe('TokenSlice', () => {
  describe('when it is created', () => {
    it('holds no tokens, so that moving a slot never makes any', () => {
      const slice = new TokenSlice();
      slice.resize(10, 100, at(0));
      expect(slice.available(at(0))).toBe(0);
    });

    it('fills at its rate up to its burst', () => {
      const slice = new TokenSlice();
      slice.resize(10, 5, at(0));
      expect(slice.available(at(300))).toBeCloseTo(3);
      expect(slice.available(at(10_000))).toBe(5);
    });
  });

  describe('when tokens are on loan', () => {
    it('does not fill above what is left of its burst', () => {
      const slice = new TokenSlice();
      slice.resize(10, 5, at(0));
      slice.available(at(1000));
      slice.lend(5, 0, at(1000), at(1000));
      expect(slice.available(at(1500))).toBe(0);
    });

    it('takes a settled loan back once', () => {
      const slice = new TokenSlice();
      slice.resize(10, 5, at(0));
      slice.available(at(1000));
      const loan = slice.lend(5, 0, at(1000), at(1000));
      expect(loan).toBeDefined();
      if (loan === undefined) return;
      slice.settle(loan.id, 2, at(1000));
      slice.settle(loan.id, 2, at(1000));
      expect(slice.available(at(1000))).toBe(2);
    });

    it('counts a loan for longer than its borrower may spend it', () => {
      const slice = new TokenSlice();
      const wallet = new LoanWallet();
      slice.resize(10, 5, at(0));
      slice.available(at(1000));
      const loan = slice.lend(5, 0, at(1000), at(1010));
      if (loan !== undefined) wallet.add(lender, loan, at(1000), at(1020));
      expect(wallet.available(at(1999))).toBe(5);
      expect(wallet.available(at(2000))).toBe(0);
      expect(slice.lent).toBe(5);
    });
  });
});
