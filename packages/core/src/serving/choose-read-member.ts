import type { MemberId, Milliseconds } from '../types/ids.js';
import { chooseLaterPosition, comparePositions, type TermPosition } from './term-position.js';
import type { Route } from './fleet-settings.js';

/** State of a member by which an instance chooses the member for a read. */
export interface ReadMemberState {
  readonly id: MemberId;
  readonly isPrimary: boolean;
  readonly isDraining: boolean;
  /** 0 in the instance's own failure domain, 1 in its region, 2 elsewhere. */
  readonly distance: number;
  /** Statements that are queued for or running at the member. */
  readonly pending: number;
  /** Statements that the member runs concurrently; 2 if left out. */
  readonly slots?: number;
  /** Mean time of statements of the read's priority at the member; undefined if it is not known. */
  readonly statementMs?: number | undefined;
  /** Time until which the member is avoided after a failure. */
  readonly avoidUntil: Milliseconds;
  /** Latest log position that the member reported; undefined if none. */
  readonly reportedPosition: TermPosition | undefined;
  /** Time until which the member counts as lagging after it refused a read. */
  readonly laggingUntil: Milliseconds;
  /** Fraction of the recent statements that failed at the member, 0 to 1. */
  readonly failureRatio: number;
  /** Whether the member started recently, and accepts only few statements. */
  readonly isCold?: boolean | undefined;
}

/** The member chosen for a read, and the log position that it has to reach first. */
export interface ReadPlacement {
  readonly member: MemberId;
  /** Undefined at the primary, which holds every commit. */
  readonly waitFor: TermPosition | undefined;
}

/** Requirements of one read. */
export interface ReadRequirements {
  readonly route: Route;
  /** Position of the session's own last commit, if any. */
  readonly sessionPosition: TermPosition | undefined;
  /** Position that includes every commit older than the route's maximum age, if one is known. */
  readonly stalenessPosition: TermPosition | undefined;
  /** Members already tried for this read. */
  readonly tried: ReadonlySet<MemberId>;
  /** Whether only the primary can run the read: it is too long to be sent with a log position. */
  readonly needsPrimary?: boolean;
}

/** Mean time of a read at a member that is not slow, in milliseconds. */
const USUAL_STATEMENT_MS = 9;
/**
 * A member counts as slow if its statements take this many times as long as at the others of its group. The
 * times of single statements vary by more than their mean, so that smaller differences of means say little;
 * following them sends reads to other regions for no gain.
 */
const MIN_SLOW_RATIO = 2;
const DEFAULT_SLOTS = 2;
/**
 * Cost of one step of distance, in milliseconds. A round trip between regions, two steps, takes 24 ms;
 * about half of it counts, since links between regions are also the way of a member's log.
 */
const DISTANCE_COST_MS = 6.75;
/** Makes a draining member the last choice. */
const DRAINING_PENALTY_MS = 4500;
/** A member that failed recently, or probably lags, is used only if no other member is left. */
const AVOIDED_PENALTY_MS = 450;
/**
 * Cost of a cold member: about the longest queue that a member accepts (0.7 of an objective of 400 ms,
 * in milliseconds), so that a cold one is used once the warm ones are full. It is below that of
 * a member that failed or lags, which would probably refuse.
 */
const COLD_PENALTY_MS = 270;
/** A member already tried for this read is used only after every other one. */
const TRIED_PENALTY_MS = 1350;
/**
 * Cost of a member that fails every statement, in milliseconds. At a tenth of failures the cost equals
 * that of two steps of distance.
 */
const FAILURE_RATIO_COST_MS = 135;
/** Prefers replicas for reads, to keep the primary free for the work that only it can do. */
const PRIMARY_COST_MS = 2.25;

/**
 * Resolves the position that a replica's log must have reached to serve a read.
 *
 * @returns the position, or undefined if no replica may serve the read
 */
export function resolveRequiredPosition(requirements: ReadRequirements): TermPosition | undefined {
  const { route, stalenessPosition, sessionPosition, needsPrimary = false } = requirements;
  if (needsPrimary) return undefined;
  if (route.consistency === 'latest' || stalenessPosition === undefined) return undefined;
  return route.consistency === 'session'
    ? chooseLaterPosition(stalenessPosition, sessionPosition)
    : stalenessPosition;
}

/**
 * Chooses the member for a read: the nearest one with a short queue and a recent enough log.
 *
 * Under many reads that allow some staleness and few writes, replicas near the caller serve the
 * reads, and the primary's slots stay free for the statements that only it can run. A member that takes
 * several times as long as the others gets few reads although its queue is short.
 *
 * @param members - members that may be used
 * @param requirements - requirements of the read
 * @param now - current time
 * @returns the placement, or undefined if no member can serve the read now
 */
export function chooseReadMember(
  members: readonly ReadMemberState[],
  requirements: ReadRequirements,
  now: Milliseconds,
): ReadPlacement | undefined {
  const waitFor = resolveRequiredPosition(requirements);
  const typicalMs = computeTypicalMs(members);
  let best: ReadPlacement | undefined;
  let bestCost = Infinity;
  for (const member of members) {
    if (!member.isPrimary && waitFor === undefined) continue;
    const cost = estimateCostMs(member, typicalMs, requirements, waitFor, now);
    if (cost < bestCost) {
      bestCost = cost;
      best = { member: member.id, waitFor: member.isPrimary ? undefined : waitFor };
    }
  }
  return best;
}

/** @returns the median of the known statement times, the lower one of two; undefined if none is known */
function computeTypicalMs(members: readonly ReadMemberState[]): number | undefined {
  const known = members.flatMap(({ statementMs }) => statementMs ?? []);
  known.sort((left, right) => left - right);
  return known[Math.floor((known.length - 1) / 2)];
}

/** @returns how many times as long statements take at a member as at the others; 1 unless it is slow */
function computeSlowRatio(statementMs: number | undefined, typicalMs: number | undefined): number {
  if (statementMs === undefined || typicalMs === undefined || typicalMs <= 0) return 1;
  const ratio = statementMs / typicalMs;
  return ratio < MIN_SLOW_RATIO ? 1 : ratio;
}

/** Estimates the cost of a read at a member in milliseconds: its queue, its speed and its distance. */
function estimateCostMs(
  member: ReadMemberState,
  typicalMs: number | undefined,
  requirements: ReadRequirements,
  waitFor: TermPosition | undefined,
  now: Milliseconds,
): number {
  const { slots = DEFAULT_SLOTS } = member;
  const slowRatio = computeSlowRatio(member.statementMs, typicalMs);
  let cost = (member.pending / slots) * USUAL_STATEMENT_MS * slowRatio;
  cost += USUAL_STATEMENT_MS * (slowRatio - 1);
  cost += member.distance * DISTANCE_COST_MS;
  cost += member.failureRatio * FAILURE_RATIO_COST_MS;
  if (member.isPrimary) cost += PRIMARY_COST_MS;
  else if (isLikelyLagging(member, waitFor, now)) cost += AVOIDED_PENALTY_MS;
  if (member.isDraining) cost += DRAINING_PENALTY_MS;
  if (member.isCold === true) cost += COLD_PENALTY_MS;
  if (member.avoidUntil > now) cost += AVOIDED_PENALTY_MS;
  if (requirements.tried.has(member.id)) cost += TRIED_PENALTY_MS;
  return cost;
}

function isLikelyLagging(
  member: ReadMemberState,
  waitFor: TermPosition | undefined,
  now: Milliseconds,
): boolean {
  if (waitFor === undefined || member.laggingUntil <= now) return false;
  return (
    member.reportedPosition === undefined || comparePositions(member.reportedPosition, waitFor) < 0
  );
}
