import type { SessionPosition } from '../consistency/session-position.js';
import type { MemberId } from '../types/ids.js';

/** A member that may serve a read, with its current load and lag. */
export interface ReadCandidate {
  readonly member: MemberId;
  readonly isPrimary: boolean;
  /** One-way latency to the member, in milliseconds. */
  readonly latencyMs: number;
  /** Requests of this instance that run or wait at the member. */
  readonly load: number;
  /** Connections that this instance may hold to the member. */
  readonly connections: number;
  /** Last known applied position, if any. */
  readonly applied: SessionPosition | undefined;
  /** Estimated lag of its applied log behind the primary's, in milliseconds. */
  readonly lagMs: number;
}

/** Weights of the expected cost of a read. */
export interface ReadCostWeights {
  /** Cost of taking capacity from the primary, in milliseconds. */
  readonly primaryPenaltyMs: number;
  /** Typical time that a request occupies a connection, in milliseconds. */
  readonly serviceMs: number;
  /** Maximum wait for a replica to catch up, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Weights that prefer an idle replica until it lags by about 20 ms. */
export const DEFAULT_READ_COST_WEIGHTS: ReadCostWeights = {
  primaryPenaltyMs: 20,
  serviceMs: 2,
  maxWaitMs: 100,
};

/** A member to send a read to. */
export interface ReadTarget {
  readonly member: MemberId;
  readonly isPrimary: boolean;
  /** Maximum time that the member may wait for its log to catch up, in milliseconds. */
  readonly waitMs: number;
}

interface ScoredCandidate {
  readonly candidate: ReadCandidate;
  readonly costMs: number;
}

/**
 * Ranks the members for a read by expected cost: latency, load, lag and use of the primary.
 * Replicas that lag by more than the maximum wait are left out.
 *
 * @param candidates - members that may serve the read
 * @param needed - log position that the result must include, if any
 * @param weights - weights of the expected cost
 * @returns members to try, cheapest first
 */
export function chooseReadTargets(
  candidates: readonly ReadCandidate[],
  needed: SessionPosition | undefined,
  weights: ReadCostWeights,
): ReadTarget[] {
  const scored: ScoredCandidate[] = [];
  for (const candidate of candidates) {
    const waitMs = estimateWaitMs(candidate, needed);
    if (waitMs > weights.maxWaitMs) continue;
    scored.push({ candidate, costMs: estimateCostMs(candidate, waitMs, weights) });
  }
  scored.sort((left, right) => left.costMs - right.costMs);
  return scored.map(({ candidate }) => ({
    member: candidate.member,
    isPrimary: candidate.isPrimary,
    waitMs: candidate.isPrimary ? 0 : weights.maxWaitMs,
  }));
}

function estimateWaitMs(candidate: ReadCandidate, needed: SessionPosition | undefined): number {
  if (candidate.isPrimary || needed === undefined) return 0;
  const { applied } = candidate;
  const hasReached =
    applied !== undefined && applied.term >= needed.term && applied.position >= needed.position;
  return hasReached ? 0 : candidate.lagMs;
}

function estimateCostMs(
  candidate: ReadCandidate,
  waitMs: number,
  weights: ReadCostWeights,
): number {
  const queueMs = (candidate.load / Math.max(1, candidate.connections)) * weights.serviceMs;
  const penaltyMs = candidate.isPrimary ? weights.primaryPenaltyMs : 0;
  return candidate.latencyMs * 2 + queueMs + waitMs + penaltyMs;
}
