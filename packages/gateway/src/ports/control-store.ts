import type { Brand, Milliseconds } from '@heatherledge/core';
import type { Result } from 'neverthrow';

/**
 * Counts how often the store has returned from an older copy. What it had acknowledged since that copy
 * is lost, leases too, and the revisions are given out again: revisions are comparable only within one
 * era.
 */
export type StoreEra = Brand<number, 'StoreEra'>;
/** Number of a change to the store; 0 stands for a key that does not exist. */
export type StoreRevision = Brand<number, 'StoreRevision'>;
/** Identifies a lease. */
export type LeaseId = Brand<string, 'LeaseId'>;

/** Why a call to the store failed. */
export type StoreErrorKind =
  /** The call was refused; nothing was changed. */
  | 'unavailable'
  /** No response arrived; the call may have been, or may yet be, carried out. */
  | 'unknown'
  /** A condition of a transaction did not hold. */
  | 'conflict'
  /** The lease no longer exists. */
  | 'lease-lost'
  /** The store no longer keeps the requested changes. */
  | 'history-lost'
  /** The response could not be decoded. */
  | 'malformed';

/** A failed call to the store. */
export interface StoreError {
  /** For `conflict`: the present items of the expected keys, if the store named them all. */
  readonly current?: readonly StoreEvent[];
  readonly kind: StoreErrorKind;
  readonly reason: string;
  /** Era of the response, if there was one. */
  readonly era?: StoreEra | undefined;
}

/** A key with its value, and the revisions of its last change and its creation. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: StoreRevision;
  readonly createdRevision: StoreRevision;
}

/** A change of one key. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'deleted'; readonly key: string };

/** All items under a prefix. */
export interface StoreSnapshot {
  readonly items: readonly StoreItem[];
  /** A watch that starts after this revision misses no change. */
  readonly revision: StoreRevision;
  readonly era: StoreEra;
}

/** Changes after a revision. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  /** Revision after which the next watch continues. */
  readonly revision: StoreRevision;
  readonly era: StoreEra;
}

/** Result of a transaction. */
export interface StoreCommit {
  /** The store's revision after the change. */
  readonly revision: StoreRevision;
  /** Era in which the transaction took effect. */
  readonly era: StoreEra;
}

/** A lease that was granted. */
export interface LeaseGrant {
  readonly lease: LeaseId;
  /** Era that the lease belongs to; in another one the same id may name another lease. */
  readonly era: StoreEra;
}

/** Writes and deletions that are applied atomically. */
export interface StoreTransaction {
  /** Revisions that the keys must have; if any differs, nothing is applied. */
  readonly expect: readonly { readonly key: string; readonly revision: StoreRevision }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Buffer;
    readonly lease: LeaseId | undefined;
  }[];
  readonly removes: readonly string[];
}

/** The platform's key-value store, which holds persistent data. No call throws. */
export interface ControlStore {
  readAll(prefix: string, timeoutMs: Milliseconds): Promise<Result<StoreSnapshot, StoreError>>;
  /** Waits at most `waitMs` for changes; `signal` ends the wait early. */
  watch(
    prefix: string,
    after: StoreRevision,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>>;
  commit(
    transaction: StoreTransaction,
    timeoutMs: Milliseconds,
  ): Promise<Result<StoreCommit, StoreError>>;
  grantLease(ttlMs: Milliseconds, timeoutMs: Milliseconds): Promise<Result<LeaseGrant, StoreError>>;
  /** @returns the era in which the lease was renewed */
  renewLease(lease: LeaseId, timeoutMs: Milliseconds): Promise<Result<StoreEra, StoreError>>;
  revokeLease(lease: LeaseId, timeoutMs: Milliseconds): Promise<Result<void, StoreError>>;
  /** Cancels pending calls and closes connections. */
  close(): void;
}
