import { type Brand, type Milliseconds, toBrand, toMilliseconds } from '../types/ids.js';

/** Identifies a loan at its lender. */
export type LoanId = Brand<number, 'LoanId'>;

/** Tokens lent to another instance for a short time; the fields are sent to the borrower. */
export interface Loan {
  readonly id: LoanId;
  readonly tokens: number;
  /** How long the borrower may spend the tokens, counted from when it sent the request. */
  readonly lifeMs: Milliseconds;
}

interface OutstandingLoan {
  readonly tokens: number;
  readonly expiresAt: Milliseconds;
}

/**
 * The lender counts a loan for this many times its lifetime, so that it never expires at the lender
 * before it expires at the borrower: the fastest clock is assumed to run at most this much faster
 * than the slowest.
 */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;
/** Fractions that add up to a whole token may fall short of it by a rounding error. */
const ROUNDING_TOLERANCE_TOKENS = 1e-9;
/** Smaller loans do not justify a message. */
const MIN_LOAN_TOKENS = 0.05;

/**
 * Token bucket for one instance's share of an organisation's rate and burst; its capacity shrinks by
 * the tokens on loan.
 *
 * The shares of all instances add up to the organisation's rate and burst. Tokens are created only
 * here, at the share's rate, and available and lent tokens together never exceed the share's burst.
 * The fleet therefore never admits more than burst + rate * time over any interval.
 */
export class TokenBucket {
  private tokens = 0;

  private ratePerMs = 0;

  private burst = 0;

  private refilledAt: Milliseconds | undefined;

  private nextLoanId = 1;

  private readonly loans = new Map<LoanId, OutstandingLoan>();

  /**
   * @param unusedSince - time since which the first share has filled up without being spent, if
   * known; an instance that has just started has spent nothing since its start
   */
  constructor(private readonly unusedSince?: Milliseconds) {}

  /**
   * Sets the share; drops tokens above the new burst and adds none, except for the first share.
   *
   * @param ratePerSecond - tokens a second
   * @param burst - maximum number of tokens, available and on loan together
   * @param now - current time
   * @param initialTokens - tokens to add to the refill since `unusedSince` when the first share is
   * set
   */
  setShare(ratePerSecond: number, burst: number, now: Milliseconds, initialTokens = 0): void {
    const isFirstShare = this.refilledAt === undefined;
    this.refill(now);
    this.ratePerMs = ratePerSecond / 1000;
    this.burst = burst;
    if (isFirstShare) {
      this.tokens = initialTokens + this.ratePerMs * Math.max(0, now - (this.unusedSince ?? now));
    }
    this.tokens = Math.min(this.tokens, Math.max(0, this.capacity));
  }

  /**
   * @param now - current time
   * @returns available tokens
   */
  countAvailable(now: Milliseconds): number {
    this.refill(now);
    return this.tokens;
  }

  /**
   * Takes a number of tokens, or none if fewer are available.
   *
   * @param count - tokens wanted
   * @param now - current time
   * @returns whether the tokens were taken
   */
  take(count: number, now: Milliseconds): boolean {
    this.refill(now);
    if (this.tokens + Number.EPSILON * 8 < count) return false;
    this.tokens = Math.max(0, this.tokens - count);
    return true;
  }

  /**
   * Takes up to a number of tokens, to be combined with borrowed ones.
   *
   * @param count - tokens wanted
   * @param now - current time
   * @returns tokens taken
   */
  takeUpTo(count: number, now: Milliseconds): number {
    this.refill(now);
    const taken = Math.min(count, this.tokens);
    this.tokens -= taken;
    return taken;
  }

  /**
   * Lends tokens.
   *
   * @param count - tokens requested
   * @param reserve - tokens kept for this instance's own callers
   * @param lifeMs - how long the borrower may spend the loan, counted from when it sent the request
   * @param now - current time
   * @param unit - the loan is a multiple of this number of tokens; 0 for any size
   * @returns the loan, or undefined if too few tokens are left beyond the reserve
   */
  lend(
    count: number,
    reserve: number,
    lifeMs: Milliseconds,
    now: Milliseconds,
    unit = 0,
  ): Loan | undefined {
    this.refill(now);
    const spare = Math.min(count, this.tokens - reserve);
    const tokens = unit > 0 ? Math.floor((spare + ROUNDING_TOLERANCE_TOKENS) / unit) * unit : spare;
    if (tokens < MIN_LOAN_TOKENS) return undefined;
    this.tokens -= tokens;
    const id = toBrand<LoanId>(this.nextLoanId);
    this.nextLoanId += 1;
    this.loans.set(id, {
      tokens,
      expiresAt: toMilliseconds(now + lifeMs * MAX_CLOCK_DRIFT_FACTOR),
    });
    return { id, tokens, lifeMs };
  }

  /**
   * Ends a loan before it expires; the borrower has stopped spending it.
   *
   * @param id - the loan
   * @param unspent - tokens that the borrower returns
   * @param now - current time
   */
  settleLoan(id: LoanId, unspent: number, now: Milliseconds): void {
    this.refill(now);
    const loan = this.loans.get(id);
    if (loan === undefined) return;
    this.loans.delete(id);
    const returned = Math.min(Math.max(0, unspent), loan.tokens);
    this.tokens = Math.min(this.tokens + returned, Math.max(0, this.capacity));
  }

  /** @returns tokens on loan */
  get lent(): number {
    let sum = 0;
    for (const loan of this.loans.values()) sum += loan.tokens;
    return sum;
  }

  /** @returns tokens added each millisecond */
  get refillRatePerMs(): number {
    return this.ratePerMs;
  }

  /** @returns maximum number of tokens, available and on loan together */
  get maxTokens(): number {
    return this.burst;
  }

  private get capacity(): number {
    return this.burst - this.lent;
  }

  private refill(now: Milliseconds): void {
    const lastRefillAt = this.refilledAt ?? now;
    // Refill to the old capacity before expired loans are removed: the capacity that they give back
    // starts to fill only now.
    this.tokens = Math.min(
      Math.max(0, this.capacity),
      this.tokens + Math.max(0, now - lastRefillAt) * this.ratePerMs,
    );
    this.refilledAt = now;
    for (const [id, loan] of this.loans) if (loan.expiresAt <= now) this.loans.delete(id);
  }
}
