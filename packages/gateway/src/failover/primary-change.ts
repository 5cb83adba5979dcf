import {
  type Clock,
  compareHolders,
  type FencedMember,
  type GroupId,
  type InstanceId,
  type MemberEntry,
  type MemberId,
  type MemberIncarnation,
  planPromotion,
  formatIncarnation,
  parseIncarnationMember,
  type Term,
  toMilliseconds,
} from '@heatherledge/core';
import { delay, type PeerHub } from '@heatherledge/daemon';
import type { StoredRecord } from '../fleet/known-primaries.js';
import type { PrimaryRecord } from '../fleet/records.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { PromotionPort } from '../ports/fleet-directory.js';
import { MemberControl } from './member-control.js';
import { type PrimaryRecordServices, writePrimaryRecord } from './primary-records.js';

/** Maximum wait for an instance to acknowledge that it no longer uses the old primary. */
const SUSPEND_ACK_TIMEOUT_MS = 300;
/** Maximum wait for a member to become the primary. */
const PROMOTE_TIMEOUT_MS = 2000;
/** The attempt fails if no member can be promoted safely within this time. */
const FENCE_TIMEOUT_MS = 2500;
/** Delay before another request is sent to the same members. */
const POLL_INTERVAL_MS = 30;

/** Services needed to change a primary. */
export interface PrimaryChangeServices extends PrimaryRecordServices {
  readonly self: InstanceId;
  readonly clock: Clock;
  readonly control: MemberControl;
  readonly promotions: PromotionPort;
  readonly hub: PeerHub;
  readonly memberRegistry: MemberRegistry;
  /**
   * How long an instance relies on a confirmed record, in milliseconds. This long after a new
   * record was written, every instance has stopped using the old one.
   */
  readonly confirmationTtlMs: number;
}

/** Why a primary is replaced; `resumed` continues a change that an earlier attempt left open. */
export type PrimaryChangeReason = 'draining' | 'unreachable' | 'missing' | 'resumed';

/** One attempt to change the primary of one group. */
export class PrimaryChange {
  constructor(
    private readonly group: GroupId,
    private readonly services: PrimaryChangeServices,
  ) {}

  /**
   * Changes the primary. If the attempt fails after the start of the change was recorded, the group
   * has no primary until the next attempt.
   *
   * @param reason - why the primary is replaced
   * @returns whether the group has a primary again
   */
  async run(reason: PrimaryChangeReason): Promise<boolean> {
    const { clock, log, view } = this.services;
    const startedAt = clock.now();
    const previous = this.findPreviousPrimary();
    const record = await this.recordChangeStart(previous);
    if (record === undefined) return false;
    log.info('primary.change.started', {
      group: this.group,
      previous,
      reason,
      epoch: record.value.epoch,
    });
    const [, chosen] = await Promise.all([
      this.waitUntilSuspended(record),
      this.fenceAndChoose(previous),
    ]);
    const promoted = chosen !== undefined && (await this.promote(chosen));
    const isDone = promoted && (await this.recordNewPrimary(chosen));
    const { length: members } = view.listMembers(this.group);
    log.info('primary.change.ended', {
      group: this.group,
      previous,
      primary: isDone ? chosen : undefined,
      members,
      ms: Math.round(clock.now() - startedAt),
    });
    return isDone;
  }

  private findPreviousPrimary(): MemberId | undefined {
    const value = this.services.view.primaries.get(this.group)?.value;
    return (value?.member ?? value?.previous) as MemberId | undefined;
  }

  /** Records that the group's primary is changing, if this instance is still the coordinator. */
  private async recordChangeStart(
    previous: MemberId | undefined,
  ): Promise<StoredRecord<PrimaryRecord> | undefined> {
    const { view, memberRegistry } = this.services;
    const known = view.primaries.get(this.group);
    const holders = known?.value.holders ?? [];
    const announcedEpoch = memberRegistry.primaryTracker.findSuspendedEpoch(this.group);
    const content = { previous, holders };
    return writePrimaryRecord(this.services, this.group, known, content, announcedEpoch);
  }

  private async recordNewPrimary(member: MemberId): Promise<boolean> {
    const { view } = this.services;
    // The new primary holds all acknowledged commits, so earlier holders no longer matter.
    const holders = view.listMembers(this.group).map(formatIncarnation);
    const known = view.primaries.get(this.group);
    const written = await writePrimaryRecord(this.services, this.group, known, { member, holders });
    return written !== undefined;
  }

  /**
   * Waits until every instance has stopped using the old primary: the instance has acknowledged the
   * suspension, its host refuses connections because no process of it runs, or its confirmation of
   * the old record has expired.
   */
  private async waitUntilSuspended(record: StoredRecord<PrimaryRecord>): Promise<void> {
    const { self, clock, view, hub, memberRegistry, log, confirmationTtlMs } = this.services;
    const writtenAt = clock.now();
    const { epoch } = record.value;
    memberRegistry.primaryTracker.suspend(this.group, epoch);
    const others = [...view.instances.keys()].filter((id) => id !== self);
    const body = { kind: 'primary.suspend' as const, group: this.group, epoch };
    const responses = await Promise.all(
      others.map(async (id) => ({
        id,
        response: await hub.request(id, body, SUSPEND_ACK_TIMEOUT_MS),
      })),
    );
    const silent = responses
      .filter(
        ({ id, response }) =>
          response?.kind !== 'done' && !hub.isRefusing(id, SUSPEND_ACK_TIMEOUT_MS * 2),
      )
      .map(({ id }) => id);
    if (silent.length === 0) return;
    const waitMs = Math.max(0, writtenAt + confirmationTtlMs - clock.now());
    log.info('primary.change.waiting', { group: this.group, silent, waitMs: Math.round(waitMs) });
    await delay(waitMs);
  }

  /**
   * Fences the members and chooses the one to promote.
   *
   * @returns the member to promote, or undefined if no choice is safe in time
   */
  private async fenceAndChoose(previous: MemberId | undefined): Promise<MemberId | undefined> {
    const { clock, view, log } = this.services;
    const deadline = clock.now() + FENCE_TIMEOUT_MS;
    let reason = '';
    while (clock.now() < deadline) {
      const entries = view.listMembers(this.group);
      const members = await this.fenceMembers(entries, previous);
      const syncReplicas = view.settings?.groups.get(this.group)?.syncReplicas ?? 0;
      const plan = planPromotion(members, syncReplicas);
      if (plan.kind === 'promote') return plan.member;
      reason = plan.reason;
      await delay(POLL_INTERVAL_MS);
    }
    log.warn('primary.change.unsafe', { group: this.group, reason });
    return undefined;
  }

  /**
   * Makes the old primary step down or, if that fails, pauses the replicas so that they receive no
   * more log entries.
   */
  private async fenceMembers(
    entries: readonly MemberEntry[],
    previous: MemberId | undefined,
  ): Promise<FencedMember[]> {
    const { control } = this.services;
    const statuses = await Promise.all(
      entries.map(async (entry) => control.sendCommand(entry, { kind: 'status' })),
    );
    const term = MemberControl.computeNextTerm(statuses);
    const primaryEntry = entries.find((_, index) => statuses[index]?.role === 'primary');
    const stepDown =
      primaryEntry && (await control.sendCommand(primaryEntry, { kind: 'step-down', term }));
    const oldPrimary = primaryEntry?.id ?? previous;
    const isDemoted = stepDown?.role === 'replica';
    const fenced = await Promise.all(
      entries.map(async (entry, index) => {
        const isOld = entry.id === oldPrimary;
        if (isOld) return this.createFenced(entry, true, isDemoted ? stepDown.received : undefined);
        const status = statuses[index];
        if (isDemoted || status === undefined) {
          return this.createFenced(entry, false, status?.received);
        }
        const received = await this.pauseReplica(entry, term);
        return this.createFenced(entry, false, received);
      }),
    );
    return [...fenced, ...this.listDepartedHolders(entries, oldPrimary)];
  }

  /** Lists departed replicas that may hold commits which no other replica holds. */
  private listDepartedHolders(
    entries: readonly MemberEntry[],
    oldPrimary: MemberId | undefined,
  ): FencedMember[] {
    const recorded = this.services.view.primaries.get(this.group)?.value.holders ?? [];
    const { departed } = compareHolders(
      recorded as MemberIncarnation[],
      entries.map(formatIncarnation),
    );
    return departed
      .map(parseIncarnationMember)
      .filter((id) => id !== oldPrimary)
      .map((id) => ({
        id,
        wasPrimary: false,
        isDraining: false,
        distance: 0,
        received: undefined,
      }));
  }

  /**
   * Pauses a replica and returns its received log position, or undefined if the pause is not
   * confirmed.
   */
  private async pauseReplica(entry: MemberEntry, term: Term): Promise<FencedMember['received']> {
    const status = await this.services.control.sendCommand(entry, { kind: 'pause', term });
    return status !== undefined && status.heldTerm >= term ? status.received : undefined;
  }

  private createFenced(
    entry: MemberEntry,
    wasPrimary: boolean,
    received: FencedMember['received'],
  ): FencedMember {
    return { id: entry.id, wasPrimary, isDraining: entry.isDraining, distance: 0, received };
  }

  /** Requests the promotion until the member is the primary, the lease is lost or time runs out. */
  private async promote(member: MemberId): Promise<boolean> {
    const { lease, promotions, self, clock, view, control } = this.services;
    const entry = view.members.get(member);
    const deadline = clock.now() + PROMOTE_TIMEOUT_MS;
    while (entry !== undefined && clock.now() < deadline) {
      const outcome = await lease.sendOrder(async (fence, remainingMs) => {
        const timeoutMs = toMilliseconds(Math.min(PROMOTE_TIMEOUT_MS, remainingMs));
        return promotions.promote(this.group, member, self, fence, timeoutMs);
      });
      if (outcome === undefined) return false;
      if (await this.waitUntilPrimary(entry, control, deadline)) return true;
    }
    return false;
  }

  /**
   * Waits until the member is the primary. A promotion takes effect some time after its response,
   * and may take effect even if no response arrived.
   */
  private async waitUntilPrimary(
    entry: MemberEntry,
    control: MemberControl,
    deadline: number,
  ): Promise<boolean> {
    const { clock, view } = this.services;
    while (clock.now() < deadline) {
      if (view.members.get(entry.id)?.role === 'primary') return true;
      const status = await control.sendCommand(entry, { kind: 'status' });
      if (status?.role === 'primary') return true;
      await delay(POLL_INTERVAL_MS);
    }
    return false;
  }
}
