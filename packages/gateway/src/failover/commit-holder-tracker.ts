import {
  compareHolders,
  type GroupId,
  type MemberEntry,
  type MemberId,
  type MemberIncarnation,
  mayRemoveDeparted,
  type Milliseconds,
  formatIncarnation,
} from '@heatherledge/core';
import type { StoredRecord } from '../fleet/known-primaries.js';
import type { PrimaryRecord } from '../fleet/records.js';
import type { PrimaryChangeServices } from './primary-change.js';
import { writePrimaryRecord } from './primary-records.js';

/** Minimum interval between checks whether replicas have caught up after a member has left. */
const CATCH_UP_CHECK_INTERVAL_MS = 300;

/**
 * Keeps the list of commit holders in each group's primary record up to date: the members that may
 * hold commits which no other replica holds. The next change of primary uses the list. Runs on the
 * coordinator, for groups whose primary needs no change.
 */
export class CommitHolderTracker {
  private readonly lastCheckAt = new Map<GroupId, Milliseconds>();

  constructor(private readonly services: PrimaryChangeServices) {}

  /**
   * Adds new members to the list at once, and removes departed ones when that can lose no commit.
   *
   * @param group - the group
   * @param record - the group's primary record as stored
   */
  async update(group: GroupId, record: StoredRecord<PrimaryRecord>): Promise<void> {
    const entries = this.services.view.listMembers(group);
    const listed = entries.map(formatIncarnation);
    const recorded = record.value.holders as MemberIncarnation[];
    const { added, departed } = compareHolders(recorded, listed);
    if (added.length > 0) {
      await this.write(group, record, [...recorded, ...added]);
    } else if (departed.length > 0 && (await this.hasCaughtUpReplicas(group, record, entries))) {
      this.services.log.info('primary.holders.forgotten', { group, departed });
      await this.write(group, record, listed);
    }
  }

  /** Checks whether enough listed replicas hold all commits that the departed members may hold. */
  private async hasCaughtUpReplicas(
    group: GroupId,
    record: StoredRecord<PrimaryRecord>,
    entries: readonly MemberEntry[],
  ): Promise<boolean> {
    const { clock, control, view } = this.services;
    const now = clock.now();
    if (now - (this.lastCheckAt.get(group) ?? -Infinity) < CATCH_UP_CHECK_INTERVAL_MS) return false;
    this.lastCheckAt.set(group, now);
    const primaryEntry = entries.find(
      ({ id }) => id === (record.value.member as MemberId | undefined),
    );
    const primary = primaryEntry && (await control.sendCommand(primaryEntry, { kind: 'status' }));
    if (primary?.role !== 'primary') return false;
    const replicas = await Promise.all(
      entries
        .filter((entry) => entry !== primaryEntry)
        .map(async (entry) => control.sendCommand(entry, { kind: 'status' })),
    );
    const positions = replicas.flatMap((status) => status?.received ?? []);
    const syncReplicas = view.settings?.groups.get(group)?.syncReplicas ?? 0;
    return mayRemoveDeparted(primary.received, positions, syncReplicas);
  }

  private async write(
    group: GroupId,
    record: StoredRecord<PrimaryRecord>,
    holders: readonly MemberIncarnation[],
  ): Promise<void> {
    const value = { ...record.value, holders: [...holders] };
    await writePrimaryRecord(this.services, group, record, value);
  }
}
