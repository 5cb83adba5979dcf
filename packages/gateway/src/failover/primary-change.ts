import {
  type Clock,
  formatIncarnation,
  type GroupId,
  type HolderPresenceTracker,
  type InstanceId,
  type MemberEndpoint,
  type MemberId,
  toMilliseconds,
} from '@heatherledge/core';
import { delay, type PeerHub } from '@heatherledge/daemon';
import type { StoredRecord } from '../fleet/known-primaries.js';
import type { PrimaryRecord } from '../fleet/records.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { PromotionPort } from '../ports/fleet-directory.js';
import type { MemberControl } from './member-control.js';
import { MemberFencing } from './member-fencing.js';
import { type PrimaryRecordServices, writePrimaryRecord } from './primary-records.js';
import { PrimarySuspension } from './primary-suspension.js';
import { createHolderFields, listDepartedHolders } from './recorded-holders.js';

/** Maximum wait for a member to become the primary. */
const PROMOTE_TIMEOUT_MS = 2000;
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
  /** Region of each failure domain; undefined if none is known. */
  readonly regionByDomain?: ReadonlyMap<string, string> | undefined;
  /** What is known of commit holders that are no longer listed. */
  readonly holderPresence: HolderPresenceTracker;
  /**
   * How long an instance relies on a confirmed record, in milliseconds. This long after a new
   * record was written, every instance has stopped using the old one.
   */
  readonly confirmationTtlMs: number;
}

/** Why a primary is replaced; `resumed` continues a change that an earlier attempt left open. */
export type PrimaryChangeReason =
  | 'draining'
  | 'evacuated'
  | 'unreachable'
  | 'missing'
  | 'resumed'
  /** Another member is in a region that more routes of the group allow. */
  | 'misplaced';

/** A primary that serves is not replaced by a member to which nothing may be sent. */
const PLANNED_REASONS: ReadonlySet<PrimaryChangeReason> = new Set(['evacuated', 'misplaced']);

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
    const record = await this.recordChangeStart(previous, reason);
    if (record === undefined) return false;
    log.info('primary.change.started', {
      group: this.group,
      previous,
      reason,
      epoch: record.value.epoch,
    });
    const [, chosen] = await Promise.all([
      this.suspendPrevious(record.value.epoch),
      new MemberFencing(this.group, this.services).chooseSuccessor(
        previous,
        !PLANNED_REASONS.has(reason),
      ),
    ]);
    const promoted = chosen !== undefined && (await this.promote(chosen));
    const isDone = promoted && (await this.recordNewPrimary(chosen.id));
    const { length: members } = view.listMembers(this.group);
    log.info('primary.change.ended', {
      group: this.group,
      previous,
      primary: isDone ? chosen.id : undefined,
      members,
      ms: Math.round(clock.now() - startedAt),
    });
    return isDone;
  }

  private async suspendPrevious(epoch: number): Promise<void> {
    const { primaryTracker } = this.services.memberRegistry;
    const suspension = new PrimarySuspension(this.group, { ...this.services, primaryTracker });
    await suspension.waitUntilSuspended(epoch);
  }

  private findPreviousPrimary(): MemberId | undefined {
    const value = this.services.view.primaries.get(this.group)?.value;
    return (value?.member ?? value?.previous) as MemberId | undefined;
  }

  /** Records that the group's primary is changing, if this instance is still the coordinator. */
  private async recordChangeStart(
    previous: MemberId | undefined,
    reason: PrimaryChangeReason,
  ): Promise<StoredRecord<PrimaryRecord> | undefined> {
    const { view, memberRegistry } = this.services;
    const known = view.primaries.get(this.group);
    const { holders = [], endpoints } = known?.value ?? {};
    const isRegionMove = reason === 'misplaced' || findResumedMove(reason, known?.value);
    const announcedEpoch = memberRegistry.primaryTracker.findSuspendedEpoch(this.group);
    const content = { previous, holders, endpoints, isRegionMove };
    return writePrimaryRecord(this.services, this.group, known, content, announcedEpoch);
  }

  private async recordNewPrimary(member: MemberId): Promise<boolean> {
    const { view, clock, holderPresence } = this.services;
    const known = view.primaries.get(this.group);
    const entries = view.listMembers(this.group);
    // An unlisted member that is up follows the new primary, and may acknowledge its commits.
    const departed = listDepartedHolders(this.group, known?.value, entries)
      .filter(
        ({ holder, isReplaced }) => !isReplaced && !holderPresence.isGone(holder, clock.now()),
      )
      .map(({ holder }) => holder);
    const holders = [...entries.map(formatIncarnation), ...departed];
    const fields = createHolderFields(holders, entries, known?.value);
    const content = { member, ...fields, isRegionMove: known?.value.isRegionMove };
    const written = await writePrimaryRecord(this.services, this.group, known, content);
    return written !== undefined;
  }

  /** Requests the promotion until the member is the primary, the lease is lost or time runs out. */
  private async promote(member: MemberEndpoint): Promise<boolean> {
    const { lease, promotions, self, clock, control } = this.services;
    const deadline = clock.now() + PROMOTE_TIMEOUT_MS;
    while (clock.now() < deadline) {
      const outcome = await lease.sendOrder(async (fence, remainingMs) => {
        const timeoutMs = toMilliseconds(Math.min(PROMOTE_TIMEOUT_MS, remainingMs));
        return promotions.promote(this.group, member.id, self, fence, timeoutMs);
      });
      if (outcome === undefined) return false;
      if (await this.waitUntilPrimary(member, control, deadline)) return true;
    }
    return false;
  }

  /**
   * Waits until the member is the primary. A promotion takes effect some time after its response,
   * and may take effect even if no response arrived.
   */
  private async waitUntilPrimary(
    member: MemberEndpoint,
    control: MemberControl,
    deadline: number,
  ): Promise<boolean> {
    const { clock, view } = this.services;
    while (clock.now() < deadline) {
      if (view.members.get(member.id)?.role === 'primary') return true;
      const status = await control.sendCommand(member, { kind: 'status' });
      if (status?.role === 'primary') return true;
      await delay(POLL_INTERVAL_MS);
    }
    return false;
  }
}

/** Finds whether a change that is continued was begun to move the primary to a better region. */
function findResumedMove(
  reason: PrimaryChangeReason,
  known: PrimaryRecord | undefined,
): true | undefined {
  const isOpen = known !== undefined && known.member === undefined;
  return reason === 'resumed' && isOpen && known.isRegionMove === true ? true : undefined;
}
