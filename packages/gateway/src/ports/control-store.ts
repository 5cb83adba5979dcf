/** The key-value service of the platform, which holds what must last. */
import type { Brand, Milliseconds } from '@heatherledge/core';
import type { Result } from 'neverthrow';

/** Counts the changes of the store; 0 stands for a key that does not exist. */
export type StoreRevision = Brand<number, 'StoreRevision'>;
/** Names a lease. */
export type LeaseId = Brand<string, 'LeaseId'>;

/** Why a call of the store gave no result. */
export type StoreErrorKind =
  /** Refused; nothing was done. */
  | 'unavailable'
  /** No answer came; the call may have been or may yet be carried out. */
  | 'unknown'
  /** A condition did not hold. */
  | 'conflict'
  /** The lease does not exist any more. */
  | 'lease-lost'
  /** The changes asked for are not kept any more. */
  | 'history-lost'
  /** The answer could not be read. */
  | 'malformed';

/** A call of the store that gave no result. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly reason: string;
}

/** A key and its value. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: StoreRevision;
  readonly createdRevision: StoreRevision;
}

/** A key that was written or deleted. */
export type StoreEvent =
  | { readonly kind: 'written'; readonly item: StoreItem }
  | { readonly kind: 'deleted'; readonly key: string };

/** Everything under a prefix. */
export interface StoreSnapshot {
  readonly items: readonly StoreItem[];
  /** A watch that starts here misses nothing. */
  readonly revision: StoreRevision;
}

/** Changes since a revision. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  /** Where the next watch continues. */
  readonly revision: StoreRevision;
}

/** A change that happens as a whole or not at all. */
export interface StoreTransaction {
  readonly expect: readonly { readonly key: string; readonly revision: StoreRevision }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: Buffer;
    readonly lease: LeaseId | undefined;
  }[];
  readonly removes: readonly string[];
}

/** The store; no call throws. */
export interface ControlStore {
  readAll(prefix: string, timeoutMs: Milliseconds): Promise<Result<StoreSnapshot, StoreError>>;
  /** Waits for changes up to `waitMs`, or until `signal` gives the wait up. */
  watch(
    prefix: string,
    after: StoreRevision,
    waitMs: Milliseconds,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>>;
  /** @returns the store's revision after the change */
  commit(
    transaction: StoreTransaction,
    timeoutMs: Milliseconds,
  ): Promise<Result<StoreRevision, StoreError>>;
  grantLease(ttlMs: Milliseconds, timeoutMs: Milliseconds): Promise<Result<LeaseId, StoreError>>;
  keepLease(lease: LeaseId, timeoutMs: Milliseconds): Promise<Result<void, StoreError>>;
  endLease(lease: LeaseId, timeoutMs: Milliseconds): Promise<Result<void, StoreError>>;
  /** Ends waiting calls and connections. */
  close(): void;
}
