import type { FleetSettings } from '@heatherledge/core';
import type { StoreItem, StoreRevision } from '../ports/control-store.js';
import type { FleetDirectory } from '../ports/fleet-directory.js';
import type { EventLog } from '../runtime/event-log.js';

/** Keys of the store that hold settings: those of the operators, and the fleet's copy of them. */
type SettingsSource = 'operator' | 'copy';

/** What the store holds under a key. */
interface StoredSettings {
  readonly revision: StoreRevision;
  readonly version: number;
}

/** Ignored entries of the settings that are named in the log. */
const MAX_LOGGED_ENTRIES = 10;

/** Contents of a key that does not exist. */
const NOTHING_STORED: StoredSettings = { revision: 0 as StoreRevision, version: -1 };

/**
 * The settings in force: those of the highest version that this instance has seen, in whichever era of
 * the store.
 */
export class KnownSettings {
  current: FleetSettings | undefined;

  /** The settings in force as they were stored. */
  value: Buffer | undefined;

  private stored: Record<SettingsSource, StoredSettings> = {
    operator: NOTHING_STORED,
    copy: NOTHING_STORED,
  };

  constructor(
    private readonly directory: FleetDirectory,
    private readonly log: EventLog,
  ) {}

  /** Forgets what the store holds, before its contents in another era are read. */
  beginEra(): void {
    this.stored = { operator: NOTHING_STORED, copy: NOTHING_STORED };
  }

  /** @returns the revision of a key as last read in this era; 0 if the store lacks it */
  getRevision(source: SettingsSource): StoreRevision {
    return this.stored[source].revision;
  }

  /** Whether the store has lost the settings in force and holds an older version. */
  get isLost(): boolean {
    const { operator, copy } = this.stored;
    return (
      this.current !== undefined && Math.max(operator.version, copy.version) < this.current.version
    );
  }

  /** Whether the fleet's copy is no newer than what the operators have written since. */
  get isCopyObsolete(): boolean {
    const { operator, copy } = this.stored;
    return copy.revision > 0 && copy.version <= operator.version;
  }

  /**
   * Takes what the store holds; an older event of the same era is ignored.
   *
   * @param source - the key
   * @param item - its item
   * @returns whether other settings are in force now
   */
  put(source: SettingsSource, { value, revision }: StoreItem): boolean {
    if (revision <= this.stored[source].revision) return false;
    const decoded = this.directory.decodeSettings(value);
    if (decoded.isErr()) {
      this.log.warn('settings.unreadable', { source, revision, reason: decoded.error });
      return false;
    }
    const { version } = decoded.value;
    this.stored[source] = { revision, version };
    return this.take(decoded.value, value, { source, revision });
  }

  /** Handles the deletion of a key. */
  remove(source: SettingsSource): void {
    this.stored[source] = NOTHING_STORED;
  }

  /**
   * Takes settings that another instance holds.
   *
   * @param value - the settings as they were stored
   * @returns whether other settings are in force now
   */
  learn(value: Buffer): boolean {
    const decoded = this.directory.decodeSettings(value);
    if (decoded.isOk()) return this.take(decoded.value, value, { source: 'peer' });
    this.log.warn('settings.unreadable', { source: 'peer', reason: decoded.error });
    return false;
  }

  private take(
    settings: FleetSettings,
    value: Buffer,
    origin: { readonly source: string; readonly revision?: StoreRevision },
  ): boolean {
    const { version, routesByDatabase } = settings;
    if (this.current !== undefined && version <= this.current.version) {
      if (version < this.current.version) {
        this.log.info('settings.skipped', { version, known: this.current.version, ...origin });
      }
      return false;
    }
    this.current = settings;
    this.value = value;
    this.log.info('settings.applied', { version, ...origin, routes: routesByDatabase.size });
    const { ignoredEntries: entries } = settings;
    if (entries !== undefined) {
      const first = entries.slice(0, MAX_LOGGED_ENTRIES);
      this.log.warn('settings.entries.ignored', { version, count: entries.length, first });
    }
    return true;
  }
}
