/**
 * Decides which member may take over, so that no acknowledged commit is lost.
 *
 * Where commits are acknowledged once one replica has received them, every acknowledged commit is
 * held by the primary, and by at least one replica. A primary that has stepped down is therefore
 * proof enough by itself. Without it, every replica must have promised to receive nothing more:
 * then the highest place that any of them received covers every acknowledged commit.
 */
import type { MemberId } from '../types/ids.js';
import { compareMarks, type LogMark } from '../serving/log-mark.js';

/** What is known of one member after it was asked to receive or acknowledge nothing more. */
export interface FencedMember {
  readonly id: MemberId;
  readonly wasPrimary: boolean;
  readonly isDraining: boolean;
  /** 0 if it lies as near to most callers as the old primary did. */
  readonly distance: number;
  /** Place up to which it has received the log; undefined if it could not be fenced. */
  readonly received: LogMark | undefined;
}

/** What to do next. */
export type PromotionPlan =
  | { readonly kind: 'promote'; readonly member: MemberId }
  /** A replica has yet to receive what the old primary has acknowledged. */
  | { readonly kind: 'wait'; readonly reason: string };

/**
 * @param members - all members of the group that may hold acknowledged commits
 * @param syncReplicas - replicas that must have received a commit before it is acknowledged
 * @returns whom to promote, or why nobody may be promoted yet
 */
export function planPromotion(
  members: readonly FencedMember[],
  syncReplicas: number,
): PromotionPlan {
  const floor = resolveSafePlace(members, syncReplicas);
  if (floor === undefined) {
    return { kind: 'wait', reason: 'a member that may hold commits is out of reach' };
  }
  const able = members.filter(
    ({ received, isDraining }) =>
      !isDraining && received !== undefined && compareMarks(received, floor) >= 0,
  );
  able.sort((left, right) => compareCandidates(left, right));
  const [best] = able;
  if (best !== undefined) return { kind: 'promote', member: best.id };
  return { kind: 'wait', reason: 'no member that stays has received every commit' };
}

/** @returns a place that covers every acknowledged commit, if there is proof of one */
function resolveSafePlace(
  members: readonly FencedMember[],
  syncReplicas: number,
): LogMark | undefined {
  const primary = members.find(({ wasPrimary }) => wasPrimary);
  if (primary?.received !== undefined) return primary.received;
  const replicas = members.filter(({ wasPrimary }) => !wasPrimary);
  const marks = replicas.flatMap(({ received }) => received ?? []);
  // A commit is held by at least `syncReplicas` of them, so fewer than that may be missing.
  const missing = replicas.length - marks.length;
  if (marks.length === 0 || missing >= Math.max(1, syncReplicas)) return undefined;
  return marks.reduce((left, right) => (compareMarks(left, right) >= 0 ? left : right));
}

function compareCandidates(left: FencedMember, right: FencedMember): number {
  if (left.wasPrimary !== right.wasPrimary) return left.wasPrimary ? 1 : -1;
  if (left.distance !== right.distance) return left.distance - right.distance;
  return left.id < right.id ? -1 : 1;
}
