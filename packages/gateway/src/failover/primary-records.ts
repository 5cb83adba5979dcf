import { computeNextEpoch, type GroupId, toMilliseconds } from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StoredRecord } from '../fleet/known-primaries.js';
import { encodePrimaryRecord, formatPrimaryKey, type PrimaryRecord } from '../fleet/records.js';
import type { ControlStore, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { CoordinatorLease } from './coordinator-lease.js';

const STORE_CALL_TIMEOUT_MS = toMilliseconds(900);

/** Services needed to write a primary record. */
export interface PrimaryRecordServices {
  readonly view: FleetView;
  readonly store: ControlStore;
  readonly lease: CoordinatorLease;
  readonly log: EventLog;
}

/**
 * Writes a group's primary record under the next epoch, on the condition that this instance is still
 * the coordinator and that the record has not changed.
 *
 * @param services - services needed to write the record
 * @param group - the group
 * @param known - the record to replace, as last read; undefined if the group has none
 * @param content - the new record without its epoch
 * @param announcedEpoch - highest epoch that instances were told of, also if its record is lost
 * @returns the record as stored, or undefined if the write is not confirmed
 */
export async function writePrimaryRecord(
  { view, store, lease, log }: PrimaryRecordServices,
  group: GroupId,
  known: StoredRecord<PrimaryRecord> | undefined,
  content: Omit<PrimaryRecord, 'epoch'>,
  announcedEpoch = 0,
): Promise<StoredRecord<PrimaryRecord> | undefined> {
  const { era } = view;
  if (!lease.isHeld || era === undefined) return undefined;
  const key = formatPrimaryKey(group);
  const previousEpoch = Math.max(known?.value.epoch ?? 0, announcedEpoch);
  const value = { ...content, epoch: computeNextEpoch(previousEpoch, era) };
  const written = await store.commit(
    {
      expect: [lease.expectation, { key, revision: known?.revision ?? (0 as StoreRevision) }],
      puts: [{ key, value: encodePrimaryRecord(group, value), lease: undefined }],
      removes: [],
    },
    STORE_CALL_TIMEOUT_MS,
  );
  if (written.isErr()) {
    const { reason, era: seenEra } = written.error;
    log.warn('primary.record.failed', { group, reason, era: seenEra });
    return undefined;
  }
  const { revision } = written.value;
  if (written.value.era !== era || view.era !== era) {
    const reason = 'the store returned from an older copy';
    log.warn('primary.record.failed', { group, reason, era: written.value.era });
    return undefined;
  }
  const stored = { value, revision, createdRevision: known?.createdRevision || revision };
  view.applyPrimary(group, stored);
  return stored;
}
