import {
  computeEraNumber,
  splitEraNumber,
  type SettingsRevision,
  toBrand,
} from '@heatherledge/core';
import * as z from 'zod';
import {
  PlatformError,
  type PlatformRange,
  type StoreHistoryId,
} from '../platform/platform-port.js';
import { ERA_KEY, HEAD_KEY } from './settings-keys.js';

const eraSchema = z.object({ history: z.string(), era: z.number() });

/** What the store holds beside the settings themselves, as last read. */
export interface StoredHead {
  readonly history: StoreHistoryId;
  /** Revision of the latest change in this history; 0 if there was none. */
  readonly headRevision: number;
  /** Revision of the era's record; 0 if there is none. */
  readonly eraRevision: number;
  /** Era that the record names, which may belong to an earlier history. */
  readonly recordedEra: number;
}

/** The store was restored from a backup, and its settings have not been compared with the fleet's. */
export class StoreRestoredError extends PlatformError {
  /** @param stored - what the restored store holds */
  constructor(readonly stored: StoredHead) {
    super('the store was restored from a backup');
    this.name = 'StoreRestoredError';
  }
}

/**
 * Makes the store's revisions comparable when it is restored from a backup and gives them out again:
 * each history of the store has an era, which is recorded in the store itself.
 */
export class SettingsHistory {
  private readonly eras = new Map<StoreHistoryId, number>();

  /** Whether the store holds no era yet. */
  needsRecord = false;

  /**
   * Reads the era and the revision of the latest change.
   *
   * @param range - a range of keys that includes the head and the era's record
   * @returns the revision, comparable with those of other histories
   * @throws StoreRestoredError if the history has no era yet
   */
  resolveHead(range: PlatformRange): SettingsRevision {
    const { history } = range;
    const head = range.keys.find(({ key }) => key === HEAD_KEY);
    const record = range.keys.find(({ key }) => key === ERA_KEY);
    const parsed = record && eraSchema.safeParse(JSON.parse(record.value));
    if (parsed?.success === false) throw new PlatformError('the era of the store is unreadable');
    const headRevision = head?.modRevision ?? 0;
    const isKnown =
      parsed === undefined ? !this.hasOther(history) : parsed.data.history === history;
    if (!isKnown) {
      throw new StoreRestoredError({
        history,
        headRevision,
        eraRevision: record?.modRevision ?? 0,
        recordedEra: parsed?.data.era ?? 0,
      });
    }
    this.needsRecord = parsed === undefined;
    this.eras.set(history, parsed?.data.era ?? 0);
    return this.toRevision(history, headRevision);
  }

  /**
   * @param history - a history
   * @param revision - revision of the store in this history
   * @returns the revision, comparable with those of other histories
   * @throws PlatformError if the history's era has not been read
   */
  toRevision(history: StoreHistoryId, revision: number): SettingsRevision {
    const era = this.eras.get(history);
    if (era === undefined) throw new PlatformError('the era of the store is not known');
    return toBrand<SettingsRevision>(revision === 0 ? 0 : computeEraNumber(era, revision));
  }

  /** @returns revision of the store within its history */
  toStoreRevision(revision: SettingsRevision): number {
    return splitEraNumber(revision).revision;
  }

  /**
   * Computes the era of a history that has none.
   *
   * @param stored - what the restored store holds
   * @param newest - newest revision that the fleet knows
   */
  computeNextEra({ recordedEra }: StoredHead, newest: SettingsRevision): number {
    return Math.max(recordedEra, splitEraNumber(newest).era) + 1;
  }

  private hasOther(history: StoreHistoryId): boolean {
    return this.eras.size > 0 && !this.eras.has(history);
  }
}
