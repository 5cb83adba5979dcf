import { Caller, type CallerTarget } from './caller.js';

/** Counts of a run; the last four must be 0. */
export interface RoamingCounts {
  /** Writes, each counted once however often it was tried. */
  sent: number;
  /** Writes reported as done. */
  done: number;
  /** Writes reported as not run, or for which no connection could be made. */
  refused: number;
  /** Writes whose outcome was still unknown after the last attempt. */
  unknown: number;
  /** Reads of a session's own write that returned a result. */
  readsChecked: number;
  /** Writes reported as done that are not stored. */
  lost: number;
  /** Writes stored more than once. */
  doubled: number;
  /** Reads that did not return the session's own write. */
  stale: number;
  /** Writes counted as not run that are stored. */
  falseRefusals: number;
}

/** A write and its outcome as reported to the caller. */
interface WriteRecord {
  readonly key: string;
  /** Id of the inserted row, if the response returned it. */
  id?: unknown;
  outcome: 'done' | 'not-run' | 'unknown';
}

/** A confirmed write. */
export interface ConfirmedWrite {
  /** Time of the confirmation on the clock of `performance.now()`, in milliseconds. */
  readonly at: number;
}

/** Chooses the target of the next connection. */
export type TargetChooser = () => CallerTarget;

/** Error codes at connect after which a load balancer tries another instance. */
const RETRYABLE_CONNECT_CODES = new Set(['ECONNREFUSED', 'ECONNRESET', '57P01', '53300']);
const MAX_CONNECT_ATTEMPTS = 4;
const TABLE = 'ledger';
const MAX_WRITE_ATTEMPTS = 12;
const RETRY_DELAY_MS = 30;

/**
 * Runs sessions that write through one instance and read through another, and checks the reported
 * outcomes against the stored rows.
 */
export class RoamingWorkload {
  readonly counts: RoamingCounts = {
    sent: 0,
    done: 0,
    refused: 0,
    unknown: 0,
    readsChecked: 0,
    lost: 0,
    doubled: 0,
    stale: 0,
    falseRefusals: 0,
  };

  /** Writes reported as done, in the order of their confirmation. */
  readonly confirmedWrites: ConfirmedWrite[] = [];

  /** Number of refusals by code and message. */
  readonly refusals = new Map<string, number>();

  private readonly records: WriteRecord[] = [];

  private stopped = false;

  /** @param chooseTarget - chooses the target of each connection */
  constructor(private readonly chooseTarget: TargetChooser) {}

  /** Creates the table if it does not exist. */
  async createTable(): Promise<void> {
    const caller = await Caller.connect(this.chooseTarget());
    const text = `CREATE TABLE IF NOT EXISTS ${TABLE} (id serial PRIMARY KEY, key text, session int)`;
    const result = await caller.run(text);
    await caller.end();
    if (result.outcome !== 'done') {
      throw new Error(`cannot create the table: ${result.code} ${result.message}`);
    }
  }

  /** Stops each session after its current write and read. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Runs one session, which writes a row and reads it back, until the workload is stopped.
   *
   * @param session - number of the session
   * @param pauseMs - delay between its writes, in milliseconds
   */
  async runSession(session: number, pauseMs: number): Promise<void> {
    let position = '';
    for (let index = 0; !this.stopped; index += 1) {
      const key = `s${session}-${index}`;
      position = await this.writeWithRetries(key, session, position);
      position = await this.checkReadBack(key, position);
      await pause(pauseMs);
    }
  }

  /** Compares the reported outcomes with the stored rows and counts the differences. */
  async checkStoredRows(): Promise<void> {
    const caller = await Caller.connect(this.chooseTarget());
    const { rows } = await caller.run(`SELECT key FROM ${TABLE}`);
    await caller.end();
    const rowCounts = new Map<string, number>();
    for (const { key } of rows) rowCounts.set(String(key), (rowCounts.get(String(key)) ?? 0) + 1);
    for (const { key, outcome } of this.records) {
      const rowCount = rowCounts.get(key) ?? 0;
      if (outcome === 'done' && rowCount === 0) this.counts.lost += 1;
      if (rowCount > 1) this.counts.doubled += 1;
      if (outcome === 'not-run' && rowCount > 0) this.counts.falseRefusals += 1;
    }
  }

  private async writeWithRetries(key: string, session: number, position: string): Promise<string> {
    const record: WriteRecord = { key, outcome: 'not-run' };
    this.records.push(record);
    this.counts.sent += 1;
    let latestPosition = position;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && !this.stopped; attempt += 1) {
      const attemptResult = await this.tryWrite(key, session, latestPosition);
      latestPosition = attemptResult.position;
      record.outcome = attemptResult.outcome;
      record.id = attemptResult.id;
      // Only an unknown outcome is retried; the idempotency key prevents a second insert.
      if (attemptResult.outcome !== 'unknown') break;
      await pause(RETRY_DELAY_MS);
    }
    this.countOutcome(record.outcome);
    return latestPosition;
  }

  /** Connects as a load balancer does: if an instance refuses connections, tries another one. */
  private async connect(position: string): Promise<Caller> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await Caller.connect(this.chooseTarget(), position);
      } catch (error) {
        const code = (error as { code?: string }).code ?? '';
        if (attempt >= MAX_CONNECT_ATTEMPTS || !RETRYABLE_CONNECT_CODES.has(code)) throw error;
      }
    }
  }

  private async tryWrite(
    key: string,
    session: number,
    position: string,
  ): Promise<{ outcome: WriteRecord['outcome']; position: string; id?: unknown }> {
    let caller: Caller;
    try {
      caller = await this.connect(position);
    } catch (error) {
      this.countRefusal('connect', error);
      return { outcome: 'not-run', position };
    }
    const comment = `/*heatherledge.idempotency_key='${key}'*/`;
    const text = `${comment} INSERT INTO ${TABLE} (key, session) VALUES ($1, $2) RETURNING id`;
    const result = await caller.run(text, [key, session]);
    const latestPosition = caller.position;
    await caller.end();
    if (result.outcome === 'not-run') this.countRefusal(result.code ?? '', result.message);
    const isDone = result.outcome === 'done' || result.outcome === 'already-done';
    const outcome = isDone ? 'done' : (result.outcome as 'not-run' | 'unknown');
    return { outcome, position: latestPosition, id: result.rows[0]?.id };
  }

  private async checkReadBack(key: string, position: string): Promise<string> {
    const record = this.records.findLast((candidate) => candidate.key === key);
    if (record?.outcome !== 'done') return position;
    let caller: Caller;
    try {
      caller = await this.connect(position);
    } catch {
      return position;
    }
    // Read by primary key where it is known: a scan of all rows would dominate the members' load.
    const result =
      record.id === undefined
        ? await caller.run(`SELECT key FROM ${TABLE} WHERE key = $1`, [key])
        : await caller.run(`SELECT key FROM ${TABLE} WHERE id = $1`, [record.id]);
    const latestPosition = caller.position;
    await caller.end();
    if (result.outcome === 'done') {
      this.counts.readsChecked += 1;
      if (result.rows[0]?.key !== key) this.counts.stale += 1;
    }
    return latestPosition;
  }

  private countOutcome(outcome: WriteRecord['outcome']): void {
    if (outcome === 'done') {
      this.counts.done += 1;
      this.confirmedWrites.push({ at: performance.now() });
    } else if (outcome === 'unknown') this.counts.unknown += 1;
    else this.counts.refused += 1;
  }

  private countRefusal(code: string, reason: unknown): void {
    const text = reason instanceof Error ? reason.message : String(reason);
    const name = `${code} ${text}`;
    this.refusals.set(name, (this.refusals.get(name) ?? 0) + 1);
  }
}

/**
 * Computes the longest gap between confirmed writes, counting the start and end of the period.
 *
 * @param confirmedWrites - confirmed writes in order of time
 * @param from - start of the period, in milliseconds of `performance.now()`
 * @param until - end of the period, in milliseconds of `performance.now()`
 * @returns the longest time without a confirmed write, in milliseconds
 */
export function computeLongestGap(
  confirmedWrites: readonly ConfirmedWrite[],
  from: number,
  until: number,
): number {
  const times = confirmedWrites.map(({ at }) => at).filter((at) => at >= from && at <= until);
  const boundaries = [from, ...times, until];
  let longest = 0;
  for (let index = 1; index < boundaries.length; index += 1) {
    longest = Math.max(longest, (boundaries[index] ?? 0) - (boundaries[index - 1] ?? 0));
  }
  return longest;
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
