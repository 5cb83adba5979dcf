import {
  type Clock,
  computeClaimDelay,
  computeNextEpoch,
  type GroupId,
  type InstanceId,
  type MemberEntry,
  type Term,
  toMilliseconds,
} from '@heatherledge/core';
import { delay, waitWithTimeout } from '@heatherledge/daemon';
import type { LostRecord } from '../fleet/fleet-contents.js';
import type { FleetView } from '../fleet/fleet-view.js';
import {
  encodePrimaryRecord,
  encodeRecord,
  ERA_KEY,
  formatInstanceKey,
  formatPrimaryKey,
  type PrimaryRecord,
  SETTINGS_COPY_KEY,
} from '../fleet/records.js';
import type { ControlStore, StoreEra, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { CoordinatorLease } from './coordinator-lease.js';
import type { MemberControl } from './member-control.js';
import type { RecordRecall } from './record-recall.js';

const STORE_CALL_TIMEOUT_MS = toMilliseconds(900);
/** A member that does not respond by then is taken to be what its group's record says. */
const ROLE_CHECK_TIMEOUT_MS = 250;
/** Delay before another attempt. */
const RETRY_DELAY_MS = 200;
/** Head start of the coordinator of before over the instances that rank first. */
const COORDINATOR_HEAD_START_MS = 250;
/** Interval at which an instance that waits for its turn checks who else is there. */
const TURN_CHECK_INTERVAL_MS = 100;
/** Maximum random delay before an instance alone writes records that the store has lost. */
const MAX_RESTORE_JITTER_MS = 500;
/** The platform's limit of entries in one call, divided among conditions and writes. */
const MAX_WRITES_PER_CALL = 12;

/** Services needed to restore records. */
export interface EraRecoveryServices {
  readonly self: InstanceId;
  readonly view: FleetView;
  readonly store: ControlStore;
  readonly lease: CoordinatorLease;
  readonly control: MemberControl;
  readonly recall: RecordRecall;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: EventLog;
}

/**
 * Restores what the fleet knew to a store that has returned from an older copy.
 *
 * One instance asks the others for newer settings and records of primaries, compares the records with
 * what members report, writes what the store lacks, and records that the store is complete. Until then
 * no instance takes what the store says for the newest: an instance that has just started, or that was
 * cut off before, would use withdrawn keys and replaced primaries.
 */
export class EraRecovery {
  private isRunning = false;

  private isStopped = false;

  constructor(private readonly services: EraRecoveryServices) {}

  /** Starts to restore records whenever the store has lost some. */
  start(): void {
    this.services.view.onChange(() => void this.run());
    void this.run();
  }

  /** Stops; a call that is under way still completes. */
  stop(): void {
    this.isStopped = true;
  }

  private get isNeeded(): boolean {
    const { view } = this.services;
    if (this.isStopped || view.era === undefined) return false;
    return !view.isComplete || view.listLostRecords().length > 0 || this.mayRemoveCopy;
  }

  private get mayRemoveCopy(): boolean {
    return this.services.lease.isHeld && this.services.view.obsoleteCopyRevision !== undefined;
  }

  private async run(): Promise<void> {
    if (this.isRunning || !this.isNeeded) return;
    this.isRunning = true;
    const { view, log } = this.services;
    try {
      while (this.isNeeded) {
        await this.waitForTurn();
        if (!this.isNeeded) break;
        const isDone = view.isComplete ? await this.maintainRecords() : await this.recover();
        if (!isDone) await delay(RETRY_DELAY_MS);
      }
    } catch (error) {
      log.warn('store.recovery.failed', { reason: String(error) });
    } finally {
      this.isRunning = false;
    }
  }

  /** Waits for the delay of this instance, which changes with the instances that it knows. */
  private async waitForTurn(): Promise<void> {
    const { clock, random, view } = this.services;
    const startedAt = clock.now();
    const chance = random();
    const { era } = view;
    while (this.isNeeded && view.era === era) {
      const remainingMs = startedAt + this.computeDelay(chance) - clock.now();
      if (remainingMs <= 0) return;
      await delay(Math.min(remainingMs, TURN_CHECK_INTERVAL_MS));
    }
  }

  /** The coordinator of before begins, then the instances in the order in which they claim its role. */
  private computeDelay(chance: number): number {
    const { self, view, lease } = this.services;
    if (view.isComplete) return chance * MAX_RESTORE_JITTER_MS;
    if (lease.wasHeldBefore) return 0;
    return COORDINATOR_HEAD_START_MS + computeClaimDelay(self, view.instances.keys(), chance);
  }

  /** @returns whether the records of the store are complete now */
  private async recover(): Promise<boolean> {
    const { view, lease, recall, log, clock } = this.services;
    const startedAt = clock.now();
    const { era } = view;
    if (era === undefined) return false;
    const [recalled, demoted] = await Promise.all([
      recall.recall(era),
      this.findDemotedPrimaries(),
    ]);
    if (view.era !== era || view.isComplete) return view.isComplete;
    view.learn(recalled.records);
    view.learn(demoted.map(([group, record]) => this.createChangingRecord(group, record, era)));
    await this.restoreInstances(recalled.responded);
    if (!(await this.restoreRecords())) return false;
    if (!(await this.recordCompleteness(era))) return false;
    void recalled.leasesVoidAt.then((voidAt) => lease.allowClaim(era, voidAt));
    log.info('store.recovered', {
      era,
      responded: recalled.responded.length,
      recalled: recalled.records.length,
      demoted: demoted.map(([group]) => group),
      ms: Math.round(clock.now() - startedAt),
    });
    return true;
  }

  /** Writes records that only this instance knows, and removes the copy of the settings when it may. */
  private async maintainRecords(): Promise<boolean> {
    const { view, store, lease, log } = this.services;
    if (!(await this.restoreRecords())) return false;
    const { era, obsoleteCopyRevision: revision } = view;
    if (!this.mayRemoveCopy || era === undefined || revision === undefined) return true;
    const expect = [lease.expectation, { key: SETTINGS_COPY_KEY, revision }];
    const removed = await store.commit(
      { expect, puts: [], removes: [SETTINGS_COPY_KEY] },
      STORE_CALL_TIMEOUT_MS,
    );
    if (removed.isErr()) {
      log.warn('settings.copy.not-removed', { reason: removed.error.reason });
      return false;
    }
    view.apply([{ kind: 'deleted', key: SETTINGS_COPY_KEY }], removed.value.era);
    return true;
  }

  /** Writes the records that the store has lost, except those of instances. */
  private async restoreRecords(): Promise<boolean> {
    const { view, log } = this.services;
    const records = view.listLostRecords();
    const written = await Promise.all(records.map(async (record) => this.write(record)));
    if (!written.every(Boolean)) return false;
    if (records.length > 0) {
      log.info('records.restored', { era: view.era, keys: records.map(({ key }) => key) });
    }
    return true;
  }

  /** Writes the records of instances that are up and whose records the store has lost. */
  private async restoreInstances(responded: readonly InstanceId[]): Promise<void> {
    const { view, store, log } = this.services;
    const revision = 0 as StoreRevision;
    const records = responded.flatMap((id) => {
      const record = view.instances.get(id);
      if (record === undefined || view.isRegistered(id)) return [];
      return [{ key: formatInstanceKey(id), value: encodeRecord(record.value), lease: undefined }];
    });
    for (let from = 0; from < records.length; from += MAX_WRITES_PER_CALL) {
      const puts = records.slice(from, from + MAX_WRITES_PER_CALL);
      const expect = puts.map(({ key }) => ({ key, revision }));
      const written = await store.commit({ expect, puts, removes: [] }, STORE_CALL_TIMEOUT_MS);
      // An instance that reaches the store registers itself as well.
      if (written.isErr()) log.info('instances.not-restored', { reason: written.error.reason });
    }
  }

  private async recordCompleteness(era: StoreEra): Promise<boolean> {
    const revision = this.services.view.eraRecord?.revision ?? (0 as StoreRevision);
    const value = encodeRecord({ era, hasCoordinator: false });
    return this.write({ key: ERA_KEY, revision, value });
  }

  /** @returns whether the record was written in the era of the view, which then holds it too */
  private async write({ key, revision: expected, value }: LostRecord): Promise<boolean> {
    const { view, store, log } = this.services;
    const { era } = view;
    if (era === undefined) return false;
    const written = await store.commit(
      {
        expect: [{ key, revision: expected }],
        puts: [{ key, value, lease: undefined }],
        removes: [],
      },
      STORE_CALL_TIMEOUT_MS,
    );
    if (written.isErr()) {
      const { reason, current, era: seenEra } = written.error;
      log.info('record.not-restored', { key, era, reason, seenEra });
      if (current !== undefined && seenEra !== undefined) view.apply(current, seenEra);
      return false;
    }
    // The watch repeats this change.
    const { revision } = written.value;
    const item = { key, value, revision, createdRevision: revision };
    view.apply([{ kind: 'written', item }], written.value.era);
    return written.value.era === era && view.era === era;
  }

  /**
   * Finds groups whose record names a member that no longer leads: its replacement was promoted in the
   * time that the store has lost, and no instance that responds was there.
   */
  private async findDemotedPrimaries(): Promise<[GroupId, PrimaryRecord][]> {
    const { view } = this.services;
    const checks = [...view.primaries].map(async ([group, { value }]) => {
      if (value.member === undefined) return [];
      const isDemoted = await this.isDemoted(group, value.member);
      return isDemoted ? [[group, value] as [GroupId, PrimaryRecord]] : [];
    });
    return (await Promise.all(checks)).flat();
  }

  private async isDemoted(group: GroupId, primary: string): Promise<boolean> {
    const { view, control } = this.services;
    const statuses = await Promise.all(
      view.listMembers(group).map(async (entry: MemberEntry) => ({
        isPrimary: entry.id === primary,
        status: await waitWithTimeout(
          control.sendCommand(entry, { kind: 'status' }),
          ROLE_CHECK_TIMEOUT_MS,
          undefined,
        ),
      })),
    );
    const own = statuses.find(({ isPrimary }) => isPrimary)?.status;
    if (own?.role === 'replica') return true;
    const term = own?.term ?? (-1 as Term);
    return statuses.some(
      ({ isPrimary, status }) => !isPrimary && status?.role === 'primary' && status.term > term,
    );
  }

  /** Creates the record of a change of primary, which the next coordinator completes. */
  private createChangingRecord(
    group: GroupId,
    { epoch, member, holders, endpoints }: PrimaryRecord,
    era: StoreEra,
  ): { key: string; value: Buffer } {
    const nextEpoch = computeNextEpoch(epoch, era);
    const record = { epoch: nextEpoch, previous: member, holders, endpoints };
    return { key: formatPrimaryKey(group), value: encodePrimaryRecord(group, record) };
  }
}
