import { chooseHolders } from '../routing/rendezvous.js';
import type { InstanceId } from '../types/ids.js';

/** Instances that claim a missing coordinator's role one after the other. */
const RANKED_CLAIMANTS = 8;
/** Delay between the claims of two ranks; a claim takes two calls of the store. */
const RANK_DELAY_MS = 250;
/** Maximum random delay among the claims of the instances without a rank. */
const MAX_UNRANKED_JITTER_MS = 1000;
/** Maximum random delay of a ranked claim, since views of the fleet differ. */
const MAX_RANKED_JITTER_MS = 100;

/**
 * Computes how long an instance waits before it claims the role of the coordinator.
 *
 * Load pattern: 195 instances start at once, or lose their coordinator, and each claims the role with
 * three calls of the store, of which one instance's succeed. With ranks, a few of them claim, and the
 * others only if these are gone too.
 *
 * @param self - this instance
 * @param instances - the instances of the fleet
 * @param random - uniform number in [0, 1)
 * @returns the delay in milliseconds
 */
export function computeClaimDelay(
  self: InstanceId,
  instances: Iterable<InstanceId>,
  random: number,
): number {
  const rank = chooseHolders('coordinator', instances, RANKED_CLAIMANTS).indexOf(self);
  if (rank >= 0) return rank * RANK_DELAY_MS + random * MAX_RANKED_JITTER_MS;
  return RANKED_CLAIMANTS * RANK_DELAY_MS + random * MAX_UNRANKED_JITTER_MS;
}
