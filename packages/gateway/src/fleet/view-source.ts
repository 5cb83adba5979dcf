import type { Milliseconds } from '@heatherledge/core';
import type { Result } from 'neverthrow';
import type {
  StoreChanges,
  StoreEra,
  StoreError,
  StoreRevision,
  StoreSnapshot,
} from '../ports/control-store.js';

/** A key, and the newest revision of it that this instance holds. */
export interface Expectation {
  readonly key: string;
  readonly revision: StoreRevision;
}

/** Confirmation that the checked expectations held. */
export interface CheckResult {
  /** A time, by this instance's clock, at which the store held nothing newer. */
  readonly asOf: Milliseconds;
  /** Whether a relay gave the confirmation instead of the store. */
  readonly isRelayed: boolean;
  /** Era of the store that the expectations were checked in. */
  readonly era: StoreEra;
}

/** Contents of the store, and where they come from. */
export interface Listing extends StoreSnapshot {
  /** Whether a relay sent them; they confirm nothing, since the relay may have loaded them long ago. */
  readonly isRelayed: boolean;
}

/** Delivers changes of the store and confirms that none was missed; no call throws. */
export interface ViewSource {
  /** Reads all contents of the store. */
  readAll(): Promise<Result<Listing, StoreError>>;
  /** Waits for changes after a revision, for a few seconds at most or until `signal` aborts. */
  watch(after: StoreRevision, signal: AbortSignal): Promise<Result<StoreChanges, StoreError>>;
  /**
   * Checks that keys still have the expected revisions.
   *
   * @param own - expectations of this instance
   * @param ofSubscribers - expectations of the instances that use this one as their relay, checked
   * in the same call if it goes to the store itself
   */
  check(
    own: readonly Expectation[],
    ofSubscribers: readonly Expectation[],
  ): Promise<Result<CheckResult, StoreError>>;
}
