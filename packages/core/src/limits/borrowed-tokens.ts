import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { Loan, LoanId } from './token-bucket.js';

/** A loan that its borrower has ended; loan and unspent tokens are sent to the lender. */
export interface Settlement {
  readonly lender: InstanceId;
  readonly loan: LoanId;
  readonly unspent: number;
}

interface BorrowedLoan {
  readonly lender: InstanceId;
  readonly id: LoanId;
  readonly expiresAt: Milliseconds;
  remaining: number;
}

/** Tokens that one instance has borrowed for one organisation; spent in order of expiry. */
export class BorrowedTokens {
  private loans: BorrowedLoan[] = [];

  private pendingSettlements: Settlement[] = [];

  /**
   * Adds a loan; ignores one that has already expired.
   *
   * @param lender - instance that granted the loan
   * @param loan - the loan
   * @param requestedAt - time at which the request was sent; the loan's lifetime counts from then
   * @param now - current time
   */
  addLoan(lender: InstanceId, loan: Loan, requestedAt: Milliseconds, now: Milliseconds): void {
    const expiresAt = toMilliseconds(requestedAt + loan.lifeMs);
    if (expiresAt <= now) return;
    this.loans.push({ lender, id: loan.id, expiresAt, remaining: loan.tokens });
    this.loans.sort((left, right) => left.expiresAt - right.expiresAt);
  }

  /**
   * @param now - current time
   * @returns tokens that may be spent now
   */
  countAvailable(now: Milliseconds): number {
    this.removeExpired(now);
    let sum = 0;
    for (const loan of this.loans) sum += loan.remaining;
    return sum;
  }

  /**
   * Spends up to a number of tokens, those that expire first before the others.
   *
   * @param count - tokens wanted
   * @param now - current time
   * @returns tokens spent
   */
  takeUpTo(count: number, now: Milliseconds): number {
    this.removeExpired(now);
    let wanted = count;
    for (const loan of this.loans) {
      const spent = Math.min(loan.remaining, wanted);
      loan.remaining -= spent;
      wanted -= spent;
      if (wanted <= 0) break;
    }
    this.settleSpentLoans();
    return count - wanted;
  }

  /**
   * Ends all loans and returns their unspent tokens, for example when the instance stops.
   *
   * @param now - current time
   */
  returnAll(now: Milliseconds): void {
    this.removeExpired(now);
    for (const loan of this.loans) this.addSettlement(loan);
    this.loans = [];
  }

  /** @returns settlements to send to the lenders; each is returned once */
  takeSettlements(): Settlement[] {
    const { pendingSettlements } = this;
    this.pendingSettlements = [];
    return pendingSettlements;
  }

  private removeExpired(now: Milliseconds): void {
    if (this.loans.every(({ expiresAt }) => expiresAt > now)) return;
    this.loans = this.loans.filter(({ expiresAt }) => expiresAt > now);
  }

  private settleSpentLoans(): void {
    for (const loan of this.loans) if (loan.remaining <= 0) this.addSettlement(loan);
    this.loans = this.loans.filter(({ remaining }) => remaining > 0);
  }

  private addSettlement(loan: BorrowedLoan): void {
    this.pendingSettlements.push({ lender: loan.lender, loan: loan.id, unspent: loan.remaining });
  }
}
