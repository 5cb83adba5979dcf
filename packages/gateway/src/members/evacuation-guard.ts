import { type Clock, isUseAllowed, type MemberEntry, type MemberId } from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import { type AccessRefusal, createRefusal } from '../hosting/member-access.js';
import type { Access } from '../ports/caller-protocol.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';

/** What a request does at a member; `begin` opens a transaction, `transaction` continues one. */
export type GuardedAccess = Access | 'begin' | 'transaction';

/** Decides which requests may still be sent to the members of evacuated failure domains. */
export class EvacuationGuard {
  /**
   * @param view - knows the evacuated domains and the members
   * @param isPrimary - whether a member is the known primary of its group
   * @param clock - source of time
   * @param metrics - counts the refusals
   */
  constructor(
    private readonly view: Pick<FleetView, 'evacuatedDomains' | 'members'>,
    private readonly isPrimary: (member: MemberId) => boolean,
    private readonly clock: Pick<Clock, 'now'>,
    private readonly metrics: Pick<GatewayMetrics, 'evacuationRefusals'>,
  ) {}

  /** @returns whether a member is in an evacuated failure domain */
  isEvacuated({ failureDomain }: MemberEntry): boolean {
    return this.view.evacuatedDomains.has(failureDomain);
  }

  /**
   * @param entry - a member
   * @param isOpenTransaction - whether a transaction at the member is continued
   * @returns whether something may be sent to it now
   */
  mayUse(entry: MemberEntry, isOpenTransaction = false): boolean {
    const evacuation = this.view.evacuatedDomains.get(entry.failureDomain);
    if (evacuation === undefined) return true;
    const role = this.isPrimary(entry.id) ? 'primary' : 'replica';
    const use = isOpenTransaction ? 'open-transaction' : role;
    return isUseAllowed(use, evacuation.window, this.clock.now());
  }

  /** @returns whether open transactions at a member may go on */
  mayContinue(member: MemberId): boolean {
    const entry = this.view.members.get(member);
    return entry === undefined || this.mayUse(entry, true);
  }

  /**
   * Finds why a request may not be sent to a member, and counts the refusal.
   *
   * @param request - the member, and what the request does there; the start of a transaction if that is
   *   not given
   * @returns the refusal, or undefined if the member may be used
   */
  findRefusal({
    member,
    access = 'begin',
  }: {
    readonly member: MemberId;
    readonly access?: GuardedAccess;
  }): AccessRefusal | undefined {
    const entry = this.view.members.get(member);
    if (entry === undefined || this.mayUse(entry, access === 'transaction')) return undefined;
    this.metrics.evacuationRefusals.inc({ access });
    return createRefusal('closed', 'busy', 'the failure domain of the member is evacuated');
  }
}
