import { type GroupId, toMilliseconds } from '@heatherledge/core';
import type { FleetView, StoredRecord } from '../fleet/fleet-view.js';
import { encodeRecord, formatPrimaryKey, type PrimaryRecord } from '../fleet/records.js';
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
 * Writes a group's primary record, on the condition that this instance is still the coordinator and
 * that the record has not changed.
 *
 * @param services - services needed to write the record
 * @param group - the group
 * @param known - the record to replace, as last read; undefined if the group has none
 * @param value - the new record
 * @returns the record as stored, or undefined if the write is not confirmed
 */
export async function writePrimaryRecord(
  { view, store, lease, log }: PrimaryRecordServices,
  group: GroupId,
  known: StoredRecord<PrimaryRecord> | undefined,
  value: PrimaryRecord,
): Promise<StoredRecord<PrimaryRecord> | undefined> {
  if (!lease.isHeld) return undefined;
  const key = formatPrimaryKey(group);
  const written = await store.commit(
    {
      expect: [lease.expectation, { key, revision: known?.revision ?? (0 as StoreRevision) }],
      puts: [{ key, value: encodeRecord(value), lease: undefined }],
      removes: [],
    },
    STORE_CALL_TIMEOUT_MS,
  );
  if (written.isErr()) {
    const { reason, era } = written.error;
    log.warn('primary.record.failed', { group, reason, era });
    return undefined;
  }
  const { revision } = written.value;
  const stored = { value, revision, createdRevision: known?.createdRevision ?? revision };
  view.applyPrimary(group, stored);
  return stored;
}
