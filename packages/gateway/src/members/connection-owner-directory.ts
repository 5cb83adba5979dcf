import {
  chooseHolders,
  type Clock,
  type ConnectionBudget,
  type ConnectionDemand,
  type InstanceId,
  mayKeepOwnedConnections,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  type OrganisationId,
  resolveConnectionBudget,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';

/** Delay before reads are forwarded again to an owner that did not respond. */
const OWNER_RETRY_DELAY_MS = toMilliseconds(1500);

/**
 * Chooses the instance that owns the connections to a member for an organisation.
 *
 * A connection to a member belongs to one organisation, and members accept few connections. If every
 * instance kept one for each organisation, members would refuse most of them, and every read would
 * open a new one, which takes a member's slot for 12 ms, about as long as the read itself. Each pair
 * of member and organisation therefore has one owner near the member, to which the other instances
 * forward their reads. If the members accept too few connections for that, no pair has an owner.
 */
export class ConnectionOwnerDirectory {
  /** Instances that did not respond, with the time until which they are not used as owners. */
  private readonly avoidedUntil = new Map<InstanceId, Milliseconds>();

  private readonly ownersByMember = new Map<MemberId, Map<OrganisationId, InstanceId>>();

  constructor(
    private readonly self: InstanceId,
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {
    view.onChange(({ instances, members }) => {
      if (members) this.removeUnlistedMembers();
      if (instances) this.ownersByMember.clear();
    });
  }

  /**
   * @param entry - the member
   * @param organisation - the organisation
   * @returns the instance to forward reads to, or undefined if this one runs them itself
   */
  findRemoteOwner(entry: MemberEntry, organisation: OrganisationId): InstanceId | undefined {
    const owner = this.findOwner(entry, organisation);
    if (owner === undefined || owner === this.self) return undefined;
    return (this.avoidedUntil.get(owner) ?? 0) > this.clock.now() ? undefined : owner;
  }

  /** @returns whether this instance owns the connections of the member and organisation */
  isOwner(entry: MemberEntry, organisation: OrganisationId | undefined): boolean {
    return organisation !== undefined && this.findOwner(entry, organisation) === this.self;
  }

  /** @returns limits for the connections that this instance opens and keeps to a member */
  computeBudget(entry: MemberEntry): ConnectionBudget {
    return resolveConnectionBudget(this.getDemand(entry), this.countOwned(entry));
  }

  /** Stops forwarding reads to an instance for a while, after it did not respond. */
  recordFailure(owner: InstanceId): void {
    this.avoidedUntil.set(owner, toMilliseconds(this.clock.now() + OWNER_RETRY_DELAY_MS));
  }

  private countOwned(entry: MemberEntry): number {
    const organisations = [...(this.view.settings?.organisations.keys() ?? [])];
    return organisations.filter((organisation) => this.isOwner(entry, organisation)).length;
  }

  private getDemand({ group }: MemberEntry): ConnectionDemand {
    const { settings, instances } = this.view;
    return {
      maxConnections: settings?.groups.get(group)?.maxConnections ?? 0,
      instances: instances.size,
      organisations: settings?.organisations.size ?? 0,
    };
  }

  private findOwner(entry: MemberEntry, organisation: OrganisationId): InstanceId | undefined {
    if (!mayKeepOwnedConnections(this.getDemand(entry))) return undefined;
    const owners = this.ownersByMember.get(entry.id) ?? new Map<OrganisationId, InstanceId>();
    this.ownersByMember.set(entry.id, owners);
    const known = owners.get(organisation);
    if (known !== undefined) return known;
    const key = `${entry.id}/${organisation}`;
    // Instances agree on the owner only while all of them hash the same role name.
    const [owner] = chooseHolders(`home/${key}`, this.listCandidates(entry.failureDomain), 1);
    if (owner !== undefined) owners.set(organisation, owner);
    return owner;
  }

  private removeUnlistedMembers(): void {
    for (const member of this.ownersByMember.keys()) {
      if (!this.view.members.has(member)) this.ownersByMember.delete(member);
    }
  }

  /** @returns the instances in a failure domain, or all instances if that domain has none */
  private listCandidates(failureDomain: string): readonly InstanceId[] {
    return this.view.listDomains().get(failureDomain)?.all ?? [...this.view.instances.keys()];
  }
}
