import {
  type Clock,
  comparePositions,
  countAllowingRoutes,
  type FleetSettings,
  type GroupId,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  MisplacementTracker,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { MemberWarmups } from '../members/member-warmups.js';
import type { MemberControl } from './member-control.js';

/**
 * A difference between regions must last this long before the primary is moved, so that settings written
 * shortly after each other cause one switchover. Each switchover interrupts writes for about a second, so
 * there is at most one in 30 s.
 */
const MISPLACEMENT_TIMINGS = {
  minDurationMs: toMilliseconds(2000),
  minIntervalMs: toMilliseconds(30_000),
};
/** Interval at which members are asked whether they have caught up, while none has. */
const CATCH_UP_CHECK_INTERVAL_MS = 500;

/** What tells how well the regions of members fit the routes of their group. */
export interface RegionPlacementServices {
  readonly view: FleetView;
  /** Region of each failure domain; undefined if none is known. */
  readonly regionByDomain?: ReadonlyMap<string, string> | undefined;
}

/** Services needed to find primaries in the wrong region. */
export interface MisplacementServices extends RegionPlacementServices {
  readonly clock: Clock;
  readonly control: MemberControl;
  /** Knows the members that have just started; without it, none counts as cold. */
  readonly memberRegistry?: { readonly warmups: Pick<MemberWarmups, 'isCold'> } | undefined;
}

/**
 * Finds primaries in a region that fewer routes allow than that of another member. The coordinator moves them.
 */
export class MisplacementCheck {
  private readonly tracker = new MisplacementTracker(MISPLACEMENT_TIMINGS);

  private readonly nextCheckAt = new Map<GroupId, Milliseconds>();

  /** Epochs of the primary records that were seen. */
  private readonly seenEpochs = new Map<GroupId, number>();

  constructor(private readonly services: MisplacementServices) {}

  /** Forgets what was seen in an earlier term as the coordinator. */
  clear(): void {
    this.tracker.clear();
  }

  /**
   * Takes the time of a switchover to a better region from the group's record, as every instance sees it,
   * so that a new coordinator does not move the primary again too soon. To be called on all instances.
   *
   * @param group - the group
   */
  observeRecord(group: GroupId): void {
    const record = this.services.view.primaries.get(group)?.value;
    if (record === undefined || this.seenEpochs.get(group) === record.epoch) return;
    this.seenEpochs.set(group, record.epoch);
    if (record.isRegionMove === true) {
      this.tracker.recordSwitchover(group, this.services.clock.now());
    }
  }

  /**
   * Finds out whether a planned switchover to a better region is due. The caller starts it if it is.
   *
   * @param group - the group
   * @param primary - its primary
   * @returns whether a listed member in a region that more routes allow has caught up with the primary
   */
  async needsSwitchover(group: GroupId, primary: MemberEntry): Promise<boolean> {
    const { clock } = this.services;
    const better = this.listBetterMembers(group, primary);
    if (!this.tracker.update(group, better.length > 0, clock.now())) return false;
    if (clock.now() < (this.nextCheckAt.get(group) ?? 0)) return false;
    this.nextCheckAt.set(group, toMilliseconds(clock.now() + CATCH_UP_CHECK_INTERVAL_MS));
    if (!(await this.hasCaughtUp(primary, better))) return false;
    this.tracker.recordSwitchover(group, clock.now());
    return true;
  }

  /** A cold member would get all writes of the group, but accepts few statements. */
  private listBetterMembers(group: GroupId, primary: MemberEntry): MemberEntry[] {
    const { view, memberRegistry } = this.services;
    const { settings } = view;
    if (settings === undefined || !hasRestrictedRoute(settings, group)) return [];
    const current = computeRegionDistance(this.services, group, primary.id);
    return view
      .listMembers(group)
      .filter(
        (entry) =>
          !entry.isDraining &&
          !view.evacuatedDomains.has(entry.failureDomain) &&
          memberRegistry?.warmups.isCold(entry) !== true &&
          computeRegionDistance(this.services, group, entry.id) < current,
      );
  }

  private async hasCaughtUp(
    primary: MemberEntry,
    others: readonly MemberEntry[],
  ): Promise<boolean> {
    const { control } = this.services;
    const status = await control.sendCommand(primary, { kind: 'status' });
    if (status === undefined) return false;
    const statuses = await Promise.all(
      others.map(async (other) => control.sendCommand(other, { kind: 'status' })),
    );
    return statuses.some(
      (other) => other !== undefined && comparePositions(other.received, status.received) >= 0,
    );
  }
}

/**
 * Computes how badly the region of a member fits the routes of its group.
 *
 * @param services - settings, members and regions
 * @param group - the group
 * @param member - the member; one that is not listed is in no region
 * @returns number of the group's routes that do not allow the region; 0 is best
 */
export function computeRegionDistance(
  { view, regionByDomain }: RegionPlacementServices,
  group: GroupId,
  member: MemberId,
): number {
  const { settings } = view;
  if (settings === undefined || !hasRestrictedRoute(settings, group)) return 0;
  const domain = view.members.get(member)?.failureDomain;
  const region = domain === undefined ? undefined : regionByDomain?.get(domain);
  const routes = [...settings.routesByDatabase.values()].filter((route) => route.group === group);
  return routes.length - countAllowingRoutes(settings, group, region);
}

function hasRestrictedRoute(settings: FleetSettings, group: GroupId): boolean {
  for (const route of settings.routesByDatabase.values()) {
    if (route.group === group && route.allowedRegions !== undefined) return true;
  }
  return false;
}
