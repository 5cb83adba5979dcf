/** Chooses the member for a read by expected cost: distance, load, and waiting for the log. */
import type { SessionPosition } from '../consistency/session-position.js';
import type { MemberId } from '../types/ids.js';

/** What is known of a member when a read is to be sent. */
export interface ReadCandidate {
  readonly member: MemberId;
  readonly isPrimary: boolean;
  /** One-way latency to the member, in milliseconds. */
  readonly latencyMs: number;
  /** Requests of this instance that run or wait there. */
  readonly load: number;
  /** Connections that this instance may hold there. */
  readonly connections: number;
  /** Last known applied position, if any. */
  readonly applied: SessionPosition | undefined;
  /** Estimated time by which its applied log trails the primary's, in milliseconds. */
  readonly lagMs: number;
}

/** Weights of the parts of a read's expected cost. */
export interface RoutingWeights {
  /** Cost of taking capacity from the primary, in milliseconds. */
  readonly primaryPenaltyMs: number;
  /** Usual time that a request occupies a connection, in milliseconds. */
  readonly serviceMs: number;
  /** Longest wait for a replica that is worth it, in milliseconds. */
  readonly longestWaitMs: number;
}

/** Weights under which an idle replica is preferred until it trails by about 20 ms. */
export const DEFAULT_ROUTING_WEIGHTS: RoutingWeights = {
  primaryPenaltyMs: 20,
  serviceMs: 2,
  longestWaitMs: 100,
};

/** Where to send a read. */
export interface ReadRoute {
  readonly member: MemberId;
  readonly isPrimary: boolean;
  /** How long the member may wait for its log, in milliseconds. */
  readonly waitMs: number;
}

interface RatedCandidate {
  readonly candidate: ReadCandidate;
  readonly costMs: number;
}

/**
 * Orders the members for a read.
 *
 * @param candidates - members that may serve it
 * @param needed - position that the answer must include, if any
 * @param weights - what waiting and the primary's capacity are worth
 * @returns where to try, cheapest first
 */
export function chooseReadRoutes(
  candidates: readonly ReadCandidate[],
  needed: SessionPosition | undefined,
  weights: RoutingWeights,
): ReadRoute[] {
  const rated: RatedCandidate[] = [];
  for (const candidate of candidates) {
    const waitMs = estimateWait(candidate, needed);
    if (waitMs > weights.longestWaitMs) continue;
    rated.push({ candidate, costMs: estimateCost(candidate, waitMs, weights) });
  }
  rated.sort((left, right) => left.costMs - right.costMs);
  return rated.map(({ candidate }) => ({
    member: candidate.member,
    isPrimary: candidate.isPrimary,
    waitMs: candidate.isPrimary ? 0 : weights.longestWaitMs,
  }));
}

function estimateWait(candidate: ReadCandidate, needed: SessionPosition | undefined): number {
  if (candidate.isPrimary || needed === undefined) return 0;
  const { applied } = candidate;
  const reached =
    applied !== undefined && applied.term >= needed.term && applied.position >= needed.position;
  return reached ? 0 : candidate.lagMs;
}

function estimateCost(candidate: ReadCandidate, waitMs: number, weights: RoutingWeights): number {
  const queueMs = (candidate.load / Math.max(1, candidate.connections)) * weights.serviceMs;
  const penaltyMs = candidate.isPrimary ? weights.primaryPenaltyMs : 0;
  return candidate.latencyMs * 2 + queueMs + waitMs + penaltyMs;
}
