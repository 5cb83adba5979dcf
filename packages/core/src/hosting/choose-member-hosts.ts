import { chooseWeightedHolders } from '../routing/rendezvous.js';
import type { InstanceId, MemberId } from '../types/ids.js';

/** Number of instances that may run statements at a member: the host, and the one that replaces it. */
const HOSTS_PER_MEMBER = 2;

/** An instance that may host members. */
export interface HostCandidate {
  readonly id: InstanceId;
  /** Processor capacity in cores. */
  readonly cores: number;
}

/**
 * Chooses the instances that own the connections to a member.
 *
 * Load pattern: 195 instances and 140 organisations share members that accept 90 connections each. A
 * connection belongs to one organisation, so instances that connect by themselves open one for almost
 * every statement, which takes a member's slot as long as the statement does. One host per member
 * keeps the connections open and sees the member's whole queue.
 *
 * @param member - the member
 * @param candidates - the instances in the member's failure domain
 * @returns the host, followed by the instance that takes over while the host cannot be reached
 */
export function chooseMemberHosts(
  member: MemberId,
  candidates: readonly HostCandidate[],
): InstanceId[] {
  const weighted = candidates.map(({ id, cores }) => ({ id, weight: cores }));
  return chooseWeightedHolders(`host/${member}`, weighted, HOSTS_PER_MEMBER);
}
