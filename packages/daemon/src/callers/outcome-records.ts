import {
  type GroupId,
  type Milliseconds,
  type OrganisationId,
  type SessionPosition,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '../runtime/system-clock.js';
import { quoteLiteral } from '../upstreams/member-control.js';
import { UpstreamFailure } from '../upstreams/upstream-connection.js';
import type { ConnectionLease } from './connection-lease.js';
import type { LeaseSource } from './lease-source.js';
import type { ServingContext } from './serving-context.js';

/** Table in a member's database; a transaction with an idempotency key inserts its own record. */
const OUTCOMES_TABLE = 'heatherledge_outcomes';
const CREATE_TABLE_SQL = `CREATE TABLE IF NOT EXISTS ${OUTCOMES_TABLE} (id text PRIMARY KEY, recorded_at timestamptz)`;
/** Makes the table the same one for all sessions of a member, whatever parameters they have set. */
const OWN_PARAMETERS_SQL =
  'SET LOCAL SESSION AUTHORIZATION DEFAULT;SET LOCAL ROLE NONE;SET LOCAL search_path TO DEFAULT';
const LOOKUP_BEGIN_SQL = 'BEGIN READ WRITE';
const UNIQUE_VIOLATION_SQLSTATE = '23505';
const UNDEFINED_TABLE_SQLSTATE = '42P01';
const CONFIRMATION_TIMEOUT_MS = 1000;
/** Covers the time that the write waits for an open transaction with the same key. */
const RECORD_WRITE_TIMEOUT_MS = 2500;
const LOOKUP_RETRY_DELAY_MS = 100;

/** Identifies a transaction of an organisation across its retries. */
export interface OutcomeKey {
  readonly organisation: OrganisationId;
  readonly group: GroupId;
  /** Idempotency key that the caller has set. */
  readonly key: string;
}

/** Result of looking up a transaction in the outcome records. */
export interface OutcomeLookup {
  /** Whether the transaction is committed. */
  readonly found: boolean;
  /** Confirmed log position of the primary after the look-up. */
  readonly position: SessionPosition;
}

/** Thrown if a transaction with the idempotency key is already committed. */
export class OutcomeExists extends Error {
  constructor() {
    super('a transaction with this idempotency key is committed');
    this.name = 'OutcomeExists';
  }
}

/**
 * Writes an outcome record in the open transaction of a connection, creating the table if it is
 * missing. If another transaction with the same key is open, the member blocks this write until that
 * transaction has ended.
 *
 * @param lease - lease of a connection with an open transaction
 * @param key - key to record
 * @param beginText - SQL statement that opened the transaction
 * @throws OutcomeExists if the key is already recorded
 */
export async function writeOutcome(
  lease: ConnectionLease,
  key: OutcomeKey,
  beginText: string,
): Promise<void> {
  const { connection, parameterSql } = lease;
  try {
    const text = `${OWN_PARAMETERS_SQL};${createInsertStatement(key)};${parameterSql}`;
    await connection.query(text, RECORD_WRITE_TIMEOUT_MS);
  } catch (error) {
    if (!(error instanceof UpstreamFailure)) throw error;
    if (error.fields.code === UNIQUE_VIOLATION_SQLSTATE) throw new OutcomeExists();
    if (error.fields.code !== UNDEFINED_TABLE_SQLSTATE) throw error;
    await connection.query('ROLLBACK');
    await connection.query(`BEGIN;${OWN_PARAMETERS_SQL};${CREATE_TABLE_SQL};COMMIT`);
    await connection.query(beginText);
    await writeOutcome(lease, key, beginText);
  }
}

/**
 * Looks up whether a transaction with the key took effect. The look-up tries to write the record
 * itself, which waits for a transaction that is still open, so its result is final.
 *
 * @param key - key of the transaction
 * @param leases - source of connections to the primary
 * @param context - clock and counters
 * @param deadline - time until which the look-up is retried
 * @returns the result, or undefined if there is none before the deadline
 */
export async function findOutcome(
  key: OutcomeKey,
  leases: LeaseSource,
  context: ServingContext,
  deadline: Milliseconds,
): Promise<OutcomeLookup | undefined> {
  context.countEvent('look-up');
  while (context.clock.now() < deadline) {
    try {
      return await tryFindOutcome(key, leases, deadline);
    } catch {
      await delay(LOOKUP_RETRY_DELAY_MS);
    }
  }
  return undefined;
}

async function tryFindOutcome(
  key: OutcomeKey,
  leases: LeaseSource,
  deadline: Milliseconds,
): Promise<OutcomeLookup> {
  const lease = await leases.acquirePrimary(toMilliseconds(deadline));
  try {
    const { connection } = lease;
    await connection.query(LOOKUP_BEGIN_SQL);
    const found = await isRecorded(lease, key);
    await connection.query('ROLLBACK');
    const position = await connection.callFunction<SessionPosition>(
      `heatherledge.confirm(${CONFIRMATION_TIMEOUT_MS})`,
      CONFIRMATION_TIMEOUT_MS * 1.3,
    );
    lease.release();
    return { found, position };
  } catch (error) {
    lease.discard();
    leases.suspectPrimary(lease.primary);
    throw error;
  }
}

async function isRecorded(lease: ConnectionLease, key: OutcomeKey): Promise<boolean> {
  try {
    await writeOutcome(lease, key, LOOKUP_BEGIN_SQL);
    return false;
  } catch (error) {
    if (error instanceof OutcomeExists) return true;
    throw error;
  }
}

/** Organisations have no slash in their names, so the first one ends the organisation. */
function createInsertStatement(key: OutcomeKey): string {
  const id = quoteLiteral(`${key.organisation}/${key.key}`);
  return `INSERT INTO ${OUTCOMES_TABLE} (id, recorded_at) VALUES (${id}, now())`;
}
