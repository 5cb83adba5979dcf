/** Callers that write through one instance and read through another, and what became of it. */
import { Caller, type CallerTarget } from './caller.js';

/** Counts of a run; the last four must be 0. */
export interface RoamingCounts {
  sent: number;
  done: number;
  refused: number;
  unknown: number;
  readsChecked: number;
  lost: number;
  doubled: number;
  stale: number;
  falseRefusals: number;
}

/** What is certain of one write, by what the caller was told. */
interface WriteRecord {
  readonly key: string;
  /** Row that the write made, if its answer came. */
  id?: unknown;
  outcome: 'done' | 'not-run' | 'unknown';
}

/** When writes were confirmed, for the gap in writes. */
export interface ConfirmedWrite {
  readonly at: number;
}

/** Chooses the next target; the caller roams. */
export type TargetChooser = () => CallerTarget;

/** Answers at connect after which a balancer tries another instance. */
const ELSEWHERE = new Set(['ECONNREFUSED', 'ECONNRESET', '57P01', '53300']);
const MOST_CONNECTS = 4;
const TABLE = 'ledger';
const MOST_TRIES = 12;
const RETRY_PAUSE_MS = 30;

/** Runs sessions against a fleet and checks what they are told. */
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

  readonly confirmed: ConfirmedWrite[] = [];

  /** SQLSTATEs and messages of refusals, with their number. */
  readonly refusals = new Map<string, number>();

  private readonly records: WriteRecord[] = [];

  private stopped = false;

  /** @param choose - chooses where the next connection goes */
  constructor(private readonly choose: TargetChooser) {}

  /** Makes the table. */
  async prepare(): Promise<void> {
    const caller = await Caller.connect(this.choose());
    const text = `CREATE TABLE IF NOT EXISTS ${TABLE} (id serial PRIMARY KEY, key text, session int)`;
    const result = await caller.run(text);
    await caller.end();
    if (result.outcome !== 'done') throw new Error(`table: ${result.code} ${result.message}`);
  }

  /** Ends the sessions after their present request. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Runs one session until the workload is stopped.
   *
   * @param session - number of the session
   * @param pauseMs - pause between its writes
   */
  async runSession(session: number, pauseMs: number): Promise<void> {
    let position = '';
    for (let index = 0; !this.stopped; index += 1) {
      const key = `s${session}-${index}`;
      position = await this.writeOnce(key, session, position);
      position = await this.readBack(key, position);
      await pause(pauseMs);
    }
  }

  /** Compares what callers were told with what is kept. */
  async check(): Promise<void> {
    const caller = await Caller.connect(this.choose());
    const { rows } = await caller.run(`SELECT key FROM ${TABLE}`);
    await caller.end();
    const times = new Map<string, number>();
    for (const { key } of rows) times.set(String(key), (times.get(String(key)) ?? 0) + 1);
    for (const { key, outcome } of this.records) {
      const kept = times.get(key) ?? 0;
      if (outcome === 'done' && kept === 0) this.counts.lost += 1;
      if (kept > 1) this.counts.doubled += 1;
      if (outcome === 'not-run' && kept > 0) this.counts.falseRefusals += 1;
    }
  }

  private async writeOnce(key: string, session: number, position: string): Promise<string> {
    const record: WriteRecord = { key, outcome: 'not-run' };
    this.records.push(record);
    this.counts.sent += 1;
    let seen = position;
    for (let attempt = 0; attempt < MOST_TRIES && !this.stopped; attempt += 1) {
      const answer = await this.tryWrite(key, session, seen);
      seen = answer.position;
      record.outcome = answer.outcome;
      record.id = answer.id;
      // Only what is not known needs another try; its key makes the try harmless.
      if (answer.outcome !== 'unknown') break;
      await pause(RETRY_PAUSE_MS);
    }
    this.countOutcome(record.outcome);
    return seen;
  }

  /** Connects as through a balancer: an instance that takes nobody is passed over. */
  private async connect(position: string): Promise<Caller> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await Caller.connect(this.choose(), position);
      } catch (error) {
        const code = (error as { code?: string }).code ?? '';
        if (attempt >= MOST_CONNECTS || !ELSEWHERE.has(code)) throw error;
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
    const seen = caller.position;
    await caller.end();
    if (result.outcome === 'not-run') this.countRefusal(result.code ?? '', result.message);
    const isDone = result.outcome === 'done' || result.outcome === 'already-done';
    const outcome = isDone ? 'done' : (result.outcome as 'not-run' | 'unknown');
    return { outcome, position: seen, id: result.rows[0]?.id };
  }

  private async readBack(key: string, position: string): Promise<string> {
    const record = this.records.findLast((candidate) => candidate.key === key);
    if (record?.outcome !== 'done') return position;
    let caller: Caller;
    try {
      caller = await this.connect(position);
    } catch {
      return position;
    }
    // By its row where that is known: looking through all rows would load the members most.
    const result =
      record.id === undefined
        ? await caller.run(`SELECT key FROM ${TABLE} WHERE key = $1`, [key])
        : await caller.run(`SELECT key FROM ${TABLE} WHERE id = $1`, [record.id]);
    const seen = caller.position;
    await caller.end();
    if (result.outcome === 'done') {
      this.counts.readsChecked += 1;
      if (result.rows[0]?.key !== key) this.counts.stale += 1;
    }
    return seen;
  }

  private countOutcome(outcome: WriteRecord['outcome']): void {
    if (outcome === 'done') {
      this.counts.done += 1;
      this.confirmed.push({ at: performance.now() });
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
 * @param confirmed - moments at which writes were confirmed, in milliseconds
 * @param from - start of the time looked at
 * @param until - its end
 * @returns the longest time without a confirmed write, in milliseconds
 */
export function computeLongestGap(
  confirmed: readonly ConfirmedWrite[],
  from: number,
  until: number,
): number {
  const moments = confirmed.map(({ at }) => at).filter((at) => at >= from && at <= until);
  const all = [from, ...moments, until];
  let longest = 0;
  for (let index = 1; index < all.length; index += 1) {
    longest = Math.max(longest, (all[index] ?? 0) - (all[index - 1] ?? 0));
  }
  return longest;
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
