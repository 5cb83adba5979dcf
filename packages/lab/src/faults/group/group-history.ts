/** What callers were told, and the rules that judge it. */

/** How an attempt to write ended, as far as its caller was told. */
export type ToldOutcome = 'done' | 'not-run' | 'unknown' | 'already-done' | 'no-answer';

/** One attempt to write. */
export interface WriteAttempt {
  readonly attempt: string;
  readonly key: string;
  readonly session: string;
  readonly startedAt: number;
  told: ToldOutcome;
  toldAt?: number;
}

/** One read that was answered. */
export interface ReadAnswer {
  readonly session: string;
  /** Keys whose write the session had been told was done before it read. */
  readonly expected: readonly string[];
  readonly seen: readonly string[];
  /** Accepted age in milliseconds, if the read stated one. */
  readonly maxAgeMs?: number;
  readonly startedAt: number;
}

/** One transaction in the log that was kept. */
export interface KeptEntry {
  readonly key: string;
  readonly attempt: string;
}

/** A broken promise. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

/** Everything that is judged of one run. */
export interface GroupHistory {
  readonly writes: readonly WriteAttempt[];
  readonly reads: readonly ReadAnswer[];
  readonly kept: readonly KeptEntry[];
}

/**
 * Judges a run.
 *
 * @param history - what callers were told, and what was kept in the end
 * @returns every broken promise
 */
export function checkGroupHistory(history: GroupHistory): Violation[] {
  return [
    ...checkAcknowledged(history),
    ...checkRefusals(history),
    ...checkOnce(history),
    ...checkReads(history),
    ...checkMonotonicReads(history),
    ...checkAges(history),
  ];
}

function checkAcknowledged({ writes, kept }: GroupHistory): Violation[] {
  const keys = new Set(kept.map(({ key }) => key));
  return writes
    .filter(({ told, key }) => (told === 'done' || told === 'already-done') && !keys.has(key))
    .map(({ attempt }) => ({ rule: 'acknowledged-is-kept', detail: attempt }));
}

function checkRefusals({ writes, kept }: GroupHistory): Violation[] {
  const attempts = new Set(kept.map(({ attempt }) => attempt));
  return writes
    .filter(({ told, attempt }) => told === 'not-run' && attempts.has(attempt))
    .map(({ attempt }) => ({ rule: 'not-run-is-true', detail: attempt }));
}

function checkOnce({ kept }: GroupHistory): Violation[] {
  const seen = new Set<string>();
  const violations: Violation[] = [];
  for (const { key } of kept) {
    if (seen.has(key)) violations.push({ rule: 'at-most-once', detail: key });
    seen.add(key);
  }
  return violations;
}

function checkReads({ reads }: GroupHistory): Violation[] {
  return reads
    .filter(({ maxAgeMs }) => maxAgeMs === undefined)
    .flatMap(({ session, expected, seen }) => {
      const present = new Set(seen);
      const missing = expected.filter((key) => !present.has(key));
      return missing.map((key) => ({ rule: 'read-your-writes', detail: `${session} ${key}` }));
    });
}

function checkMonotonicReads({ reads }: GroupHistory): Violation[] {
  const seenBefore = new Map<string, Set<string>>();
  const violations: Violation[] = [];
  for (const { session, seen, maxAgeMs } of reads) {
    if (maxAgeMs !== undefined) continue;
    const before = seenBefore.get(session) ?? new Set();
    for (const key of before) {
      if (!seen.includes(key)) {
        violations.push({ rule: 'monotonic-reads', detail: `${session} ${key}` });
      }
    }
    seenBefore.set(session, new Set([...before, ...seen]));
  }
  return violations;
}

/** A read of a stated age sees every write that was acknowledged before that age. */
function checkAges({ reads, writes }: GroupHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { seen, maxAgeMs, startedAt, session } of reads) {
    if (maxAgeMs === undefined) continue;
    const present = new Set(seen);
    for (const { key, told, toldAt } of writes) {
      const isOld = told === 'done' && (toldAt ?? Infinity) < startedAt - maxAgeMs;
      if (isOld && !present.has(key)) {
        violations.push({ rule: 'stated-age', detail: `${session} ${key}` });
      }
    }
  }
  return violations;
}
