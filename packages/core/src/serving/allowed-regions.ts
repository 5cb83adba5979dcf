import type { GroupId, Milliseconds, OrganisationId } from '../types/ids.js';
import type { AllowedRegions, FleetSettings, Route } from './fleet-settings.js';

/** Why the allowed regions of a request leave no member that can run it. */
export type RegionRefusalReason =
  /** The route and the organisation have no allowed region in common. */
  | 'no-common-region'
  /** No listed member of the group is in an allowed region. */
  | 'no-member'
  /** Only the primary can run the request, and it is in another region. */
  | 'primary-elsewhere';

/** The members of a group as seen by the allowed regions of a request. */
export interface RegionCandidates {
  /** Whether a listed member of the group is in an allowed region. */
  readonly hasMember: boolean;
  /** Whether only the primary can run the request. */
  readonly needsPrimary: boolean;
  /** Whether the primary is in an allowed region; undefined while the primary is not known. */
  readonly isPrimaryAllowed: boolean | undefined;
}

/**
 * Resolves the allowed regions of a request. If the route and the organisation have allowed regions, both
 * apply.
 *
 * @param settings - the settings in force
 * @param route - the route; its present entry in the settings decides, if there is one
 * @param organisation - the organisation; undefined for callers without a valid key
 * @returns the allowed regions, an empty set if no region is allowed, or undefined without a restriction
 */
export function resolveAllowedRegions(
  settings: FleetSettings,
  route: Route,
  organisation: OrganisationId | undefined,
): AllowedRegions | undefined {
  const { allowedRegions: ofRoute } = settings.routesByDatabase.get(route.database) ?? route;
  // The name of an organisation may be empty.
  const ofOrganisation =
    organisation === undefined
      ? undefined
      : settings.organisations.get(organisation)?.allowedRegions;
  if (ofRoute === undefined || ofOrganisation === undefined) return ofRoute ?? ofOrganisation;
  return new Set([...ofRoute].filter((region) => ofOrganisation.has(region)));
}

/**
 * Checks whether a region may get a request.
 *
 * @param region - region of a member or instance; undefined if its failure domain is in no region
 * @param allowed - allowed regions of the request; undefined without a restriction
 * @returns whether the request may be sent there
 */
export function isRegionAllowed(
  region: string | undefined,
  allowed: AllowedRegions | undefined,
): boolean {
  return allowed === undefined || (region !== undefined && allowed.has(region));
}

/**
 * Finds out whether a restricted request must be rejected at once, since waiting would not help.
 *
 * @param allowed - allowed regions of the request
 * @param candidates - the members of its group
 * @returns the reason, or undefined if a member in the allowed regions may run the request
 */
export function findRegionRefusalReason(
  allowed: AllowedRegions,
  { hasMember, needsPrimary, isPrimaryAllowed }: RegionCandidates,
): RegionRefusalReason | undefined {
  if (allowed.size === 0) return 'no-common-region';
  if (!hasMember) return 'no-member';
  return needsPrimary && isPrimaryAllowed === false ? 'primary-elsewhere' : undefined;
}

/** Checks whether any route or organisation has allowed regions. */
export function hasRegionRestrictions({ routesByDatabase, organisations }: FleetSettings): boolean {
  const entries = [...routesByDatabase.values(), ...organisations.values()];
  return entries.some(({ allowedRegions }) => allowedRegions !== undefined);
}

/**
 * Counts the routes of a group whose requests may be sent to a region.
 *
 * @param settings - the settings in force
 * @param group - the group
 * @param region - the region; undefined if the failure domain is in no region
 * @returns number of routes; routes without a restriction allow every region
 */
export function countAllowingRoutes(
  settings: FleetSettings,
  group: GroupId,
  region: string | undefined,
): number {
  let count = 0;
  for (const route of settings.routesByDatabase.values()) {
    if (route.group === group && isRegionAllowed(region, route.allowedRegions)) count += 1;
  }
  return count;
}

/**
 * Lists the allowed regions that no failure domain has; they remain a restriction.
 *
 * @param settings - the settings
 * @param known - regions of the failure domains
 * @returns names of regions, each once, sorted
 */
export function listUnknownRegions(settings: FleetSettings, known: Iterable<string>): string[] {
  const unknown = new Set<string>();
  for (const { allowedRegions } of [
    ...settings.routesByDatabase.values(),
    ...settings.organisations.values(),
  ]) {
    for (const region of allowedRegions ?? []) unknown.add(region);
  }
  for (const region of known) unknown.delete(region);
  return [...unknown].sort();
}

/** Limits of planned switchovers to members in regions that more routes allow. */
export interface MisplacementTimings {
  /** Time for which another member must have been in a better region without interruption. */
  readonly minDurationMs: Milliseconds;
  /** Minimum time between two such switchovers of one group. */
  readonly minIntervalMs: Milliseconds;
}

/** Decides when a primary has been in the wrong region for long enough to be replaced. */
export class MisplacementTracker {
  private readonly since = new Map<GroupId, Milliseconds>();

  private readonly replacedAt = new Map<GroupId, Milliseconds>();

  constructor(private readonly timings: MisplacementTimings) {}

  /**
   * Updates what is known of a group's primary.
   *
   * @param group - the group
   * @param isMisplaced - whether another member is in a region that more routes allow
   * @param now - current time
   * @returns whether a planned switchover is due
   */
  update(group: GroupId, isMisplaced: boolean, now: Milliseconds): boolean {
    if (!isMisplaced) {
      this.since.delete(group);
      return false;
    }
    const since = this.since.get(group) ?? now;
    this.since.set(group, since);
    if (now - since < this.timings.minDurationMs) return false;
    return now - (this.replacedAt.get(group) ?? -Infinity) >= this.timings.minIntervalMs;
  }

  /** Records that a switchover of the group begins. */
  recordSwitchover(group: GroupId, now: Milliseconds): void {
    this.since.delete(group);
    this.replacedAt.set(group, now);
  }

  /** Forgets since when primaries have been misplaced, when this instance is not the coordinator. */
  clear(): void {
    this.since.clear();
  }
}
