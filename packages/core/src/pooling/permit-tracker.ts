import { type Brand, type Milliseconds, toBrand, toMilliseconds } from '../types/ids.js';

/** Identifies a lent permit at its lender. */
export type PermitLoanId = Brand<number, 'PermitLoanId'>;

/** A permit lent to another instance; sent to the borrower. */
export interface PermitLoan {
  readonly id: PermitLoanId;
  /** How long the borrower may use the permit, counted from its request. */
  readonly lifeMs: Milliseconds;
}

/**
 * Factor by which the lender counts a loan for longer than the borrower, to allow for differences
 * between clocks and for the time to close the connection.
 */
const LENDER_TTL_FACTOR = 1.2;

/**
 * Tracks one instance's share of the connections that the whole fleet may hold to a member.
 *
 * A permit allows one connection. It belongs to one slot, and so to the slot's owner, which may
 * lend it for a short time. The lender counts a loan for longer than the borrower, so a permit is
 * never used twice.
 */
export class PermitTracker {
  private owned = 0;

  private nextLoanId = 1;

  private readonly lentUntil = new Map<PermitLoanId, Milliseconds>();

  private readonly borrowedUntil: Milliseconds[] = [];

  /** @param loanTtlMs - how long a permit is lent, in milliseconds */
  constructor(private readonly loanTtlMs: Milliseconds) {}

  /** @param owned - number of permits of the slots that this instance owns */
  setOwned(owned: number): void {
    this.owned = owned;
  }

  /**
   * Removes expired loans and computes the usable permits.
   *
   * @param now - current time
   * @returns maximum connections that may be open now
   */
  computePermits(now: Milliseconds): number {
    for (const [id, until] of this.lentUntil) if (until <= now) this.lentUntil.delete(id);
    const borrowed = this.borrowedUntil.filter((until) => until > now).length;
    return Math.max(0, this.owned - this.lentUntil.size) + borrowed;
  }

  /**
   * Lends a permit.
   *
   * @param inUse - connections of this instance that are busy or waited for
   * @param borrowerPermits - permits that the borrower has
   * @param now - current time
   * @returns the loan, or undefined if no permit can be lent
   */
  lend(inUse: number, borrowerPermits: number, now: Milliseconds): PermitLoan | undefined {
    this.computePermits(now);
    const unlent = this.owned - this.lentUntil.size;
    const hasSpare = unlent > inUse;
    // A borrower without a permit can serve no request, so it is lent a permit even if all are in
    // use here, provided that this instance keeps at least one.
    const hasPriorityBorrower = borrowerPermits === 0 && unlent >= 2;
    if (unlent <= 0 || (!hasSpare && !hasPriorityBorrower)) return undefined;
    const id = toBrand<PermitLoanId>(this.nextLoanId);
    this.nextLoanId += 1;
    this.lentUntil.set(id, toMilliseconds(now + this.loanTtlMs * LENDER_TTL_FACTOR));
    return { id, lifeMs: this.loanTtlMs };
  }

  /**
   * Adds a borrowed permit.
   *
   * @param loan - the loan
   * @param requestedAt - time of the request, from which the loan's lifetime counts
   */
  borrow(loan: PermitLoan, requestedAt: Milliseconds): void {
    this.borrowedUntil.push(toMilliseconds(requestedAt + loan.lifeMs));
    if (this.borrowedUntil.length > MAX_TRACKED_LOANS) this.borrowedUntil.shift();
  }

  /**
   * @param now - current time
   * @returns number of borrowed permits with more than half of their lifetime left
   */
  countLastingLoans(now: Milliseconds): number {
    return this.borrowedUntil.filter((until) => until - now > this.loanTtlMs / 2).length;
  }

  /** @returns number of permits of the slots that this instance owns */
  get ownedPermits(): number {
    return this.owned;
  }
}

/** Maximum number of borrowed permits that are tracked. */
const MAX_TRACKED_LOANS = 64;

/**
 * Divides a member's connections among the slots and counts the permits of some slots.
 *
 * @param connections - connections that the whole fleet may hold to the member
 * @param slotCount - number of slots
 * @param offset - rotates the division, so that not all members favour the same slots
 * @param ownedSlots - slots whose permits are counted
 * @returns number of permits of those slots
 */
export function countPermits(
  connections: number,
  slotCount: number,
  offset: number,
  ownedSlots: readonly number[],
): number {
  const held = new Set(ownedSlots);
  let permits = 0;
  for (let index = 0; index < connections; index += 1) {
    const slot = (Math.floor((index * slotCount) / connections) + offset) % slotCount;
    if (held.has(slot)) permits += 1;
  }
  return permits;
}
