/** Guards of the data path's protocols; a mutation run takes each one out. */

/** A guard that can be taken out. */
export type GroupGuard =
  /** A promotion needs the promises of a majority. */
  | 'fence-majority'
  /** Members keep their promise to obey no lower term. */
  | 'promise'
  /** A commit is acknowledged only after a majority holds it. */
  | 'commit-confirmation'
  /** A replica answers only once it has reached the session's position. */
  | 'position-check'
  /** The term is part of the comparison of positions. */
  | 'position-term'
  /** A read at the primary is confirmed by a majority before it is answered. */
  | 'read-confirmation'
  /** The idempotency key is recorded in the transaction itself. */
  | 'outcome-record'
  /** A look-up waits for a transaction that is still open. */
  | 'look-up-waits'
  /** A record that is found is confirmed by a majority before it is believed. */
  | 'record-confirmation'
  /** A question for the primary's position counts only for reads that came before it. */
  | 'read-index-order';

/** Every guard, in the order of the list above. */
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
