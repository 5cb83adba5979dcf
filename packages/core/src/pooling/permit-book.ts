/**
 * One instance's part of the connections that the whole fleet may hold to a member.
 *
 * Each permit belongs to one slot, and so to the slot's holder, who may lend it for a short time.
 * A lender counts a loan for longer than the borrower, so a permit is never used twice.
 */
import { type Brand, type Milliseconds, toBrand, toMilliseconds } from '../types/ids.js';

/** Names a lent permit for its lender. */
export type PermitLoanId = Brand<number, 'PermitLoanId'>;

/** A permit lent to another instance. */
export interface PermitLoan {
  readonly id: PermitLoanId;
  /** The borrower may keep a connection for this long after it asked. */
  readonly lifeMs: Milliseconds;
}

/** How much longer than the borrower a lender counts a loan: for clocks, and to close in time. */
const LENDER_FACTOR = 1.2;

/** Permits of one member at one instance. */
export class PermitBook {
  private owned = 0;

  private nextId = 1;

  private readonly lentUntil = new Map<PermitLoanId, Milliseconds>();

  private readonly borrowedUntil: Milliseconds[] = [];

  /** @param lifeMs - how long a permit is lent */
  constructor(private readonly lifeMs: Milliseconds) {}

  /** @param owned - permits of the slots that this instance holds */
  setOwned(owned: number): void {
    this.owned = owned;
  }

  /**
   * @param now - present moment
   * @returns most connections that may be open now
   */
  resolve(now: Milliseconds): number {
    for (const [id, until] of this.lentUntil) if (until <= now) this.lentUntil.delete(id);
    const borrowed = this.borrowedUntil.filter((until) => until > now).length;
    return Math.max(0, this.owned - this.lentUntil.size) + borrowed;
  }

  /**
   * Lends a permit.
   *
   * @param inUse - connections that are busy or waited for here
   * @param askerHas - permits that the asker has
   * @param now - present moment
   * @returns the loan, or undefined if none can be spared
   */
  lend(inUse: number, askerHas: number, now: Milliseconds): PermitLoan | undefined {
    this.resolve(now);
    const own = this.owned - this.lentUntil.size;
    const isSpare = own > inUse;
    // An instance without any connection can serve nobody, so it comes before a second one here.
    const isNeedier = askerHas === 0 && own >= 2;
    if (own <= 0 || (!isSpare && !isNeedier)) return undefined;
    const id = toBrand<PermitLoanId>(this.nextId);
    this.nextId += 1;
    this.lentUntil.set(id, toMilliseconds(now + this.lifeMs * LENDER_FACTOR));
    return { id, lifeMs: this.lifeMs };
  }

  /**
   * @param loan - what was lent
   * @param askedAt - when it was asked for; its life counts from then
   */
  borrow(loan: PermitLoan, askedAt: Milliseconds): void {
    this.borrowedUntil.push(toMilliseconds(askedAt + loan.lifeMs));
    if (this.borrowedUntil.length > MOST_REMEMBERED) this.borrowedUntil.shift();
  }

  /**
   * @param now - present moment
   * @returns permits borrowed that will last for at least half of their life
   */
  resolveLasting(now: Milliseconds): number {
    return this.borrowedUntil.filter((until) => until - now > this.lifeMs / 2).length;
  }

  /** @returns permits of this instance's own slots */
  get ownedPermits(): number {
    return this.owned;
  }
}

const MOST_REMEMBERED = 64;

/**
 * Divides a member's connections among the slots.
 *
 * @param connections - connections that the whole fleet may hold
 * @param slotCount - number of slots
 * @param offset - rotates the division, so that members do not all favour the same slots
 * @param owned - slots held
 * @returns permits of those slots
 */
export function countPermits(
  connections: number,
  slotCount: number,
  offset: number,
  owned: readonly number[],
): number {
  const held = new Set(owned);
  let permits = 0;
  for (let index = 0; index < connections; index += 1) {
    const slot = (Math.floor((index * slotCount) / connections) + offset) % slotCount;
    if (held.has(slot)) permits += 1;
  }
  return permits;
}
