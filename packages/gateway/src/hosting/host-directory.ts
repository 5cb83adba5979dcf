import {
  type AllowedRegions,
  chooseMemberHosts,
  type Clock,
  type ConnectionBudget,
  HostAvailability,
  type HostCandidate,
  type HostRank,
  hasRegionRestrictions,
  type InstanceId,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  resolveConnectionBudget,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import { RegionDirectory } from '../fleet/region-directory.js';

/**
 * Limits by which a host is taken for unavailable. A round trip between regions takes 24 ms, and a
 * host with a third of a core may pause for a tenth of a second.
 */
const HOST_AVAILABILITY_TIMINGS = {
  pingAfterMs: toMilliseconds(100),
  silenceTimeoutMs: toMilliseconds(350),
  retryDelayMs: toMilliseconds(250),
  leavingTtlMs: toMilliseconds(10_000),
};
/** Time for which the standby is used for a member that the host cannot serve. */
const MEMBER_RETRY_DELAY_MS = 1000;

/**
 * Knows the host and the standby of each member, and which of them answer. Instances agree on them
 * while they see the same fleet; a member's connection limit holds in any case.
 */
export class HostDirectory {
  readonly availability = new HostAvailability(HOST_AVAILABILITY_TIMINGS);

  private readonly hostsByMember = new Map<MemberId, readonly InstanceId[]>();

  /** Members that a host could not serve, as `host/member`, with the time of the next attempt. */
  private readonly unservedUntil = new Map<string, Milliseconds>();

  private candidatesByDomain: ReadonlyMap<string, readonly HostCandidate[]> | undefined;

  /** Whether any route or organisation has allowed regions. */
  private hasRestrictions = false;

  /** Regions of members and instances. */
  readonly regions: RegionDirectory;

  /**
   * @param self - this instance
   * @param view - this instance's copy of the store
   * @param clock - source of time
   * @param regionByDomain - region of each failure domain; without it, no member or other instance is in
   * an allowed region
   */
  constructor(
    private readonly self: InstanceId,
    private readonly view: FleetView,
    private readonly clock: Clock,
    regionByDomain: ReadonlyMap<string, string> = new Map(),
  ) {
    this.regions = new RegionDirectory(regionByDomain, view);
    view.onChange(({ instances, members, settings }) => {
      if (members) this.removeUnlistedMembers();
      if (settings) this.applySettings();
      if (!instances) return;
      this.candidatesByDomain = undefined;
      this.hostsByMember.clear();
      this.availability.removeUnlisted((host) => view.instances.has(host));
    });
  }

  /**
   * Finds the instance that runs statements at a member now.
   *
   * @param entry - the member
   * @param allowed - regions whose instances may get the statement; undefined for all
   * @returns this instance or another one; this instance if it may use neither host nor standby
   */
  findHost(entry: MemberEntry, allowed?: AllowedRegions): InstanceId {
    const now = this.clock.now();
    const available = this.listHosts(entry).find(
      (host) =>
        this.mayUse(host, entry.id, now) &&
        (host === this.self || this.regions.mayReachInstance(host, allowed)),
    );
    return available ?? this.self;
  }

  /** @returns limits for the connections that this instance opens and keeps to a member */
  computeBudget(entry: MemberEntry): ConnectionBudget {
    const memberLimit = this.view.settings?.groups.get(entry.group)?.maxConnections ?? 0;
    return resolveConnectionBudget(memberLimit, this.resolveRank(entry));
  }

  /**
   * Records that a host cannot serve a member; the next one is used for it for a while.
   *
   * @returns whether that was not known yet
   */
  recordUnservedMember(host: InstanceId, member: MemberId): boolean {
    const now = this.clock.now();
    const pair = formatPair(host, member);
    const isNew = (this.unservedUntil.get(pair) ?? 0) <= now;
    this.unservedUntil.set(pair, toMilliseconds(now + MEMBER_RETRY_DELAY_MS));
    return isNew;
  }

  /**
   * @param entry - a member
   * @returns its host, followed by its standby
   */
  listHosts(entry: MemberEntry): readonly InstanceId[] {
    const known = this.hostsByMember.get(entry.id);
    if (known !== undefined) return known;
    const hosts = chooseMemberHosts(entry.id, this.listCandidates(entry));
    this.hostsByMember.set(entry.id, hosts);
    return hosts;
  }

  private resolveRank(entry: MemberEntry): HostRank {
    const [host, standby] = this.listHosts(entry);
    if (host === this.self) return 'host';
    if (standby !== this.self || host === undefined) return 'other';
    // A killed host leaves its connections to the standby until the fleet has forgotten it.
    return this.availability.isAvailable(host, this.clock.now()) ? 'standby' : 'host';
  }

  private mayUse(host: InstanceId, member: MemberId, now: Milliseconds): boolean {
    if ((this.unservedUntil.get(formatPair(host, member)) ?? 0) > now) return false;
    return host === this.self || this.availability.isAvailable(host, now);
  }

  /**
   * Lists the instances that may host a member: those in its failure domain, or all if that domain has
   * none. Where allowed regions are in use, those of the member's region come before all, since they may
   * run every statement that the member may.
   */
  private listCandidates({ failureDomain }: MemberEntry): readonly HostCandidate[] {
    this.candidatesByDomain ??= this.groupCandidates();
    const inDomain = this.candidatesByDomain.get(failureDomain);
    if (inDomain !== undefined) return inDomain;
    const domains = [...this.candidatesByDomain];
    const region = this.regions.findRegion(failureDomain);
    const inRegion =
      this.hasRestrictions && region !== undefined
        ? domains.filter(([domain]) => this.regions.findRegion(domain) === region)
        : [];
    return (inRegion.length > 0 ? inRegion : domains).flatMap(([, candidates]) => candidates);
  }

  private applySettings(): void {
    const { settings } = this.view;
    const hasRestrictions = settings !== undefined && hasRegionRestrictions(settings);
    if (hasRestrictions === this.hasRestrictions) return;
    this.hasRestrictions = hasRestrictions;
    this.hostsByMember.clear();
  }

  private groupCandidates(): ReadonlyMap<string, readonly HostCandidate[]> {
    const byDomain = new Map<string, HostCandidate[]>();
    for (const [id, { value }] of this.view.instances) {
      const candidates = byDomain.get(value.domain) ?? [];
      candidates.push({ id, cores: value.cores });
      byDomain.set(value.domain, candidates);
    }
    return byDomain;
  }

  private removeUnlistedMembers(): void {
    for (const member of this.hostsByMember.keys()) {
      if (!this.view.members.has(member)) this.hostsByMember.delete(member);
    }
    const now = this.clock.now();
    for (const [pair, until] of this.unservedUntil) {
      if (until <= now) this.unservedUntil.delete(pair);
    }
  }
}

function formatPair(host: InstanceId, member: MemberId): string {
  return `${host}/${member}`;
}
