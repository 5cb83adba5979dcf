import {
  type Clock,
  type ColdState,
  computeWarmupShare,
  type GroupWarmup,
  type InstanceId,
  type MemberEntry,
  type MemberId,
  MemberWarmup,
  type Milliseconds,
  resolveWarmupPace,
  toMilliseconds,
  WarmupBudget,
  type WarmupDecision,
  type WarmupPlace,
  type WarmupShare,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { HostDirectory } from '../hosting/host-directory.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { GatewaySettings } from '../settings.js';

/** Finds when the evacuation of a failure domain ended, if there was one. */
export type EvacuationEndLookup = (failureDomain: string) => Milliseconds | undefined;

/** What the warm-up of members needs of its instance. */
export interface WarmupServices {
  readonly settings: Pick<GatewaySettings, 'instance' | 'warmupTolerance'>;
  readonly view: FleetView;
  readonly hosts: HostDirectory;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  /** Without it, no evacuation has ended. */
  readonly findEvacuationEnd?: EvacuationEndLookup | undefined;
}

interface MemberState {
  readonly warmup: MemberWarmup;
  /** Limits statements while the member is cold; undefined while it is warm. */
  budget: WarmupBudget | undefined;
  /** Since when this instance is the first in the member's list of hosts. */
  firstSince: Milliseconds | undefined;
}

/** Tracks which members are cold, and limits the statements of this instance to those. */
export class MemberWarmups {
  private readonly states = new Map<MemberId, MemberState>();

  constructor(private readonly services: WarmupServices) {}

  /** Takes the entries of the listed members, and forgets those that are no longer listed. */
  applyView(): void {
    const { view, clock } = this.services;
    const now = clock.now();
    for (const id of this.states.keys()) if (!view.members.has(id)) this.states.delete(id);
    for (const entry of view.members.values()) {
      this.getState(entry.id).warmup.recordEntry(entry, now);
    }
    this.update();
  }

  /** Updates the cold states and this instance's places in the lists of hosts; called periodically. */
  update(): void {
    const { view, metrics, clock } = this.services;
    const now = clock.now();
    let coldCount = 0;
    for (const entry of view.members.values()) {
      if (this.findWarmup(entry) !== undefined) this.updateFirstSince(entry, now);
      if (this.findCold(entry, now) !== undefined) coldCount += 1;
    }
    metrics.coldMembers.set(coldCount);
  }

  /** @returns whether a member counts as cold at this instance */
  isCold(entry: MemberEntry): boolean {
    return this.findCold(entry, this.services.clock.now()) !== undefined;
  }

  /** @returns when a member's cold state ends, if it counts as cold at this instance */
  findColdEnd(entry: MemberEntry): Milliseconds | undefined {
    return this.findCold(entry, this.services.clock.now())?.endsAt;
  }

  /** Records that a member accepted a connection, or that the last connection to it failed. */
  recordReachable(entry: MemberEntry, isReachable: boolean): void {
    const now = this.services.clock.now();
    const warmup = this.states.get(entry.id)?.warmup;
    if (isReachable) warmup?.recordReconnection(now);
    else warmup?.recordLost(now);
    // A budget begins with the cold state, so that no statement is ahead of it.
    this.findCold(entry, now);
  }

  /**
   * Checks whether a statement would be sent in time, without a reservation.
   *
   * @param member - the member
   * @param maxWaitMs - maximum wait for a token, in milliseconds
   * @returns the refusal, or undefined if the statement may go on
   */
  findRefusal(
    member: MemberId,
    maxWaitMs: number,
  ): Extract<WarmupDecision, { kind: 'refused' }> | undefined {
    const decision = this.decide(member, (budget, share, now) =>
      budget.check(share, maxWaitMs, now),
    );
    return decision?.kind === 'refused' ? decision : undefined;
  }

  /**
   * Reserves a token for a statement right before it is sent.
   *
   * @param member - the member
   * @param maxWaitMs - maximum wait for the token, in milliseconds
   * @param cost - commands that are sent with the statement, including it
   * @returns the wait or the refusal; undefined for a member that is not cold
   */
  reserve(member: MemberId, maxWaitMs: number, cost: number): WarmupDecision | undefined {
    return this.decide(member, (budget, share, now) => budget.reserve(share, maxWaitMs, now, cost));
  }

  private decide(
    member: MemberId,
    decide: (budget: WarmupBudget, share: WarmupShare, now: Milliseconds) => WarmupDecision,
  ): WarmupDecision | undefined {
    const { view, clock, metrics } = this.services;
    const entry = view.members.get(member);
    const warmup = entry && this.findWarmup(entry);
    if (entry === undefined || warmup === undefined) return undefined;
    const now = clock.now();
    const cold = this.findCold(entry, now);
    const budget = this.states.get(member)?.budget;
    if (cold === undefined || budget === undefined) return undefined;
    const decision = decide(budget, this.computeShare(entry, warmup, cold, now), now);
    if (decision.kind === 'refused') metrics.coldRefusals.inc();
    return decision;
  }

  private computeShare(
    entry: MemberEntry,
    warmup: GroupWarmup,
    cold: ColdState,
    now: Milliseconds,
  ): WarmupShare {
    const pace = resolveWarmupPace(warmup, this.services.settings.warmupTolerance?.overshoot);
    // Instances agree on the end of the warm-up, but not on the readings of their clocks.
    const referenceAt = cold.isShared ? cold.endsAt : toMilliseconds(0);
    return computeWarmupShare(pace, this.resolvePlace(entry, now), referenceAt, now);
  }

  private resolvePlace(entry: MemberEntry, now: Milliseconds): WarmupPlace {
    const { view, hosts, settings } = this.services;
    const since = this.updateFirstSince(entry, now);
    if (since !== undefined) {
      return { rank: 'host', since, isConfirmed: view.confirmation.mayTrustPrimary(now) };
    }
    if (hosts.listHosts(entry).includes(settings.instance)) return { rank: 'standby' };
    return { rank: 'other', ...findPosition(settings.instance, [...view.instances.keys()]) };
  }

  /** @returns since when this instance is the first in the list of hosts, if it is */
  private updateFirstSince(entry: MemberEntry, now: Milliseconds): Milliseconds | undefined {
    const { hosts, settings } = this.services;
    const state = this.getState(entry.id);
    const isFirst = hosts.listHosts(entry)[0] === settings.instance;
    state.firstSince = isFirst ? (state.firstSince ?? now) : undefined;
    return state.firstSince;
  }

  /** Finds a member's cold state, and records its begin and its end. */
  private findCold(entry: MemberEntry, now: Milliseconds): ColdState | undefined {
    const state = this.states.get(entry.id);
    if (state === undefined) return undefined;
    const endedAt = this.services.findEvacuationEnd?.(entry.failureDomain);
    const cold = state.warmup.find(this.findWarmup(entry), endedAt, now);
    if ((cold !== undefined) === (state.budget !== undefined)) return cold;
    state.budget = cold && new WarmupBudget(now);
    const remainingMs = cold && Math.round(cold.endsAt - now);
    const { id: member, group, incarnation } = entry;
    const isCold = cold !== undefined;
    this.services.log.info('member.cold', { member, group, incarnation, isCold, remainingMs });
    return cold;
  }

  private findWarmup({ group }: MemberEntry): GroupWarmup | undefined {
    return this.services.view.settings?.groups.get(group)?.warmup;
  }

  private getState(member: MemberId): MemberState {
    const known = this.states.get(member);
    if (known !== undefined) return known;
    const state = { warmup: new MemberWarmup(), budget: undefined, firstSince: undefined };
    this.states.set(member, state);
    return state;
  }
}

/** Finds the position of this instance in the order of ids, alike on all instances. */
function findPosition(
  self: InstanceId,
  listed: readonly InstanceId[],
): { index: number; instanceCount: number } {
  const instanceCount = listed.includes(self) ? listed.length : listed.length + 1;
  return { index: listed.filter((id) => id < self).length, instanceCount };
}
