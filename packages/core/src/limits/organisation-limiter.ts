import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import { BorrowedTokens, type Settlement } from './borrowed-tokens.js';
import { type Loan, type LoanId, TokenBucket } from './token-bucket.js';

/** Settings for token loans and for the demand estimate on which they are based. */
export interface LoanTimings {
  /** How long a borrower may spend a loan, counted from when it sent the request. */
  readonly loanTtlMs: Milliseconds;
  /** Period ahead for which an instance keeps or borrows enough tokens to meet its demand. */
  readonly demandHorizonMs: Milliseconds;
  /** Time constant of the exponentially decaying demand estimate. */
  readonly demandSmoothingMs: Milliseconds;
  /**
   * Loans are multiples of this number of tokens; loans of any size if left out. Where many
   * instances borrow from one lender, fractional loans would scatter its tokens until no instance
   * holds a whole one.
   */
  readonly loanUnitTokens?: number;
}

/** Timings for one-way latencies of up to 12 ms between regions. */
export const DEFAULT_LOAN_TIMINGS: LoanTimings = {
  loanTtlMs: toMilliseconds(1000),
  demandHorizonMs: toMilliseconds(150),
  demandSmoothingMs: toMilliseconds(400),
};

/** A lender's response to a loan request; its fields are sent to the borrower. */
export interface LoanOffer {
  readonly loan: Loan | undefined;
  /** Tokens that the lender could still lend; borrowers use it to choose the next lender. */
  readonly spare: number;
}

/**
 * Admits requests of one organisation at one instance, with the tokens of the instance's own share
 * of the rate and with tokens borrowed from other instances.
 */
export class OrganisationLimiter {
  private readonly bucket: TokenBucket;

  private readonly borrowedTokens = new BorrowedTokens();

  private demandPerMs = 0;

  private demandUpdatedAt: Milliseconds | undefined;

  /**
   * @param timings - settings for loans and the demand estimate
   * @param unusedSince - time since which no token of this instance's share was spent, if known
   */
  constructor(
    private readonly timings: LoanTimings,
    unusedSince?: Milliseconds,
  ) {
    this.bucket = new TokenBucket(unusedSince);
  }

  /**
   * Sets this instance's share of the rate and burst.
   *
   * @param ratePerSecond - share of the rate
   * @param burst - share of the burst
   * @param now - current time
   * @param initialTokens - tokens available at once when the first share is set
   */
  setShare(ratePerSecond: number, burst: number, now: Milliseconds, initialTokens = 0): void {
    this.bucket.setShare(ratePerSecond, burst, now, initialTokens);
  }

  /**
   * Adds an arrived request to the demand estimate, whether or not it will be admitted.
   *
   * @param now - current time
   */
  recordDemand(now: Milliseconds): void {
    this.decayDemand(now);
    this.demandPerMs += 1 / this.timings.demandSmoothingMs;
  }

  /**
   * Admits one request if a whole token is available; spends borrowed tokens first.
   *
   * @param now - current time
   * @param reserve - tokens of the instance's own share that the request leaves for others
   * @returns whether the request may run
   */
  admit(now: Milliseconds, reserve = 0): boolean {
    const borrowed = this.borrowedTokens.countAvailable(now);
    const total = borrowed + Math.max(0, this.bucket.countAvailable(now) - reserve);
    // Fractions that add up to one token may fall short of it by a rounding error.
    if (total < 1 - 1e-9) return false;
    const spentBorrowed = this.borrowedTokens.takeUpTo(1, now);
    this.bucket.takeUpTo(1 - spentBorrowed, now);
    return true;
  }

  /**
   * Computes how many tokens to borrow, from waiting requests and from the demand expected within
   * the horizon.
   *
   * @param waiting - number of requests that wait for a token
   * @param now - current time
   * @returns tokens to borrow; if no request waits, 0 unless more than half of the expected demand
   * is missing
   */
  computeShortfall(waiting: number, now: Milliseconds): number {
    this.decayDemand(now);
    const { demandHorizonMs } = this.timings;
    const expectedDemand = this.demandPerMs * demandHorizonMs;
    const expectedRefill = this.bucket.refillRatePerMs * demandHorizonMs;
    const available = this.borrowedTokens.countAvailable(now) + this.bucket.countAvailable(now);
    const target = waiting + (this.demandPerMs > 0 ? expectedDemand : 0) - expectedRefill;
    const shortfall = target - available;
    if (waiting > 0) return Math.max(shortfall, waiting - available, 0);
    return shortfall > expectedDemand / 2 ? shortfall : 0;
  }

  /**
   * Lends tokens beyond those that this instance's own callers are expected to need within the
   * horizon.
   *
   * @param count - tokens requested
   * @param now - current time
   * @param urgentReserve - tokens kept for requests that are more urgent than the borrower's
   * @returns the loan, if any, and the tokens that could still be lent
   */
  lend(count: number, now: Milliseconds, urgentReserve = 0): LoanOffer {
    this.decayDemand(now);
    const reserve = Math.max(this.demandPerMs * this.timings.demandHorizonMs, urgentReserve);
    const { loanTtlMs, loanUnitTokens } = this.timings;
    const loan = this.bucket.lend(count, reserve, loanTtlMs, now, loanUnitTokens);
    return { loan, spare: Math.max(0, this.bucket.countAvailable(now) - reserve) };
  }

  /**
   * Adds a loan that another instance has granted.
   *
   * @param lender - instance that granted the loan
   * @param loan - the loan
   * @param requestedAt - time at which the loan request was sent
   * @param now - current time
   */
  addLoan(lender: InstanceId, loan: Loan, requestedAt: Milliseconds, now: Milliseconds): void {
    this.borrowedTokens.addLoan(lender, loan, requestedAt, now);
  }

  /**
   * Ends a loan that this instance has granted.
   *
   * @param id - the loan
   * @param unspent - tokens that the borrower returns
   * @param now - current time
   */
  settleLoan(id: LoanId, unspent: number, now: Milliseconds): void {
    this.bucket.settleLoan(id, unspent, now);
  }

  /**
   * Ends all loans from other instances; the next settlements return their unspent tokens.
   *
   * @param now - current time
   */
  returnLoans(now: Milliseconds): void {
    this.borrowedTokens.returnAll(now);
  }

  /** @returns refill rate and burst of this instance's share */
  get share(): { readonly refillRatePerMs: number; readonly burst: number } {
    return { refillRatePerMs: this.bucket.refillRatePerMs, burst: this.bucket.maxTokens };
  }

  /** @returns settlements to send to the lenders; each is returned once */
  takeSettlements(): Settlement[] {
    return this.borrowedTokens.takeSettlements();
  }

  /**
   * Computes when a retry may succeed, for the hint in a refusal.
   *
   * @param now - current time
   * @returns milliseconds until a whole token is available at the refill rate of this instance's
   * share, at most 60 s; 1 s if that rate is 0
   */
  computeRetryAfterMs(now: Milliseconds): number {
    const missing = 1 - this.bucket.countAvailable(now) - this.borrowedTokens.countAvailable(now);
    if (missing <= 0) return 0;
    const rate = this.bucket.refillRatePerMs;
    return rate > 0 ? Math.min(missing / rate, 60_000) : 1000;
  }

  /**
   * @param now - current time
   * @returns token counts and demand for the state dump
   */
  describe(now: Milliseconds): LimiterState {
    this.decayDemand(now);
    return {
      own: this.bucket.countAvailable(now),
      borrowed: this.borrowedTokens.countAvailable(now),
      lent: this.bucket.lent,
      demandPerSecond: this.demandPerMs * 1000,
    };
  }

  private decayDemand(now: Milliseconds): void {
    const elapsed = now - (this.demandUpdatedAt ?? now);
    this.demandPerMs *= Math.exp(-elapsed / this.timings.demandSmoothingMs);
    this.demandUpdatedAt = now;
  }
}

/** State of a limiter as written to the state dump. */
export interface LimiterState {
  /** Available tokens of the instance's own share. */
  readonly own: number;
  /** Borrowed tokens that may be spent. */
  readonly borrowed: number;
  /** Tokens on loan to other instances. */
  readonly lent: number;
  /** Estimated arrival rate of requests, whether admitted or not. */
  readonly demandPerSecond: number;
}
