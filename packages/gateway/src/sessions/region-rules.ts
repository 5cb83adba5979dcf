import {
  findRegionRefusalReason,
  type InstanceId,
  type MemberId,
  type ReadMemberState,
  type RegionRefusalReason,
} from '@heatherledge/core';
import type { MemberRegistry } from '../members/member-registry.js';
import type { WireError } from '../ports/caller-protocol.js';
import type { Grant } from './grants.js';
import type { SessionServices } from './session-context.js';

type RegionServices = Pick<SessionServices, 'memberRegistry' | 'metrics'>;

const TEXT_BY_REASON: Readonly<Record<RegionRefusalReason, string>> = {
  'no-common-region': 'the route and the organisation have no allowed region in common',
  'no-member': 'no member of the group is in an allowed region',
  'primary-elsewhere': 'the primary is outside the allowed regions',
};

const EVACUATED_TEXT = 'the failure domains of all members in the allowed regions are evacuated';

/**
 * Finds out whether a request must be rejected at once because of its allowed regions, and counts it. What
 * only the primary can run is not checked for evacuations here, since the primary may change meanwhile.
 *
 * @param services - services of the session
 * @param grant - the caller's route and organisation
 * @param access - whether only the primary can run the request; reads of routes with the consistency
 * `latest` need it in any case
 * @returns the error, or undefined if a member in the allowed regions may run the request
 */
export function findRegionRefusal(
  { memberRegistry, metrics }: RegionServices,
  grant: Grant,
  access: 'primary' | 'any',
): WireError | undefined {
  const { allowedRegions: allowed, route } = grant;
  if (allowed === undefined) return undefined;
  const needsPrimary = access === 'primary' || route.consistency === 'latest';
  const primary = memberRegistry.primaryTracker.find(route.group);
  const reason = findRegionRefusalReason(allowed, {
    hasMember: memberRegistry.hosts.regions.listMembers(route.group, allowed).length > 0,
    needsPrimary,
    isPrimaryAllowed:
      primary === undefined ? undefined : mayReachMember(memberRegistry, grant, primary),
  });
  if (reason === undefined) {
    if (needsPrimary || hasUsableMember(memberRegistry, grant)) return undefined;
    metrics.evacuationRefusals.inc({ access: 'read' });
    return { code: 'busy', text: EVACUATED_TEXT };
  }
  metrics.homeRefusals.inc({ reason });
  return { code: 'busy', text: TEXT_BY_REASON[reason] };
}

/**
 * Lists the members of the grant's group that may serve its reads, without those in other regions. If the
 * primary is among those, a sample of its log is requested, without which replicas could not serve.
 */
export function listAllowedReaders(
  { memberRegistry, primarySampler }: Pick<SessionServices, 'memberRegistry' | 'primarySampler'>,
  grant: Grant,
): readonly ReadMemberState[] {
  const readers = memberRegistry.listReaders(grant.route.group, grant.route.priority);
  if (grant.allowedRegions === undefined) return readers;
  const { group } = grant.route;
  const primary = memberRegistry.primaryTracker.find(group);
  if (primary !== undefined && !mayReachMember(memberRegistry, grant, primary)) {
    primarySampler.request(group);
  }
  return readers.filter(({ id }) => mayReachMember(memberRegistry, grant, id));
}

/** Checks whether the allowed regions have a member to which something may be sent. */
function hasUsableMember({ hosts, evacuationGuard }: MemberRegistry, grant: Grant): boolean {
  const { allowedRegions, route } = grant;
  if (allowedRegions === undefined) return true;
  const members = hosts.regions.listMembers(route.group, allowedRegions);
  return members.some((entry) => evacuationGuard.mayUse(entry));
}

/** Checks whether the allowed regions permit a member; one that is not listed is in no region. */
export function mayReachMember(
  memberRegistry: MemberRegistry,
  { allowedRegions: allowed }: Grant,
  member: MemberId,
): boolean {
  if (allowed === undefined) return true;
  return memberRegistry.hosts.regions.mayReachMember(memberRegistry.findEntry(member), allowed);
}

/**
 * Finds out whether an open transaction must end because its allowed regions have changed, and counts it.
 *
 * @param services - services of the session
 * @param grant - the caller's route and organisation
 * @param member - the member at which the transaction is open
 * @param host - the other instance that runs its statements; undefined for this one
 * @returns the error, or undefined if the transaction may go on
 */
export function findTransactionRefusal(
  { memberRegistry, metrics }: RegionServices,
  grant: Grant,
  member: MemberId,
  host: InstanceId | undefined,
): WireError | undefined {
  const { allowedRegions: allowed } = grant;
  if (allowed === undefined) return undefined;
  const isAllowed =
    mayReachMember(memberRegistry, grant, member) &&
    (host === undefined || memberRegistry.hosts.regions.mayReachInstance(host, allowed));
  if (isAllowed) return undefined;
  metrics.homeRefusals.inc({ reason: 'transaction-elsewhere' });
  return { code: 'aborted', text: 'the allowed regions have changed' };
}
