import {
  type Clock,
  type FencedMember,
  type GroupId,
  type HolderPresenceTracker,
  type MemberEndpoint,
  type MemberId,
  planPromotion,
  type PromotionPlan,
  type Term,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { MemberWarmups } from '../members/member-warmups.js';
import type { EventLog } from '../runtime/event-log.js';
import { MemberControl } from './member-control.js';
import { computeRegionDistance } from './misplacement-check.js';
import { type DepartedHolder, listDepartedHolders } from './recorded-holders.js';

/** The attempt fails if no member can be promoted safely within this time. */
const FENCE_TIMEOUT_MS = 2500;
/** Delay before the members are fenced again. */
const RETRY_INTERVAL_MS = 30;

/** Services needed to fence the members of a group. */
export interface FencingServices {
  /** Region of each failure domain; undefined if none is known. */
  readonly regionByDomain?: ReadonlyMap<string, string> | undefined;
  /** Knows the members that have just started; without it, none counts as cold. */
  readonly memberRegistry?: { readonly warmups: Pick<MemberWarmups, 'isCold'> } | undefined;
  readonly clock: Clock;
  readonly view: FleetView;
  readonly control: MemberControl;
  readonly holderPresence: HolderPresenceTracker;
  readonly log: EventLog;
}

/** A member that a command can be sent to. */
interface FenceTarget {
  readonly endpoint: MemberEndpoint;
  readonly isDraining: boolean;
  readonly isListed: boolean;
  readonly isEvacuated: boolean;
  readonly isCold: boolean;
}

/** Stops the commits of a group's old primary, and chooses the member to promote. */
export class MemberFencing {
  constructor(
    private readonly group: GroupId,
    private readonly services: FencingServices,
  ) {}

  /**
   * Fences the members and chooses the one to promote.
   *
   * @param previous - the primary before the change
   * @param mayPromoteEvacuated - whether a member of an evacuated domain may be promoted if no other can
   * @returns the member to promote, or undefined if no choice is safe in time
   */
  async chooseSuccessor(
    previous: MemberId | undefined,
    mayPromoteEvacuated: boolean,
  ): Promise<MemberEndpoint | undefined> {
    const { clock, log } = this.services;
    const deadline = clock.now() + FENCE_TIMEOUT_MS;
    let reason = '';
    while (clock.now() < deadline) {
      const { plan, endpoints } = await this.fence(previous, mayPromoteEvacuated);
      if (plan.kind === 'promote') return endpoints.get(plan.member);
      reason = plan.reason;
      await delay(RETRY_INTERVAL_MS);
    }
    const departed = this.listDeparted().map(({ holder }) => holder);
    log.warn('primary.change.unsafe', { group: this.group, reason, departed });
    return undefined;
  }

  /**
   * Fences the listed members and unlisted holders that responded lately. An unlisted primary, and holders
   * that did not respond, are asked only if no choice is safe without them.
   */
  private async fence(
    previous: MemberId | undefined,
    mayPromoteEvacuated: boolean,
  ): Promise<{ plan: PromotionPlan; endpoints: ReadonlyMap<MemberId, MemberEndpoint> }> {
    const { view, holderPresence, memberRegistry } = this.services;
    const departed = this.listDeparted();
    const syncReplicas = view.settings?.groups.get(this.group)?.syncReplicas ?? 0;
    const listed: FenceTarget[] = view.listMembers(this.group).map((endpoint) => ({
      endpoint,
      isDraining: endpoint.isDraining,
      isListed: true,
      isEvacuated: view.evacuatedDomains.has(endpoint.failureDomain),
      isCold: memberRegistry?.warmups.isCold(endpoint) === true,
    }));
    const isReplicaUp = ({ holder, id }: DepartedHolder): boolean =>
      id !== previous && holderPresence.wasUp(holder);
    let targets = [...listed, ...createUnlistedTargets(departed.filter(isReplicaUp))];
    let fenced = await this.fenceTargets(targets, departed, previous);
    let plan = planPromotion(this.setDistances(fenced.members), syncReplicas, mayPromoteEvacuated);
    const unlisted = createUnlistedTargets(departed);
    if (plan.kind === 'wait' && listed.length + unlisted.length > targets.length) {
      targets = [...listed, ...unlisted];
      fenced = await this.fenceTargets(targets, departed, previous);
      plan = planPromotion(this.setDistances(fenced.members), syncReplicas, mayPromoteEvacuated);
    } else if (plan.kind === 'promote') {
      this.demoteUnlisted(departed, previous, fenced.term);
    }
    return { plan, endpoints: new Map(targets.map(({ endpoint }) => [endpoint.id, endpoint])) };
  }

  /**
   * Tells an unlisted primary that may be up to step down. The choice does not depend on it: the replicas
   * are paused, so that its commits are not acknowledged.
   */
  private demoteUnlisted(
    departed: readonly DepartedHolder[],
    previous: MemberId | undefined,
    term: Term,
  ): void {
    const endpoint = departed.find(
      ({ id, isReplaced }) => id === previous && !isReplaced,
    )?.endpoint;
    if (endpoint === undefined) return;
    void this.services.control.sendCommand(endpoint, { kind: 'step-down', term });
  }

  /**
   * Makes the old primary step down or, if that fails, pauses the replicas so that they receive no
   * more log entries.
   */
  private async fenceTargets(
    targets: readonly FenceTarget[],
    departed: readonly DepartedHolder[],
    previous: MemberId | undefined,
  ): Promise<{ members: FencedMember[]; term: Term }> {
    const { control } = this.services;
    const statuses = await Promise.all(
      targets.map(async ({ endpoint }) => control.sendCommand(endpoint, { kind: 'status' })),
    );
    const term = MemberControl.computeNextTerm(statuses);
    const primary = targets.find((_, index) => statuses[index]?.role === 'primary');
    const stepDown =
      primary && (await control.sendCommand(primary.endpoint, { kind: 'step-down', term }));
    const oldPrimary = primary?.endpoint.id ?? previous;
    const isDemoted = stepDown?.role === 'replica';
    const fenced = await Promise.all(
      targets.map(async (target, index) => {
        const isOld = target.endpoint.id === oldPrimary;
        if (isOld) return createFenced(target, true, isDemoted ? stepDown.received : undefined);
        const status = statuses[index];
        if (isDemoted || status === undefined) {
          return createFenced(target, false, status?.received);
        }
        return createFenced(target, false, await this.pauseReplica(target.endpoint, term));
      }),
    );
    const reached = new Set(targets.map(({ endpoint }) => endpoint));
    const missing = departed.filter(
      ({ id, endpoint }) => id !== oldPrimary && (endpoint === undefined || !reached.has(endpoint)),
    );
    return { members: [...fenced, ...missing.map(createMissing)], term };
  }

  /**
   * Pauses a replica and returns its received log position, or undefined if the pause is not
   * confirmed.
   */
  private async pauseReplica(
    endpoint: MemberEndpoint,
    term: Term,
  ): Promise<FencedMember['received']> {
    const status = await this.services.control.sendCommand(endpoint, { kind: 'pause', term });
    return status !== undefined && status.heldTerm >= term ? status.received : undefined;
  }

  /** Sets the members' distances, by which those in regions that more routes allow are preferred. */
  private setDistances(members: readonly FencedMember[]): FencedMember[] {
    return members.map((member) => ({
      ...member,
      distance: computeRegionDistance(this.services, this.group, member.id),
    }));
  }

  private listDeparted(): DepartedHolder[] {
    const { view } = this.services;
    const record = view.primaries.get(this.group)?.value;
    return listDepartedHolders(this.group, record, view.listMembers(this.group));
  }
}

function createUnlistedTargets(departed: readonly DepartedHolder[]): FenceTarget[] {
  return departed.flatMap(({ endpoint, isReplaced }) =>
    endpoint === undefined || isReplaced
      ? []
      : [{ endpoint, isDraining: false, isListed: false, isEvacuated: false, isCold: false }],
  );
}

function createFenced(
  { endpoint, isDraining, isListed, isEvacuated, isCold }: FenceTarget,
  wasPrimary: boolean,
  received: FencedMember['received'],
): FencedMember {
  const { id } = endpoint;
  return { id, wasPrimary, isDraining, isListed, isEvacuated, isCold, distance: 0, received };
}

/** Creates the state of an unlisted commit holder that was not reached. */
function createMissing({ id }: DepartedHolder): FencedMember {
  const state = { wasPrimary: false, isDraining: false, isListed: false, distance: 0 };
  return { id, ...state, received: undefined };
}
