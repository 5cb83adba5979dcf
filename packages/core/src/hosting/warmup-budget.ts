import type { GroupWarmup } from '../serving/fleet-settings.js';
import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/** Share of the host, and of a standby, a new host and all others together. */
const HOST_SHARE = 1;
const REDUCED_SHARE = 0.25;
/** Largest sum of the shares of instances that see the same fleet: host, standby and all others. */
const MAX_SHARE_SUM = HOST_SHARE + 2 * REDUCED_SHARE;
/** Time within which the previous host learns that another instance is the first in the list. */
const NEW_HOST_PERIOD_MS = 2000;
/**
 * Commands that may be sent at once: a statement with its session's values. The tolerated excess over
 * the pace (slack of 5) covers them. Further ones are preceded by a pause for their tokens, in addition
 * to the pause after the statement, so that no second around it holds more than the pace and these.
 */
const MAX_COMMANDS_AT_ONCE = 4;
/** A member that receives nothing at all could not be probed by statements. */
const MIN_REQUESTS_PER_SECOND = 1;

/** Place of this instance among those that may send to a member. */
export type WarmupPlace =
  | {
      readonly rank: 'host';
      /** When this instance became the first in the list of hosts. */
      readonly since: Milliseconds;
      /** Whether the list was confirmed recently; another instance may be the first otherwise. */
      readonly isConfirmed: boolean;
    }
  | { readonly rank: 'standby' }
  | {
      readonly rank: 'other';
      /** Position of this instance among all listed ones, 0 for the first. */
      readonly index: number;
      /** Listed instances, including this one. */
      readonly instanceCount: number;
    };

/** How this instance may send to a cold member. */
export interface WarmupShare {
  /** Minimum time between two statements, in milliseconds. */
  readonly intervalMs: number;
  /** Recurring part of the time in which one statement may be sent; undefined for any time. */
  readonly turn?: { readonly offsetMs: number; readonly lengthMs: number } | undefined;
}

/** Whether a statement may be sent. */
export type WarmupDecision =
  | { readonly kind: 'granted'; readonly delayMs: number }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/**
 * Resolves the pace of a cold member.
 *
 * @param warmup - how members of its group start
 * @param overshoot - tolerated factor on the pace; the shares add up to no more
 * @returns statements per second that the shares refer to, at least 1
 */
export function resolveWarmupPace(
  { requestsPerSecond }: GroupWarmup,
  overshoot = Infinity,
): number {
  const pace = requestsPerSecond * Math.min(1, overshoot / MAX_SHARE_SUM);
  return pace >= MIN_REQUESTS_PER_SECOND ? pace : MIN_REQUESTS_PER_SECOND;
}

/**
 * Computes the share of this instance in the pace of a cold member.
 *
 * Load pattern: a member returns under full load while instances disagree about its host, or while 71
 * of them reach no host. The shares add up to 1.5 times the pace, whoever answers. With a full token
 * at each of 71 instances, the member could get 71 statements at once, so instances that are neither
 * host nor standby take turns instead, each of the length of one statement at their common share.
 *
 * @param pace - statements per second, from `resolveWarmupPace`
 * @param place - place of this instance
 * @param referenceAt - time from which turns are counted, such as the common end of the warm-up
 * @param now - current time
 */
export function computeWarmupShare(
  pace: number,
  place: WarmupPlace,
  referenceAt: Milliseconds,
  now: Milliseconds,
): WarmupShare {
  const reducedIntervalMs = 1000 / (pace * REDUCED_SHARE);
  switch (place.rank) {
    case 'host': {
      const isFull = place.isConfirmed && now - place.since >= NEW_HOST_PERIOD_MS;
      return { intervalMs: isFull ? 1000 / (pace * HOST_SHARE) : reducedIntervalMs };
    }
    case 'standby':
      return { intervalMs: reducedIntervalMs };
    case 'other': {
      const offsetMs = referenceAt + place.index * reducedIntervalMs;
      const intervalMs = reducedIntervalMs * Math.max(1, place.instanceCount);
      return { intervalMs, turn: { offsetMs, lengthMs: reducedIntervalMs } };
    }
  }
}

/**
 * Limits the statements of this instance to one cold member: a token bucket with a capacity of one,
 * which is empty when the cold state begins.
 */
export class WarmupBudget {
  private lastAt: Milliseconds;

  private lastCost = 1;

  private hasSent = false;

  /** @param startedAt - when the cold state began at this instance */
  constructor(startedAt: Milliseconds) {
    this.lastAt = startedAt;
  }

  /**
   * Reserves the next token, unless it becomes available too late.
   *
   * @param share - share of this instance now
   * @param maxWaitMs - maximum wait for the token, in milliseconds
   * @param now - current time
   * @param cost - commands that are sent to the member together with the statement, including it
   * @returns when the statement may be sent; a refusal reserves nothing
   */
  reserve(share: WarmupShare, maxWaitMs: number, now: Milliseconds, cost = 1): WarmupDecision {
    const decision = this.check(share, maxWaitMs, now, cost);
    if (decision.kind === 'granted') {
      this.lastAt = toMilliseconds(now + decision.delayMs);
      this.lastCost = cost;
      this.hasSent = true;
    }
    return decision;
  }

  /**
   * Checks without a reservation whether a token becomes available in time.
   *
   * @param share - share of this instance now
   * @param maxWaitMs - maximum wait for the token, in milliseconds
   * @param now - current time
   * @param cost - commands that are sent to the member together with the statement, including it
   */
  check(share: WarmupShare, maxWaitMs: number, now: Milliseconds, cost = 1): WarmupDecision {
    const advanceMs = Math.max(0, cost - MAX_COMMANDS_AT_ONCE) * share.intervalMs;
    const delayMs = this.findNext(share, now) + advanceMs - now;
    return delayMs <= Math.max(0, maxWaitMs)
      ? { kind: 'granted', delayMs }
      : { kind: 'refused', retryAfterMs: delayMs };
  }

  private findNext({ intervalMs, turn }: WarmupShare, now: Milliseconds): number {
    if (turn === undefined) return Math.max(now, this.lastAt + intervalMs * this.lastCost);
    const { offsetMs, lengthMs } = turn;
    // Turns move with the estimated end of the warm-up; one instance has at most one turn in half an
    // interval even so.
    const pauseMs = Math.max(lengthMs, intervalMs * (this.lastCost - 0.5));
    const earliest = this.hasSent ? Math.max(now, this.lastAt + pauseMs) : now;
    const elapsedMs = earliest - offsetMs;
    const inTurnMs = elapsedMs - Math.floor(elapsedMs / intervalMs) * intervalMs;
    return inTurnMs < lengthMs ? earliest : earliest + (intervalMs - inTurnMs);
  }
}
