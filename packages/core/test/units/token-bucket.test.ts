import {
  BorrowedTokens,
  TokenBucket,
  toMilliseconds,
  toBrand,
  type InstanceId,
} from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

const at = toMilliseconds;
const lender = toBrand<InstanceId>('lender');

describe('TokenBucket', () => {
  describe('when it is created', () => {
    it('holds no tokens, so that moving a slot never creates any', () => {
      const bucket = new TokenBucket();
      bucket.setShare(10, 100, at(0));
      expect(bucket.countAvailable(at(0))).toBe(0);
    });

    it('fills at its rate up to its burst', () => {
      const bucket = new TokenBucket();
      bucket.setShare(10, 5, at(0));
      expect(bucket.countAvailable(at(300))).toBeCloseTo(3);
      expect(bucket.countAvailable(at(10_000))).toBe(5);
    });
  });

  describe('when tokens are on loan', () => {
    it('does not refill above its burst less the tokens on loan', () => {
      const bucket = new TokenBucket();
      bucket.setShare(10, 5, at(0));
      bucket.countAvailable(at(1000));
      bucket.lend(5, 0, at(1000), at(1000));
      expect(bucket.countAvailable(at(1500))).toBe(0);
    });

    it('takes the tokens of a settled loan back only once', () => {
      const bucket = new TokenBucket();
      bucket.setShare(10, 5, at(0));
      bucket.countAvailable(at(1000));
      const loan = bucket.lend(5, 0, at(1000), at(1000));
      expect(loan).toBeDefined();
      if (loan === undefined) return;
      bucket.settleLoan(loan.id, 2, at(1000));
      bucket.settleLoan(loan.id, 2, at(1000));
      expect(bucket.countAvailable(at(1000))).toBe(2);
    });

    it('counts a loan until after its borrower may no longer spend it', () => {
      const bucket = new TokenBucket();
      const borrowed = new BorrowedTokens();
      bucket.setShare(10, 5, at(0));
      bucket.countAvailable(at(1000));
      const loan = bucket.lend(5, 0, at(1000), at(1010));
      if (loan !== undefined) borrowed.addLoan(lender, loan, at(1000), at(1020));
      expect(borrowed.countAvailable(at(1999))).toBe(5);
      expect(borrowed.countAvailable(at(2000))).toBe(0);
      expect(bucket.lent).toBe(5);
    });
  });
});
