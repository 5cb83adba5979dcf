import {
  type AllowedRegions,
  type GroupId,
  type InstanceId,
  isRegionAllowed,
  type MemberEntry,
} from '@heatherledge/core';
import type { FleetView } from './fleet-view.js';

/**
 * Knows the regions of members and instances. One whose failure domain is not known is in no region, and
 * therefore outside any allowed regions.
 */
export class RegionDirectory {
  /**
   * @param regionByDomain - region of each failure domain
   * @param view - this instance's copy of the store
   */
  constructor(
    private readonly regionByDomain: ReadonlyMap<string, string>,
    private readonly view: FleetView,
  ) {}

  /** @returns the region of a failure domain, if it is known */
  findRegion(failureDomain: string): string | undefined {
    return this.regionByDomain.get(failureDomain);
  }

  /**
   * @param member - the member, or undefined for one that is not listed
   * @param allowed - allowed regions of a request; undefined without a restriction
   * @returns whether the request may be sent to the member
   */
  mayReachMember(member: MemberEntry | undefined, allowed: AllowedRegions | undefined): boolean {
    if (allowed === undefined) return true;
    return member !== undefined && isRegionAllowed(this.findRegion(member.failureDomain), allowed);
  }

  /**
   * @param instance - another instance
   * @param allowed - allowed regions of a request; undefined without a restriction
   * @returns whether the request may be sent to the instance
   */
  mayReachInstance(instance: InstanceId, allowed: AllowedRegions | undefined): boolean {
    if (allowed === undefined) return true;
    const domain = this.view.findDomain(instance);
    return domain !== undefined && isRegionAllowed(this.findRegion(domain), allowed);
  }

  /** @returns the listed members of a group that are in one of the regions */
  listMembers(group: GroupId, allowed: AllowedRegions): MemberEntry[] {
    return [...this.view.members.values()].filter(
      (entry) => entry.group === group && this.mayReachMember(entry, allowed),
    );
  }
}
