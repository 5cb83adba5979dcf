import {
  type InstanceId,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  toMilliseconds,
} from '@heatherledge/core';
import type { StoreItem, StoreRevision } from '../ports/control-store.js';
import type { FleetDirectory } from '../ports/fleet-directory.js';
import type { EventLog } from '../runtime/event-log.js';
import { KnownPrimaries, type StoredRecord } from './known-primaries.js';
import { KnownSettings } from './known-settings.js';
import {
  COORDINATOR_KEY,
  type CoordinatorRecord,
  decodeRecord,
  encodePrimaryRecord,
  ERA_KEY,
  type EraRecord,
  formatInstanceKey,
  formatPrimaryKey,
  type InstanceRecord,
  parseRecordKey,
  RECORDS_PREFIX,
  SETTINGS_COPY_KEY,
} from './records.js';
import { RetainedEntries } from './retained-entries.js';

/** Members list themselves again within 2 s after an outage of the store; the rest is slack. */
const MEMBER_RELISTING_TIMEOUT_MS = 2400;
/**
 * An instance whose record was lost registers again within seconds. One that cannot reach the store has
 * stopped using its share of the rates by then, because its confirmation has expired.
 */
const INSTANCE_RELISTING_TIMEOUT_MS = 9000;

/** A record that the store has lost, and the revision of what it holds instead. */
export interface LostRecord {
  readonly key: string;
  readonly revision: StoreRevision;
  readonly value: Buffer;
}

/** The decoded contents of the store, with what is kept of those that it has lost. */
export class FleetContents {
  readonly settings: KnownSettings;

  readonly primaries = new KnownPrimaries();

  readonly members = new RetainedEntries<MemberId, MemberEntry>();

  readonly instances = new RetainedEntries<InstanceId, StoredRecord<InstanceRecord>>();

  /**
   * Members that were known when the store returned from an older copy, each with the older entry that
   * the store holds, if it does. The order of revisions tells which entry is the newest only within an
   * era, so the numbers that members give their entries are compared until they can be listed again.
   */
  private readonly olderEntries = new Map<MemberId, MemberEntry | undefined>();

  coordinator: StoredRecord<CoordinatorRecord> | undefined;

  eraRecord: StoredRecord<EraRecord> | undefined;

  constructor(
    private readonly directory: FleetDirectory,
    private readonly log: EventLog,
  ) {
    this.settings = new KnownSettings(directory, log);
  }

  /**
   * Prepares for the contents of a store that has returned from an older copy: settings and records of
   * primaries stay known, members and instances are retained until they can be listed again.
   */
  beginEra(now: Milliseconds): void {
    this.settings.beginEra();
    this.primaries.beginEra();
    this.retainMembers(now);
    this.olderEntries.clear();
    for (const id of this.members.entries.keys()) this.olderEntries.set(id, undefined);
    this.instances.retainUntil(toMilliseconds(now + INSTANCE_RELISTING_TIMEOUT_MS));
  }

  /** Retains members whose entries are missing, until they can be listed again. */
  retainMembers(now: Milliseconds): void {
    this.members.retainUntil(toMilliseconds(now + MEMBER_RELISTING_TIMEOUT_MS));
  }

  /** Removes or retains everything that the store lacks. */
  removeUnlisted(listedKeys: ReadonlySet<string>): void {
    for (const id of this.members.entries.keys()) {
      if (!listedKeys.has(this.directory.membersPrefix + id)) this.markMemberMissing(id);
    }
    for (const [group, { isLost }] of this.primaries.records) {
      if (!isLost && !listedKeys.has(formatPrimaryKey(group))) this.primaries.records.delete(group);
    }
    for (const id of this.instances.entries.keys()) {
      if (!listedKeys.has(formatInstanceKey(id))) this.instances.markMissing(id);
    }
    if (!listedKeys.has(COORDINATOR_KEY)) this.coordinator = undefined;
    if (!listedKeys.has(ERA_KEY)) this.eraRecord = undefined;
    if (!listedKeys.has(SETTINGS_COPY_KEY)) this.settings.remove('copy');
  }

  /** Takes an item of the store; one that cannot be decoded is ignored. */
  put(item: StoreItem): void {
    const { key, value, revision, createdRevision } = item;
    if (key === this.directory.settingsKey) this.settings.put('operator', item);
    else if (key === SETTINGS_COPY_KEY) this.settings.put('copy', item);
    else if (key.startsWith(this.directory.membersPrefix)) this.putMember(item);
    else if (key.startsWith(RECORDS_PREFIX)) {
      const record = decodeRecord(key, value);
      if (record.isErr()) {
        this.log.warn('record.unreadable', { key, reason: record.error });
        return;
      }
      const stored = { revision, createdRevision };
      const { value: decoded } = record;
      if (decoded.kind === 'coordinator') this.coordinator = { ...stored, value: decoded.value };
      else if (decoded.kind === 'era') this.eraRecord = { ...stored, value: decoded.value };
      else if (decoded.kind === 'instance') {
        this.instances.put(decoded.id, { ...stored, value: decoded.value });
      } else this.primaries.put(decoded.group, { ...stored, value: decoded.value });
    }
  }

  /** Handles the deletion of a key. */
  remove(key: string): void {
    if (key.startsWith(this.directory.membersPrefix)) {
      this.markMemberMissing(key.slice(this.directory.membersPrefix.length) as MemberId);
      return;
    }
    const parsedKey = parseRecordKey(key);
    if (parsedKey?.kind === 'coordinator') this.coordinator = undefined;
    else if (parsedKey?.kind === 'era') this.eraRecord = undefined;
    else if (parsedKey?.kind === 'settings') this.settings.remove('copy');
    else if (parsedKey?.kind === 'instance') this.instances.remove(parsedKey.id);
    else if (parsedKey?.kind === 'primary') this.primaries.remove(key);
  }

  /**
   * Takes records that other instances know, or that follow from what members report; older ones are
   * ignored.
   *
   * @param records - keys and values as they were stored
   * @returns whether settings or primaries have changed
   */
  learn(records: readonly { readonly key: string; readonly value: Buffer }[]): {
    settings: boolean;
    primaries: boolean;
  } {
    const changed = { settings: false, primaries: false };
    for (const { key, value } of records) {
      if (key === SETTINGS_COPY_KEY) {
        changed.settings = this.settings.learn(value) || changed.settings;
      } else {
        const decoded = decodeRecord(key, value);
        if (decoded.isErr()) this.log.warn('record.unreadable', { key, reason: decoded.error });
        else if (decoded.value.kind === 'primary') {
          const { group, value: record } = decoded.value;
          changed.primaries = this.primaries.learn(group, record) || changed.primaries;
        }
      }
    }
    return changed;
  }

  /** @returns the records that the store has lost, without those of instances */
  listLostRecords(): LostRecord[] {
    const lost = this.primaries.listLost().map(([group, { value, revision }]) => ({
      key: formatPrimaryKey(group),
      revision,
      value: encodePrimaryRecord(group, value),
    }));
    const { value, isLost } = this.settings;
    if (!isLost || value === undefined) return lost;
    return [
      ...lost,
      { key: SETTINGS_COPY_KEY, revision: this.settings.getRevision('copy'), value },
    ];
  }

  /**
   * Removes what is still missing once it is no longer retained.
   *
   * @returns whether members or instances were removed
   */
  removeMissing(now: Milliseconds): { members: boolean; instances: boolean } {
    const wasRetaining = this.members.isRetaining;
    const members = this.members.removeMissing(now);
    const hasChanged = wasRetaining && !this.members.isRetaining && this.applyOlderEntries();
    const instances = this.instances.removeMissing(now);
    for (const member of members) this.log.info('member.unlisted', { member });
    for (const instance of instances) this.log.info('instance.unlisted', { instance });
    return { members: hasChanged || members.length > 0, instances: instances.length > 0 };
  }

  /**
   * Takes the entries that the store still holds when members have had the time to write newer ones.
   *
   * @returns whether there were any
   */
  private applyOlderEntries(): boolean {
    const entries = [...this.olderEntries.values()].filter((entry) => entry !== undefined);
    this.olderEntries.clear();
    for (const entry of entries) this.setMember(entry, this.members.entries.get(entry.id));
    return entries.length > 0;
  }

  private putMember({ key, value }: StoreItem): void {
    const decoded = this.directory.decodeMember(key, value);
    if (decoded.isErr()) {
      this.log.warn('member.unreadable', { key, reason: decoded.error });
      this.remove(key);
      return;
    }
    const entry = decoded.value;
    const known = this.members.entries.get(entry.id);
    if (known !== undefined && this.olderEntries.has(entry.id) && isOlderEntry(entry, known)) {
      this.olderEntries.set(entry.id, entry);
      this.members.put(entry.id, known);
      return;
    }
    this.olderEntries.delete(entry.id);
    this.setMember(entry, known);
  }

  private setMember(entry: MemberEntry, known: MemberEntry | undefined): void {
    this.members.put(entry.id, entry);
    if (known?.isDraining === entry.isDraining && known?.role === entry.role) return;
    const { id: member, group, role, isDraining, incarnation } = entry;
    this.log.info('member.listed', { member, group, role, isDraining, incarnation });
  }

  /** Removes a member, or retains it unless it was draining. */
  private markMemberMissing(member: MemberId): void {
    const entry = this.members.entries.get(member);
    this.olderEntries.delete(member);
    if (entry === undefined) return;
    if (this.members.isRetaining && !entry.isDraining) {
      this.members.markMissing(member);
      return;
    }
    this.members.remove(member);
    this.log.info('member.unlisted', { member });
  }
}

/** A store that has returned from an older copy holds earlier entries of members for a while. */
function isOlderEntry(entry: MemberEntry, known: MemberEntry): boolean {
  const { sequence = 0, incarnation } = entry;
  return incarnation === known.incarnation && sequence < (known.sequence ?? 0);
}
