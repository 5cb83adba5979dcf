import {
  type Clock,
  type ConfirmationTracker,
  type GroupId,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  type MemberLoadTracker,
  type ReadMemberState,
  toMilliseconds,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { HostDirectory } from '../hosting/host-directory.js';
import { SlotGate } from '../hosting/slot-gate.js';
import type { MemberConnector, PrepareCommand } from '../ports/member-protocol.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { GatewaySettings } from '../settings.js';
import { EvacuationGuard } from './evacuation-guard.js';
import type { ExchangeResult, MemberConnection } from './member-connection.js';
import { isSameEndpoint } from './member-endpoint.js';
import { MemberPaces } from './member-paces.js';
import { MemberPool } from './member-pool.js';
import { createMemberState, type MemberState } from './member-state.js';
import { MemberWarmups } from './member-warmups.js';
import type { PoolListener } from './pool-listener.js';
import { PrimaryTracker } from './primary-tracker.js';

/** Maximum number of requests that wait for a connection to one member. */
const MAX_WAITING_REQUESTS = 64;
/** Interval at which pool limits are updated and connections that are not needed are closed. */
const MAINTENANCE_INTERVAL_MS = 500;
/**
 * Time for which a replica counts as lagging after it first refused a read; doubles with each further
 * refusal.
 */
const MIN_LAG_TTL_MS = 150;
/** Upper bound of the time for which a replica counts as lagging. */
const MAX_LAG_TTL_MS = 1200;

/** Time for which other members are preferred after a host could not reach this one. */
const UNREACHABLE_TTL_MS = 600;

/**
 * Holds a connection pool for each listed member, and records what the members' replies show: log
 * positions, lagging replicas and failed statements.
 */
export class MemberRegistry implements PoolListener {
  private readonly states = new Map<MemberId, MemberState>();

  /** Primaries of the groups and samples of their logs. */
  readonly primaryTracker: PrimaryTracker;

  /** Decides what may be sent to members of evacuated failure domains. */
  readonly evacuationGuard: EvacuationGuard;
  /** Cold members, and the limits of statements to them. */
  readonly warmups: MemberWarmups;

  private readonly paces: MemberPaces;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly view: FleetView,
    readonly connector: MemberConnector,
    readonly hosts: HostDirectory,
    private readonly clock: Clock,
    private readonly metrics: GatewayMetrics,
    private readonly log: EventLog,
  ) {
    this.primaryTracker = new PrimaryTracker(view, (member) => this.states.has(member), clock, log);
    const isPrimary = (member: MemberId): boolean => this.isPrimary(member);
    this.evacuationGuard = new EvacuationGuard(view, isPrimary, clock, metrics);
    const findEvacuationEnd = (domain: string): Milliseconds | undefined =>
      view.findEvacuationEnd(domain);
    const warmupServices = { settings, view, hosts, clock, metrics, log, findEvacuationEnd };
    this.warmups = new MemberWarmups(warmupServices);
    const findColdEnd = (entry: MemberEntry): Milliseconds | undefined =>
      this.warmups.findColdEnd(entry);
    this.paces = new MemberPaces({ settings, clock, metrics, log, findColdEnd });
    view.onChange(() => this.applyView());
  }

  /** Starts the periodic maintenance of the pools. */
  start(): void {
    this.timer = setInterval(() => this.runMaintenance(), MAINTENANCE_INTERVAL_MS);
  }

  /** Stops the maintenance and closes the pools. */
  stop(): void {
    clearInterval(this.timer);
    for (const { pool } of this.states.values()) pool.close();
  }

  /** @returns the tracker of the confirmations that bound the age of this instance's view */
  get confirmation(): ConfirmationTracker {
    return this.view.confirmation;
  }

  /** @returns the pool of a member, if it is listed */
  findPool(member: MemberId): MemberPool | undefined {
    return this.states.get(member)?.pool;
  }

  /** @returns a member's entry, if it is listed */
  findEntry(member: MemberId): MemberEntry | undefined {
    return this.states.get(member)?.entry;
  }

  /** @returns whether a member is the known primary of its group */
  isPrimary(member: MemberId): boolean {
    const entry = this.findEntry(member);
    return entry !== undefined && this.primaryTracker.find(entry.group) === member;
  }

  /** @returns the gate of a member, if the member is listed */
  findSlotGate(member: MemberId): SlotGate | undefined {
    return this.states.get(member)?.slotGate;
  }

  /** @returns the tracker of a member's load at its host, if the member is listed */
  findLoad(member: MemberId): MemberLoadTracker | undefined {
    return this.states.get(member)?.load;
  }

  /** @returns whether a member is certain to be the only primary, so that its reads miss no commit */
  mayReadLatestAt(member: MemberId): boolean {
    if (!this.isPrimary(member)) return false;
    return this.view.confirmation.mayTrustPrimary(this.clock.now());
  }

  /**
   * Lists the members of a group that may serve reads. The primary is left out while the view is too
   * old to be certain of it.
   *
   * @param group - the group
   * @param priority - priority of the read; 0 is the most urgent
   * @returns the members with the state that the choice between them needs
   */
  listReaders(group: GroupId, priority: number): ReadMemberState[] {
    const primary = this.primaryTracker.find(group);
    const now = this.clock.now();
    const readers: ReadMemberState[] = [];
    for (const state of this.states.values()) {
      const { entry, pool, reportedPosition, laggingUntil, outcomes } = state;
      if (entry.group !== group) continue;
      const isPrimary = entry.id === primary;
      if (isPrimary && !this.view.confirmation.mayTrustPrimary(now)) continue;
      if (!this.evacuationGuard.mayUse(entry)) continue;
      const { id, slots } = entry;
      const isDraining = entry.isDraining || this.evacuationGuard.isEvacuated(entry);
      const pending = state.slotGate.pending + state.load.estimatePending(now);
      const avoidUntil = toMilliseconds(Math.max(pool.avoidUntil, state.avoidUntil));
      const distance = this.computeDistance(entry.failureDomain);
      readers.push({
        id,
        isPrimary,
        isDraining,
        distance,
        pending,
        slots,
        statementMs: state.load.times.findMeanMs(priority, now),
        avoidUntil,
        reportedPosition,
        laggingUntil,
        failureRatio: outcomes.computeFailureRatio(now),
        isCold: this.warmups.isCold(entry),
      });
    }
    return readers;
  }

  /** Records that a replica refused a read because its log lacked the required position. */
  recordLagRefusal(member: MemberId): void {
    const state = this.states.get(member);
    const now = this.clock.now();
    // Concurrent reads are refused together; they count as one refusal.
    if (state === undefined || state.laggingUntil > now) return;
    const ttlMs = Math.min(MAX_LAG_TTL_MS, MIN_LAG_TTL_MS * 2 ** state.consecutiveLagRefusals);
    state.consecutiveLagRefusals += 1;
    state.laggingUntil = toMilliseconds(now + ttlMs);
  }

  /**
   * Records how a statement ended at a member.
   *
   * @param member - the member
   * @param isSuccess - whether the member ran the statement, or correctly reported that it did not
   */
  recordOutcome(member: MemberId, isSuccess: boolean): void {
    this.states.get(member)?.outcomes.recordOutcome(isSuccess, this.clock.now());
  }

  /** Records that a member's host could not reach the member; other members are preferred. */
  recordUnreachable(member: MemberId): void {
    const state = this.states.get(member);
    if (state === undefined) return;
    state.avoidUntil = toMilliseconds(this.clock.now() + UNREACHABLE_TTL_MS);
  }

  /**
   * Records that another instance could not reach a member. It may restart before this instance opens
   * its first connection, and that connection alone would not show the restart.
   */
  recordUnreachableElsewhere(member: MemberId): void {
    const state = this.states.get(member);
    if (state === undefined || state.pool.hasOpenConnection) return;
    this.warmups.recordReachable(state.entry, false);
  }

  /** Records a reply that arrived through the member's host. */
  recordReply(member: MemberId, exchange: Extract<ExchangeResult, { kind: 'answered' }>): void {
    const state = this.states.get(member);
    if (state !== undefined) this.onReply(state.entry, exchange);
  }

  onReply(entry: MemberEntry, exchange: Extract<ExchangeResult, { kind: 'answered' }>): void {
    const { mark: logPosition } = exchange.reply;
    const state = this.states.get(entry.id);
    if (logPosition === undefined || state === undefined) return;
    if (exchange.reply.signature !== undefined) state.consecutiveLagRefusals = 0;
    state.reportedPosition = logPosition;
    const { group, id: member } = entry;
    this.primaryTracker.addSample({ group, member, logPosition, takenAt: exchange.sentAt });
  }

  onUnreachable(entry: MemberEntry, reason: string): void {
    this.log.warn('member.unreachable', { member: entry.id, group: entry.group, reason });
  }

  onConnection(outcome: 'opened' | 'refused' | 'failed'): void {
    this.metrics.memberConnections.inc({ outcome });
  }

  onReachable(entry: MemberEntry, isReachable: boolean): void {
    this.warmups.recordReachable(entry, isReachable);
    this.paces.recordReachable(entry, isReachable);
  }

  onPrepare(entry: MemberEntry, connection: MemberConnection, command: PrepareCommand): void {
    const { number, organisation } = connection;
    const { name, access, shape } = command;
    const fields = { member: entry.id, connection: number, organisation, name, access, shape };
    this.log.info('member.prepare', fields);
  }

  /** @returns the members' part of the state dump */
  describe(): unknown {
    return [...this.states.values()].map(({ entry, pool, slotGate, reportedPosition }) => ({
      member: entry.id,
      group: entry.group,
      isPrimary: this.primaryTracker.find(entry.group) === entry.id,
      host: this.hosts.findHost(entry),
      connections: pool.size,
      pending: slotGate.pending,
      seen: reportedPosition,
    }));
  }

  private computeDistance(failureDomain: string): number {
    if (failureDomain === this.settings.failureDomain) return 0;
    const { regionByDomain } = this.settings;
    const isSameRegion =
      regionByDomain.get(failureDomain) === regionByDomain.get(this.settings.failureDomain);
    return isSameRegion ? 1 : 2;
  }

  /** Recomputes the pools' limits, which depend on the hosts that answer, and closes connections. */
  private runMaintenance(): void {
    this.warmups.update();
    this.paces.update(this.view.members.values());
    for (const { entry, limits, pool } of this.states.values()) {
      Object.assign(limits, this.hosts.computeBudget(entry));
      pool.trim();
    }
  }

  private applyView(): void {
    for (const [id, state] of this.states) {
      const entry = this.view.members.get(id);
      if (entry !== undefined && isSameEndpoint(entry, state.entry)) continue;
      this.states.delete(id);
      this.paces.remove(id);
      state.pool.close();
    }
    for (const entry of this.view.members.values()) this.setMember(entry);
    this.warmups.applyView();
    this.paces.update(this.view.members.values());
    this.primaryTracker.notifyWaiters();
  }

  private setMember(entry: MemberEntry): void {
    const known = this.states.get(entry.id);
    if (known !== undefined) {
      this.states.set(entry.id, Object.assign(known, { entry }));
      return;
    }
    if (this.view.settings?.groups.get(entry.group) === undefined) return;
    const limits = { ...this.hosts.computeBudget(entry), maxWaiting: MAX_WAITING_REQUESTS };
    const pool = new MemberPool(entry, this.connector, limits, this, this.clock);
    const slotGate = new SlotGate(entry.slots, this.clock, this.paces.create(entry));
    this.states.set(entry.id, createMemberState(entry, pool, limits, slotGate));
  }
}
