/** Chooses the instance that keeps connections to a member for an organisation. */
import {
  chooseHolders,
  type Clock,
  type InstanceId,
  type MemberEntry,
  type Milliseconds,
  type OrganisationId,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';

/** How long an instance that did not answer is passed over. */
const AVOID_MS = toMilliseconds(1500);

/**
 * Members tell connections of one organisation from those of another, and accept few. Were every
 * instance to keep one for each organisation, most would be refused, and every read would pay for a
 * new one: 12 ms of a slot for about as much work. So each pair of member and organisation has a
 * home near the member, to which the others pass reads.
 */
export class HomeDirectory {
  private readonly avoided = new Map<InstanceId, Milliseconds>();

  private readonly known = new Map<string, InstanceId>();

  constructor(
    private readonly self: InstanceId,
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {
    view.onChange(({ instances, members }) => {
      if (instances || members) this.known.clear();
    });
  }

  /**
   * @param entry - the member
   * @param organisation - the organisation
   * @returns the instance to pass reads to, or undefined if this one runs them itself
   */
  findOther(entry: MemberEntry, organisation: OrganisationId): InstanceId | undefined {
    const home = this.resolveHome(entry, organisation);
    if (home === undefined || home === this.self) return undefined;
    return (this.avoided.get(home) ?? 0) > this.clock.now() ? undefined : home;
  }

  /** @returns whether this instance keeps the pair's connections */
  isHome(entry: MemberEntry, organisation: OrganisationId | undefined): boolean {
    return organisation !== undefined && this.resolveHome(entry, organisation) === this.self;
  }

  /** @returns organisations for which this instance keeps connections to a member */
  countHomed(entry: MemberEntry): number {
    const organisations = [...(this.view.settings?.organisations.keys() ?? [])];
    return organisations.filter((organisation) => this.isHome(entry, organisation)).length;
  }

  /** Passes an instance over for a while, after it did not answer. */
  noteFailure(home: InstanceId): void {
    this.avoided.set(home, toMilliseconds(this.clock.now() + AVOID_MS));
  }

  private resolveHome(entry: MemberEntry, organisation: OrganisationId): InstanceId | undefined {
    const key = `${entry.id}/${organisation}`;
    const known = this.known.get(key);
    if (known !== undefined) return known;
    const all = [...this.view.instances];
    const near = all.filter(([, { value }]) => value.domain === entry.failureDomain);
    const ids = (near.length > 0 ? near : all).map(([id]) => id);
    const [home] = chooseHolders(`home/${key}`, ids, 1);
    if (home !== undefined) this.known.set(key, home);
    return home;
  }
}
