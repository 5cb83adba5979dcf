/** Tokens borrowed from other instances, spent before they lapse. */
import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { Loan, LoanId } from './token-slice.js';

/** A loan that is over for the borrower. */
export interface Settlement {
  readonly lender: InstanceId;
  readonly loan: LoanId;
  readonly unspent: number;
}

interface HeldLoan {
  readonly lender: InstanceId;
  readonly id: LoanId;
  readonly lapsesAt: Milliseconds;
  left: number;
}

/** The loans that one instance holds for one organisation. */
export class LoanWallet {
  private loans: HeldLoan[] = [];

  private settled: Settlement[] = [];

  /**
   * @param lender - who gave it
   * @param loan - what was given
   * @param askedAt - when it was asked for; its life counts from then
   * @param now - present moment
   */
  add(lender: InstanceId, loan: Loan, askedAt: Milliseconds, now: Milliseconds): void {
    const lapsesAt = toMilliseconds(askedAt + loan.lifeMs);
    if (lapsesAt <= now) return;
    this.loans.push({ lender, id: loan.id, lapsesAt, left: loan.tokens });
    this.loans.sort((left, right) => left.lapsesAt - right.lapsesAt);
  }

  /**
   * @param now - present moment
   * @returns tokens that may be spent now
   */
  available(now: Milliseconds): number {
    this.dropLapsed(now);
    let sum = 0;
    for (const loan of this.loans) sum += loan.left;
    return sum;
  }

  /**
   * Spends up to a number of tokens, those that lapse first before the others.
   *
   * @param count - tokens wanted
   * @param now - present moment
   * @returns tokens spent
   */
  takeUpTo(count: number, now: Milliseconds): number {
    this.dropLapsed(now);
    let wanted = count;
    for (const loan of this.loans) {
      const spent = Math.min(loan.left, wanted);
      loan.left -= spent;
      wanted -= spent;
      if (wanted <= 0) break;
    }
    this.settleSpent();
    return count - wanted;
  }

  /**
   * Gives back everything, for instance when callers have gone or the instance stops.
   *
   * @param now - present moment
   */
  returnAll(now: Milliseconds): void {
    this.dropLapsed(now);
    for (const loan of this.loans) this.addSettlement(loan);
    this.loans = [];
  }

  /** @returns settlements to be told to the lenders, each once */
  takeSettlements(): Settlement[] {
    const { settled } = this;
    this.settled = [];
    return settled;
  }

  private dropLapsed(now: Milliseconds): void {
    if (this.loans.every(({ lapsesAt }) => lapsesAt > now)) return;
    this.loans = this.loans.filter(({ lapsesAt }) => lapsesAt > now);
  }

  private settleSpent(): void {
    for (const loan of this.loans) if (loan.left <= 0) this.addSettlement(loan);
    this.loans = this.loans.filter(({ left }) => left > 0);
  }

  private addSettlement(loan: HeldLoan): void {
    this.settled.push({ lender: loan.lender, loan: loan.id, unspent: loan.left });
  }
}
