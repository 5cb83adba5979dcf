import type { ConnectionLease } from './connection-lease.js';
import type { OutcomeKey } from './outcome-records.js';

/** A transaction that the caller has opened. */
export interface OpenTransaction {
  /** SQL text of the BEGIN statement. */
  readonly beginText: string;
  /** Key under which the transaction is recorded, if it has one. */
  key: OutcomeKey | undefined;
  /** Connection of the transaction; undefined until the first statement has been sent. */
  lease: ConnectionLease | undefined;
}

/**
 * Thrown to run a request again on another connection, when it has taken no effect and nothing of its
 * response has been forwarded.
 */
export class RetryableFailure extends Error {}
