/** A safety check of the data path's protocols; a mutation run disables them one at a time. */
export type GroupGuard =
  /** A promotion needs the promises of a majority. */
  | 'fence-majority'
  /** Members keep their promise to refuse lower terms. */
  | 'promise'
  /** A commit is acknowledged only once a majority holds it. */
  | 'commit-confirmation'
  /** A replica serves a read only once it has reached the required log position. */
  | 'position-check'
  /** Positions are compared by term as well as by log position. */
  | 'position-term'
  /** A read at the primary is confirmed by a majority before the response. */
  | 'read-confirmation'
  /** The idempotency key is recorded in the transaction itself. */
  | 'outcome-record'
  /** A look-up waits for a transaction that is still open. */
  | 'look-up-waits'
  /** An outcome record that is found counts only once a majority holds it. */
  | 'record-confirmation'
  /** A request for the primary's position serves only reads that arrived before it was sent. */
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
