import type { DomainInstances } from '../membership/choose-relay.js';
import { chooseHolders } from '../routing/rendezvous.js';
import type { InstanceId, MemberId } from '../types/ids.js';

/** Minimum number of instances that probe a suspected primary, if the fleet has as many. */
const MIN_OBSERVERS = 6;

/**
 * Chooses the instances that probe a suspected primary, spread over all failure domains.
 *
 * Only a member's host sends statements to it, so reports of unanswered statements come from one
 * instance, whatever the size of the fleet. A sample shows whether the primary is unreachable for
 * that host alone, for a part of the fleet or for all, at a cost that does not grow with the fleet.
 *
 * @param member - the suspected primary
 * @param domains - instances of each failure domain
 * @returns the instances to ask
 */
export function chooseObservers(
  member: MemberId,
  domains: Iterable<DomainInstances>,
): InstanceId[] {
  const all = [...domains];
  const perDomain = Math.ceil(MIN_OBSERVERS / Math.max(1, all.length));
  return all.flatMap((domain) => chooseHolders(`observe/${member}`, domain.all, perDomain));
}
