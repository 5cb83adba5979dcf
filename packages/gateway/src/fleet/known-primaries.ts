import type { GroupId } from '@heatherledge/core';
import type { StoreRevision } from '../ports/control-store.js';
import { formatPrimaryKey, type PrimaryRecord } from './records.js';

/** A decoded record with its revisions in the store. */
export interface StoredRecord<Value> {
  readonly value: Value;
  readonly revision: StoreRevision;
  readonly createdRevision: StoreRevision;
}

/** The newest known record of a group's primary. */
export interface KnownPrimary extends StoredRecord<PrimaryRecord> {
  /**
   * Whether the store has lost the record; the revisions are then those of what it holds instead, 0 if
   * it holds nothing.
   */
  readonly isLost: boolean;
}

const NO_REVISION = 0 as StoreRevision;

/** The record of each group's primary with the highest epoch that this instance has seen. */
export class KnownPrimaries {
  readonly records = new Map<GroupId, KnownPrimary>();

  /**
   * Forgets what the store holds, before its contents in another era are read. The records stay: a
   * primary that was replaced must not be used again because an older copy of the store names it.
   */
  beginEra(): void {
    for (const [group, { value }] of this.records) {
      const revisions = { revision: NO_REVISION, createdRevision: NO_REVISION };
      this.records.set(group, { value, ...revisions, isLost: true });
    }
  }

  /** Takes what the store holds; an older event of the same era is ignored. */
  put(group: GroupId, stored: StoredRecord<PrimaryRecord>): void {
    const known = this.records.get(group);
    if (known !== undefined && known.revision > stored.revision) return;
    const isLost = known !== undefined && known.value.epoch > stored.value.epoch;
    this.records.set(
      group,
      isLost ? { ...stored, value: known.value, isLost } : { ...stored, isLost },
    );
  }

  /** Handles the deletion of a record's key. */
  remove(key: string): void {
    for (const group of this.records.keys()) {
      if (formatPrimaryKey(group) === key) this.records.delete(group);
    }
  }

  /**
   * Takes a record that another instance knows, or that follows from what members report.
   *
   * @returns whether it is newer than the known one
   */
  learn(group: GroupId, value: PrimaryRecord): boolean {
    const known = this.records.get(group);
    if (known !== undefined && known.value.epoch >= value.epoch) return false;
    const { revision, createdRevision } = known ?? {
      revision: NO_REVISION,
      createdRevision: NO_REVISION,
    };
    this.records.set(group, { value, revision, createdRevision, isLost: true });
    return true;
  }

  /** @returns the records that the store has lost */
  listLost(): [GroupId, KnownPrimary][] {
    return [...this.records].filter(([, { isLost }]) => isLost);
  }
}
