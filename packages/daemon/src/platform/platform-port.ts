import type { Brand, InstanceRecord } from '@heatherledge/core';

/** A key with its value and the revision that last changed it. */
export interface PlatformKey {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** Condition that a key was last changed at this revision; 0 means that it does not exist. */
export interface PlatformCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A change of a key; it is deleted if the value is undefined. */
export interface PlatformWrite {
  readonly key: string;
  readonly value: string | undefined;
}

/**
 * Names the history of the store that revisions belong to; another one after the store was restored
 * from a backup. Empty if the store names none.
 */
export type StoreHistoryId = Brand<string, 'StoreHistoryId'>;

/** Keys with their contents at one revision of the store. */
export interface PlatformRange {
  readonly history: StoreHistoryId;
  readonly revision: number;
  readonly keys: readonly PlatformKey[];
}

/** Outcome of a transaction. */
export interface PlatformOutcome {
  readonly history: StoreHistoryId;
  /** Whether all conditions held and the changes were made. */
  readonly succeeded: boolean;
  /** Revision of the store after the transaction. */
  readonly revision: number;
}

/** Changes made at one revision. */
export interface PlatformEvents {
  readonly history: StoreHistoryId;
  readonly revision: number;
  readonly writes: readonly PlatformWrite[];
}

/** Purpose of a call, by which calls are counted in metrics. */
export type PlatformPurpose = 'settings' | 'freshness' | 'slots' | 'list' | 'audit';

/**
 * The platform did not respond in time or reported an error; a write may or may not have taken
 * effect.
 */
export class PlatformError extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'PlatformError';
  }
}

/** The platform's key-value service and its list of instances. */
export interface PlatformPort {
  /**
   * Reads a key, or all keys with a prefix.
   *
   * @param prefix - prefix of the keys, or a whole key
   * @param exact - whether `prefix` is a whole key
   * @param purpose - purpose of the call
   * @throws PlatformError if the platform does not respond in time or reports an error
   */
  readRange(prefix: string, exact: boolean, purpose: PlatformPurpose): Promise<PlatformRange>;
  /**
   * Applies changes atomically if all conditions hold.
   *
   * @param compares - conditions
   * @param writes - changes
   * @param purpose - purpose of the call
   * @throws PlatformError if the platform does not respond in time or reports an error
   */
  transact(
    compares: readonly PlatformCompare[],
    writes: readonly PlatformWrite[],
    purpose: PlatformPurpose,
  ): Promise<PlatformOutcome>;
  /**
   * Watches keys until the signal aborts the watch or it breaks.
   *
   * @param prefix - prefix of the keys
   * @param fromRevision - first revision to deliver
   * @param onEvents - called for each revision, in order
   * @param signal - aborts the watch
   * @returns a promise that resolves when the watch has ended, for whatever reason
   */
  watch(
    prefix: string,
    fromRevision: number,
    onEvents: (events: PlatformEvents) => void,
    signal: AbortSignal,
  ): Promise<void>;
  /**
   * Lists the instances known to the platform; the list may be stale.
   *
   * @throws PlatformError if the platform does not respond in time or reports an error
   */
  listInstances(): Promise<readonly InstanceRecord[]>;
}
