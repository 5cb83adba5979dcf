import {
  chooseMemberHosts,
  type Clock,
  type ConnectionBudget,
  HostAvailability,
  type HostCandidate,
  type HostRank,
  type InstanceId,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  resolveConnectionBudget,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';

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

  constructor(
    private readonly self: InstanceId,
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {
    view.onChange(({ instances, members }) => {
      if (members) this.removeUnlistedMembers();
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
   * @returns this instance or another one; this instance if it reaches neither host nor standby
   */
  findHost(entry: MemberEntry): InstanceId {
    const now = this.clock.now();
    const available = this.listHosts(entry).find((host) => this.mayUse(host, entry.id, now));
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
    const hosts = chooseMemberHosts(entry.id, this.listCandidates(entry.failureDomain));
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

  /** @returns the instances in a failure domain, or all instances if that domain has none */
  private listCandidates(failureDomain: string): readonly HostCandidate[] {
    this.candidatesByDomain ??= this.groupCandidates();
    return (
      this.candidatesByDomain.get(failureDomain) ?? [...this.candidatesByDomain.values()].flat()
    );
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
