/** Records of idempotency keys, kept in the members' own tables by the caller's transaction. */
import {
  type GroupId,
  type Milliseconds,
  type OrganisationId,
  type SessionPosition,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '../runtime/system-clock.js';
import { quoteLiteral } from '../upstreams/member-control.js';
import { type UpstreamConnection, UpstreamFailure } from '../upstreams/upstream-connection.js';
import type { LeaseSource } from './lease-source.js';
import type { ServingContext } from './serving-context.js';

const TABLE = 'heatherledge_outcomes';
const UNIQUE_VIOLATION = '23505';
const UNDEFINED_TABLE = '42P01';
const CONFIRM_MS = 1000;
/** Writing a record waits for an open transaction with the same key. */
const RECORD_TIMEOUT_MS = 2500;
const RETRY_MS = 100;

/** Identifies one transaction of one organisation, over all retries. */
export interface OutcomeKey {
  readonly organisation: OrganisationId;
  readonly group: GroupId;
  readonly key: string;
}

/** What the records say. */
export interface OutcomeFinding {
  readonly found: boolean;
  readonly position: SessionPosition;
}

/** Raised if a transaction with the key is already committed. */
export class OutcomeExists extends Error {
  constructor() {
    super('a transaction with this idempotency key is committed');
    this.name = 'OutcomeExists';
  }
}

/**
 * Writes the record in the open transaction of a connection. If another transaction with the same
 * key is open, the member makes this one wait until that one has ended.
 *
 * @param connection - connection with an open transaction
 * @param key - what to record
 * @throws OutcomeExists if the key is recorded
 */
export async function writeOutcome(connection: UpstreamConnection, key: OutcomeKey): Promise<void> {
  try {
    await connection.query(createInsert(key), RECORD_TIMEOUT_MS);
  } catch (error) {
    if (!(error instanceof UpstreamFailure)) throw error;
    if (error.fields.code === UNIQUE_VIOLATION) throw new OutcomeExists();
    if (error.fields.code !== UNDEFINED_TABLE) throw error;
    await connection.query('ROLLBACK');
    await connection.query(
      `CREATE TABLE IF NOT EXISTS ${TABLE} (id text PRIMARY KEY, recorded_at timestamptz)`,
    );
    await connection.query('BEGIN');
    await writeOutcome(connection, key);
  }
}

/**
 * Finds out whether a transaction with the key took effect. Trying to write the record waits for a
 * transaction that is still open, so the answer is final.
 *
 * @param key - what to look for
 * @param leases - source of connections to the primary
 * @param context - clock and counters
 * @param deadline - longest wait
 * @returns the finding, or undefined if it could not be had in time
 */
export async function findOutcome(
  key: OutcomeKey,
  leases: LeaseSource,
  context: ServingContext,
  deadline: Milliseconds,
): Promise<OutcomeFinding | undefined> {
  context.count('look-up');
  while (context.clock.now() < deadline) {
    try {
      return await findOnce(key, leases, deadline);
    } catch {
      await delay(RETRY_MS);
    }
  }
  return undefined;
}

async function findOnce(
  key: OutcomeKey,
  leases: LeaseSource,
  deadline: Milliseconds,
): Promise<OutcomeFinding> {
  const lease = await leases.acquirePrimary(toMilliseconds(deadline));
  try {
    const { connection } = lease;
    await connection.query('BEGIN');
    const found = await isRecorded(connection, key);
    await connection.query('ROLLBACK');
    const position = await connection.ask<SessionPosition>(
      `heatherledge.confirm(${CONFIRM_MS})`,
      CONFIRM_MS * 1.3,
    );
    lease.release();
    return { found, position };
  } catch (error) {
    lease.discard();
    leases.doubt(lease.primary);
    throw error;
  }
}

async function isRecorded(connection: UpstreamConnection, key: OutcomeKey): Promise<boolean> {
  try {
    await writeOutcome(connection, key);
    return false;
  } catch (error) {
    if (error instanceof OutcomeExists) return true;
    throw error;
  }
}

function createInsert(key: OutcomeKey): string {
  const id = quoteLiteral(`${key.organisation}/${key.key}`);
  return `INSERT INTO ${TABLE} (id, recorded_at) VALUES (${id}, now())`;
}
