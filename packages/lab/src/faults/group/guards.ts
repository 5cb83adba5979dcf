/**
 * A safety check of the protocols for failover, commits, reads and outcome records. A run that disables
 * one shows that the simulation detects its absence.
 */
export type GroupGuard =
  /** A promotion needs the promises of a majority. */
  | 'fence-majority'
  /** Members keep their promise to refuse lower terms. */
  | 'promise'
  /** A commit is acknowledged only once a majority holds it. */
  | 'commit-confirmation'
  /** A replica serves a read only once it has reached the required log position. */
  | 'position-check'
  /** A position is reached only if both its term and its place in the log are reached. */
  | 'position-term'
  /** A read at the primary is confirmed by a majority before the response. */
  | 'read-confirmation'
  /** A transaction itself writes its outcome record, which holds its idempotency key. */
  | 'outcome-record'
  /** The look-up of an outcome record waits while a transaction with the same key is open. */
  | 'look-up-waits'
  /** An outcome record that is found counts only once a majority holds it. */
  | 'record-confirmation'
  /** A read uses only a position of the primary that was requested after the read arrived. */
  | 'read-index-order';

/** All guards. */
export const GROUP_GUARDS: readonly GroupGuard[] = [
  'fence-majority',
  'promise',
  'commit-confirmation',
  'position-check',
  'position-term',
  'read-confirmation',
  'outcome-record',
  'look-up-waits',
  'record-confirmation',
  'read-index-order',
];
