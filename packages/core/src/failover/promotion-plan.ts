import type { MemberId } from '../types/ids.js';
import { comparePositions, type TermPosition } from '../serving/term-position.js';

/** State of a member after it was ordered to stop receiving and acknowledging commits. */
export interface FencedMember {
  readonly id: MemberId;
  readonly wasPrimary: boolean;
  readonly isDraining: boolean;
  /** Callers are served by listed members only, so these are preferred. */
  readonly isListed: boolean;
  /** Whether its failure domain is evacuated; other members are preferred. */
  readonly isEvacuated?: boolean;
  /** Whether it has just started and accepts few statements; at the same distance, others are preferred. */
  readonly isCold?: boolean;
  /** Distance from most callers, 0 if as near as the old primary; nearer members are preferred. */
  readonly distance: number;
  /** Log position up to which it has received the log; undefined if it could not be fenced. */
  readonly received: TermPosition | undefined;
}

/** Decision about a promotion. */
export type PromotionPlan =
  | { readonly kind: 'promote'; readonly member: MemberId }
  /** No member can be promoted yet without risking an acknowledged commit. */
  | { readonly kind: 'wait'; readonly reason: string };

/**
 * Chooses the member that can be promoted without losing an acknowledged commit.
 *
 * When one replica is enough to acknowledge a commit, every acknowledged commit is held by the
 * primary and by at least one replica. The log of a primary that has stepped down is therefore
 * sufficient. Without the primary, every replica must have promised to receive nothing more; the
 * highest log position that any of them received then covers every acknowledged commit.
 *
 * @param members - all members of the group that may hold acknowledged commits
 * @param syncReplicas - replicas that must have received a commit before it is acknowledged
 * @param mayPromoteEvacuated - whether a member of an evacuated domain may be promoted if no other can
 * @returns the member to promote, or the reason why none can be promoted yet
 */
export function planPromotion(
  members: readonly FencedMember[],
  syncReplicas: number,
  mayPromoteEvacuated = true,
): PromotionPlan {
  const safePosition = findSafePosition(members, syncReplicas);
  if (safePosition === undefined) {
    return { kind: 'wait', reason: 'a member that may hold acknowledged commits is unreachable' };
  }
  const candidates = members.filter(
    ({ received, isDraining, isEvacuated = false }) =>
      !isDraining &&
      (mayPromoteEvacuated || !isEvacuated) &&
      received !== undefined &&
      comparePositions(received, safePosition) >= 0,
  );
  candidates.sort((left, right) => compareCandidates(left, right));
  const [best] = candidates;
  if (best !== undefined) return { kind: 'promote', member: best.id };
  return { kind: 'wait', reason: 'no candidate has received every acknowledged commit' };
}

/** @returns a log position that covers every acknowledged commit, if one can be proven */
function findSafePosition(
  members: readonly FencedMember[],
  syncReplicas: number,
): TermPosition | undefined {
  const primary = members.find(({ wasPrimary }) => wasPrimary);
  if (primary?.received !== undefined) return primary.received;
  const replicas = members.filter(({ wasPrimary }) => !wasPrimary);
  const received = replicas.flatMap(({ received }) => received ?? []);
  // `syncReplicas` replicas hold each acknowledged commit, so fewer than that may be missing.
  const missing = replicas.length - received.length;
  if (received.length === 0 || missing >= Math.max(1, syncReplicas)) return undefined;
  return received.reduce((left, right) => (comparePositions(left, right) >= 0 ? left : right));
}

function compareCandidates(left: FencedMember, right: FencedMember): number {
  if (left.isListed !== right.isListed) return left.isListed ? -1 : 1;
  const { isEvacuated = false } = left;
  if (isEvacuated !== (right.isEvacuated ?? false)) return isEvacuated ? 1 : -1;
  if (left.wasPrimary !== right.wasPrimary) return left.wasPrimary ? 1 : -1;
  if (left.distance !== right.distance) return left.distance - right.distance;
  const { isCold = false } = left;
  if (isCold !== (right.isCold ?? false)) return isCold ? 1 : -1;
  return left.id < right.id ? -1 : 1;
}
