import {
  compareHolders,
  type GroupId,
  type HolderPresence,
  type MemberEntry,
  type MemberId,
  type MemberIncarnation,
  mayRemoveGone,
  type Milliseconds,
  formatIncarnation,
} from '@heatherledge/core';
import type { StoredRecord } from '../fleet/known-primaries.js';
import type { PrimaryRecord } from '../fleet/records.js';
import type { PrimaryChangeServices } from './primary-change.js';
import { writePrimaryRecord } from './primary-records.js';
import {
  createHolderFields,
  type DepartedHolder,
  listDepartedHolders,
} from './recorded-holders.js';

/** Minimum interval between checks of the holders of a group that are no longer listed. */
const DEPARTED_CHECK_INTERVAL_MS = 500;

/**
 * Keeps the list of commit holders in each group's primary record up to date: the members that may
 * hold commits which no other replica holds. The next change of primary uses the list. Runs on the
 * coordinator, for groups whose primary needs no change.
 */
export class CommitHolderTracker {
  private readonly lastCheckAt = new Map<GroupId, Milliseconds>();

  constructor(private readonly services: PrimaryChangeServices) {}

  /**
   * Adds new members to the list at once, and removes departed ones when they are gone and that can lose
   * no commit. A departed member that may be up stays in the list, since it may acknowledge commits.
   *
   * @param group - the group
   * @param record - the group's primary record as stored
   */
  async update(group: GroupId, record: StoredRecord<PrimaryRecord>): Promise<void> {
    const entries = this.services.view.listMembers(group);
    const recorded = record.value.holders as MemberIncarnation[];
    const listed = entries.map(formatIncarnation);
    const { added } = compareHolders(recorded, listed);
    this.services.holderPresence.forget(listed);
    if (added.length > 0) {
      await this.write(group, record, entries, [...recorded, ...added]);
      return;
    }
    const departed = listDepartedHolders(group, record.value, entries);
    if (departed.length === 0 || !this.isCheckDue(group)) return;
    const gone = await this.findGone(departed);
    if (gone.size === 0 || !(await this.hasCaughtUpReplicas(group, record, entries))) return;
    const listedNow = this.services.view.listMembers(group);
    const departedNow = new Set(
      listDepartedHolders(group, record.value, listedNow).map(({ holder }) => holder),
    );
    // A holder may have listed itself again while it was being checked.
    const forgotten = [...gone].filter((holder) => departedNow.has(holder));
    const remaining = recorded.filter((holder) => !forgotten.includes(holder));
    if (!(await this.write(group, record, listedNow, remaining))) return;
    this.services.log.info('primary.holders.forgotten', { group, departed: forgotten });
    this.services.holderPresence.forget(forgotten);
  }

  private isCheckDue(group: GroupId): boolean {
    const now = this.services.clock.now();
    if (now - (this.lastCheckAt.get(group) ?? -Infinity) < DEPARTED_CHECK_INTERVAL_MS) return false;
    this.lastCheckAt.set(group, now);
    return true;
  }

  /** Tries to reach departed holders, and returns those that are gone. */
  private async findGone(departed: readonly DepartedHolder[]): Promise<Set<MemberIncarnation>> {
    const { clock, holderPresence, log } = this.services;
    await Promise.all(
      departed.map(async ({ holder, endpoint, isReplaced }) => {
        const presence = isReplaced ? 'replaced' : await this.probe(endpoint);
        const isNew = holderPresence.record(holder, presence, clock.now());
        if (isNew) log.info('primary.holder.departed', { holder, presence });
      }),
    );
    const holders = departed.map(({ holder }) => holder);
    return new Set(holders.filter((holder) => holderPresence.isGone(holder, clock.now())));
  }

  private async probe(endpoint: DepartedHolder['endpoint']): Promise<HolderPresence> {
    if (endpoint === undefined) return 'unreachable';
    const { kind } = await this.services.control.exchange(endpoint, { kind: 'status' });
    if (kind === 'answered') return 'up';
    return kind === 'wrong-member' ? 'replaced' : 'unreachable';
  }

  /** Checks whether enough listed replicas hold all commits that members which are gone may hold. */
  private async hasCaughtUpReplicas(
    group: GroupId,
    record: StoredRecord<PrimaryRecord>,
    entries: readonly MemberEntry[],
  ): Promise<boolean> {
    const { control, view } = this.services;
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
    return mayRemoveGone(primary.received, positions, syncReplicas);
  }

  private async write(
    group: GroupId,
    record: StoredRecord<PrimaryRecord>,
    entries: readonly MemberEntry[],
    holders: readonly MemberIncarnation[],
  ): Promise<boolean> {
    const value = { ...record.value, ...createHolderFields(holders, entries, record.value) };
    return (await writePrimaryRecord(this.services, group, record, value)) !== undefined;
  }
}
