import {
  chooseObservers,
  comparePositions,
  type GroupId,
  type InstanceId,
  type MemberEntry,
  type MemberId,
  type MemberIncarnation,
  type Milliseconds,
  formatIncarnation,
  SuspicionTracker,
  toBrand,
} from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import { parseCoordinatorId } from '../fleet/records.js';
import type { MemberStatus } from '../ports/member-protocol.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import { CommitHolderTracker } from './commit-holder-tracker.js';
import { EvacuatedPrimaries } from './evacuated-primaries.js';
import { MisplacementCheck } from './misplacement-check.js';
import {
  type PrimaryChangeReason,
  type PrimaryChangeServices,
  PrimaryChange,
} from './primary-change.js';
import { writePrimaryRecord } from './primary-records.js';
import { createHolderFields, listDepartedHolders } from './recorded-holders.js';

const CHECK_INTERVAL_MS = 100;
/** A primary is suspected if it has pending requests and has sent no response for this long. */
const PRIMARY_RESPONSE_TIMEOUT_MS = 400;
/**
 * A primary that is not listed is replaced only after this: entries that expired in an outage of
 * the store are listed again within 2 s of its end, and a coordinator that has just started has no
 * record of the outage. A listed primary that crashes is detected sooner, by its missing responses.
 */
const MISSING_PRIMARY_TIMEOUT_MS = 2500;
/**
 * Maximum wait for a replica to catch up with a primary that is draining or not listed. A draining one
 * serves for at least 7 s after its draining is announced; a change of primary takes up to 1.5 s.
 */
const MAX_CATCH_UP_WAIT_MS = 4000;

/**
 * A probe takes up to 500 ms, and a round trip between regions 24 ms. With the check interval, the
 * next report of an observer comes within the time for which a report counts.
 */
const PROBE_RESPONSE_TIMEOUT_MS = 550;

/**
 * Monitors the primaries of all groups. Every instance reports suspected primaries; the coordinator
 * replaces primaries that are draining, in evacuated domains, missing or unreachable.
 */
export class PrimaryMonitor {
  private readonly suspicions = new SuspicionTracker();

  /** Groups with a check or a change of primary under way. */
  private readonly groupsInProgress = new Set<GroupId>();

  private readonly missingSince = new Map<GroupId, Milliseconds>();

  /** When primaries were first seen to drain, in the incarnation in which they do. */
  private readonly drainingSince = new Map<MemberIncarnation, Milliseconds>();

  private readonly commitHolderTracker: CommitHolderTracker;

  private readonly evacuatedPrimaries: EvacuatedPrimaries;
  private readonly misplacement: MisplacementCheck;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly services: PrimaryChangeServices,
    private readonly hub: PeerHub,
    private readonly metrics: GatewayMetrics,
  ) {
    this.commitHolderTracker = new CommitHolderTracker(services);
    this.evacuatedPrimaries = new EvacuatedPrimaries(services);
    this.misplacement = new MisplacementCheck(services);
    hub.handle('primary.suspend', ({ group, epoch }) => {
      services.memberRegistry.primaryTracker.suspend(toBrand<GroupId>(group), epoch);
      return { kind: 'done' };
    });
    hub.handle('member.probe', async ({ member }) => ({
      kind: 'member.probed',
      isAlive: await this.probeMember(toBrand<MemberId>(member)),
    }));
    hub.handle('primary.suspect', ({ group, member }, from) => {
      const now = services.clock.now();
      this.suspicions.record(toBrand<GroupId>(group), toBrand<MemberId>(member), from, now);
      return undefined;
    });
  }

  /** Starts the periodic checks of all groups. */
  start(): void {
    this.timer = setInterval(() => this.checkGroups(), CHECK_INTERVAL_MS);
  }

  /** Stops the periodic checks; a change that is under way still completes. */
  stop(): void {
    clearInterval(this.timer);
  }

  private checkGroups(): void {
    const { view, lease } = this.services;
    // What was seen in an earlier term as the coordinator may have ended since.
    if (!lease.isHeld) {
      this.missingSince.clear();
      this.drainingSince.clear();
      this.evacuatedPrimaries.clear();
      this.misplacement.clear();
    }
    for (const group of view.settings?.groups.keys() ?? []) {
      this.reportUnresponsivePrimary(group);
      this.misplacement.observeRecord(group);
      if (lease.isHeld && !this.groupsInProgress.has(group)) void this.checkGroup(group);
    }
  }

  /** Reports the group's primary to the coordinator if it does not respond or cannot be reached. */
  private reportUnresponsivePrimary(group: GroupId): void {
    const { memberRegistry, clock, view, self } = this.services;
    const member = memberRegistry.primaryTracker.find(group);
    const pool = member === undefined ? undefined : memberRegistry.findPool(member);
    if (member === undefined || pool === undefined) return;
    const now = clock.now();
    if (pool.computeSilenceMs(now) < PRIMARY_RESPONSE_TIMEOUT_MS && pool.avoidUntil <= now) return;
    if (view.coordinator === undefined) return;
    const coordinator = parseCoordinatorId(view.coordinator.value);
    if (coordinator === self) this.suspicions.record(group, member, self, now);
    else this.hub.send(coordinator, { kind: 'primary.suspect', group, member });
  }

  private async checkGroup(group: GroupId): Promise<void> {
    this.groupsInProgress.add(group);
    try {
      const record = this.services.view.primaries.get(group);
      if (record === undefined) {
        await this.recordFirstPrimary(group);
        return;
      }
      const reason = await this.findChangeReason(
        group,
        record.value.member as MemberId | undefined,
      );
      if (reason === undefined) {
        await this.commitHolderTracker.update(group, record);
        return;
      }
      const isDone = await new PrimaryChange(group, this.services).run(reason);
      this.metrics.primaryChanges.inc({ outcome: isDone ? 'done' : 'failed' });
      if (isDone) this.suspicions.remove(group);
    } catch (error) {
      this.services.log.warn('primary.check.failed', { group, reason: String(error) });
    } finally {
      this.groupsInProgress.delete(group);
    }
  }

  private async findChangeReason(
    group: GroupId,
    member: MemberId | undefined,
  ): Promise<PrimaryChangeReason | undefined> {
    const { view, clock, control, memberRegistry } = this.services;
    // A change was announced whose record the store has lost, or the record names no primary.
    if (member === undefined || memberRegistry.primaryTracker.isSuspended(group)) return 'resumed';
    const now = clock.now();
    const entry = view.members.get(member);
    if (entry === undefined) {
      const since = this.missingSince.get(group) ?? now;
      this.missingSince.set(group, since);
      if (now - since < MISSING_PRIMARY_TIMEOUT_MS) return undefined;
      const mayReplace =
        now - since >= MISSING_PRIMARY_TIMEOUT_MS + MAX_CATCH_UP_WAIT_MS ||
        (await this.mayReplaceMissing(group, member));
      return mayReplace ? 'missing' : undefined;
    }
    this.missingSince.delete(group);
    if (!entry.isDraining) this.drainingSince.delete(formatIncarnation(entry));
    const mayReplace = view
      .listMembers(group)
      .some(({ id, isDraining }) => id !== member && !isDraining);
    if (entry.isDraining && mayReplace && (await this.mayStepDown(group, entry))) return 'draining';
    if (await this.evacuatedPrimaries.mayReplace(entry)) return 'evacuated';
    if (!this.suspicions.isSuspected(group, member, now)) {
      return (await this.misplacement.needsSwitchover(group, entry)) ? 'misplaced' : undefined;
    }
    const observers = chooseObservers(member, view.listDomains().values());
    const [status] = await Promise.all([
      control.sendCommand(entry, { kind: 'status' }),
      ...observers.map(async (observer) => this.collectObservation(group, member, observer)),
    ]);
    const needsPrimaryChange = this.suspicions.needsPrimaryChange(
      group,
      member,
      Math.max(1, observers.length),
      { isAlive: status !== undefined },
      clock.now(),
    );
    return needsPrimaryChange ? 'unreachable' : undefined;
  }

  /** Asks another instance to probe a primary, and records that it cannot reach it. */
  private async collectObservation(
    group: GroupId,
    member: MemberId,
    observer: InstanceId,
  ): Promise<void> {
    const { self, clock } = this.services;
    if (observer === self) return;
    const probe = { kind: 'member.probe' as const, member };
    const response = await this.hub.request(observer, probe, PROBE_RESPONSE_TIMEOUT_MS);
    // An observer that does not answer says nothing about the primary.
    if (response?.kind !== 'member.probed' || response.isAlive) return;
    this.suspicions.record(group, member, observer, clock.now());
  }

  /** Probes a member for the coordinator; a member that is not listed here counts as reachable. */
  private async probeMember(member: MemberId): Promise<boolean> {
    const entry = this.services.view.members.get(member);
    if (entry === undefined) return true;
    return (await this.services.control.sendCommand(entry, { kind: 'status' })) !== undefined;
  }

  /**
   * Checks whether a draining primary may be replaced. A primary that has stepped down sends no
   * more log entries, so a replica must have caught up first. The wait for a replica that cannot
   * be reached ends while the primary certainly still serves.
   */
  private async mayStepDown(group: GroupId, draining: MemberEntry): Promise<boolean> {
    const { control, clock } = this.services;
    const incarnation = formatIncarnation(draining);
    const since = this.drainingSince.get(incarnation) ?? clock.now();
    this.drainingSince.set(incarnation, since);
    if (clock.now() - since > MAX_CATCH_UP_WAIT_MS) return true;
    const primary = await control.sendCommand(draining, { kind: 'status' });
    return primary === undefined || this.hasCaughtUpReplica(group, draining.id, primary);
  }

  /**
   * Checks whether a primary that is not listed may be replaced now. If it is up, replicas may still catch
   * up with it, which a change of primary would prevent.
   */
  private async mayReplaceMissing(group: GroupId, member: MemberId): Promise<boolean> {
    const { view, control } = this.services;
    const record = view.primaries.get(group)?.value;
    const departed = listDepartedHolders(group, record, view.listMembers(group));
    const endpoint = departed.find(({ id }) => id === member)?.endpoint;
    const status = endpoint && (await control.sendCommand(endpoint, { kind: 'status' }));
    return status?.role !== 'primary' || this.hasCaughtUpReplica(group, member, status);
  }

  /**
   * Checks whether a listed member that is not draining has received all that the primary holds. One in an
   * evacuated domain counts only if all are: it would be promoted, and then get no writes.
   */
  private async hasCaughtUpReplica(
    group: GroupId,
    primary: MemberId,
    { received }: MemberStatus,
  ): Promise<boolean> {
    const { view, control } = this.services;
    const available = view
      .listMembers(group)
      .filter(({ id, isDraining }) => id !== primary && !isDraining);
    const outside = available.filter(
      ({ failureDomain }) => !view.evacuatedDomains.has(failureDomain),
    );
    const others = outside.length > 0 ? outside : available;
    const statuses = await Promise.all(
      others.map(async (other) => control.sendCommand(other, { kind: 'status' })),
    );
    return statuses.some(
      (status) => status !== undefined && comparePositions(status.received, received) >= 0,
    );
  }

  /** Records the only member that is listed as primary, for a group that has no record yet. */
  private async recordFirstPrimary(group: GroupId): Promise<void> {
    const { view, log } = this.services;
    const listedPrimaries = view.listMembers(group).filter(({ role }) => role === 'primary');
    const [primary] = listedPrimaries;
    if (listedPrimaries.length !== 1 || primary === undefined) return;
    const entries = view.listMembers(group);
    const fields = createHolderFields(entries.map(formatIncarnation), entries, undefined);
    const value = { member: primary.id, ...fields };
    const written = await writePrimaryRecord(this.services, group, undefined, value);
    if (written === undefined) return;
    log.info('primary.adopted', { group, primary: primary.id });
  }
}
