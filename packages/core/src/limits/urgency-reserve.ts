import type { Milliseconds } from '../types/ids.js';

/** Time constant of the exponentially decaying estimates of demand. */
const DEMAND_SMOOTHING_MS = 1000;
/** Period for which tokens are kept for more urgent requests; a burst of them lasts longer. */
const RESERVE_HORIZON_MS = 500;
/** Part of the burst that may be kept, so that less urgent requests are never shut out by an estimate. */
const MAX_RESERVE_RATIO = 0.5;
/** Priorities that are told apart; higher ones count as the last of these. */
const MAX_PRIORITIES = 8;

/** Refill rate and burst of the share that the reserve is part of. */
export interface ReserveShare {
  /** Tokens added each millisecond. */
  readonly refillRatePerMs: number;
  readonly burst: number;
}

/**
 * Computes how many tokens of an organisation's rate a request leaves for more urgent ones.
 *
 * Load pattern: an organisation sends several times its rate, most of it in its least urgent class.
 * First come, first served gives each class a part by its number of requests, so most of the urgent
 * ones are refused although the rate suffices for all of them.
 */
export class UrgencyReserve {
  /** Demand by priority, in tokens a millisecond. */
  private readonly demandPerMs: number[] = [];

  private updatedAt: Milliseconds | undefined;

  /**
   * Adds demand to the estimate, whether or not it is admitted.
   *
   * @param priority - 0 is the most urgent
   * @param tokens - number of tokens
   * @param now - current time
   */
  recordDemand(priority: number, tokens: number, now: Milliseconds): void {
    this.decay(now);
    const index = toIndex(priority);
    this.demandPerMs[index] = (this.demandPerMs[index] ?? 0) + tokens / DEMAND_SMOOTHING_MS;
  }

  /**
   * @param priority - priority of a request
   * @param share - the share whose tokens it would take
   * @param now - current time
   * @returns tokens that it must leave; 0 while the rate suffices for the whole demand
   */
  computeReserve(priority: number, share: ReserveShare, now: Milliseconds): number {
    this.decay(now);
    let total = 0;
    let moreUrgent = 0;
    this.demandPerMs.forEach((demand, index) => {
      total += demand;
      if (index < toIndex(priority)) moreUrgent += demand;
    });
    if (total <= share.refillRatePerMs) return 0;
    return Math.min(moreUrgent * RESERVE_HORIZON_MS, share.burst * MAX_RESERVE_RATIO);
  }

  private decay(now: Milliseconds): void {
    const factor = Math.exp(-(now - (this.updatedAt ?? now)) / DEMAND_SMOOTHING_MS);
    for (let index = 0; index < this.demandPerMs.length; index += 1) {
      this.demandPerMs[index] = (this.demandPerMs[index] ?? 0) * factor;
    }
    this.updatedAt = now;
  }
}

function toIndex(priority: number): number {
  return Math.min(MAX_PRIORITIES - 1, Math.max(0, Math.floor(priority)));
}
