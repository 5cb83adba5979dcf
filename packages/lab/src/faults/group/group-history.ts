/** Outcome of a write attempt according to the response; `no-answer` if none has arrived. */
export type WriteOutcome = 'done' | 'not-run' | 'unknown' | 'already-done' | 'no-answer';

/** A write attempt of a caller. */
export interface WriteAttempt {
  /** Id of the attempt; each retry has a new one. */
  readonly attempt: string;
  /** Idempotency key; the same for all attempts of a write. */
  readonly key: string;
  readonly session: string;
  readonly startedAt: number;
  outcome: WriteOutcome;
  respondedAt?: number;
}

/** A read whose response has arrived. */
export interface CompletedRead {
  readonly session: string;
  /** Keys of the session's writes that were acknowledged before the read started. */
  readonly expected: readonly string[];
  /** Keys that the read returned. */
  readonly seen: readonly string[];
  /** Maximum age in milliseconds, if the read stated one. */
  readonly maxAgeMs?: number;
  readonly startedAt: number;
}

/** The record that a write transaction appends to the log. */
export interface WriteRecord {
  readonly key: string;
  readonly attempt: string;
}

/** A violation of a consistency guarantee; printed as JSON under these names. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

/** What the callers of a run observed, and the final log. */
export interface GroupHistory {
  readonly writes: readonly WriteAttempt[];
  readonly reads: readonly CompletedRead[];
  readonly finalRecords: readonly WriteRecord[];
}

/**
 * Checks a run against the consistency guarantees.
 *
 * @param history - what the callers observed, and the final log
 * @returns all violations
 */
export function checkGroupHistory(history: GroupHistory): Violation[] {
  return [
    ...checkAcknowledgedWrites(history),
    ...checkRefusedWrites(history),
    ...checkDuplicates(history),
    ...checkReadYourWrites(history),
    ...checkMonotonicReads(history),
    ...checkMaxAges(history),
  ];
}

function checkAcknowledgedWrites({ writes, finalRecords }: GroupHistory): Violation[] {
  const keys = new Set(finalRecords.map(({ key }) => key));
  return writes
    .filter(
      ({ outcome, key }) => (outcome === 'done' || outcome === 'already-done') && !keys.has(key),
    )
    .map(({ attempt }) => ({ rule: 'acknowledged-is-kept', detail: attempt }));
}

function checkRefusedWrites({ writes, finalRecords }: GroupHistory): Violation[] {
  const attempts = new Set(finalRecords.map(({ attempt }) => attempt));
  return writes
    .filter(({ outcome, attempt }) => outcome === 'not-run' && attempts.has(attempt))
    .map(({ attempt }) => ({ rule: 'not-run-is-true', detail: attempt }));
}

function checkDuplicates({ finalRecords }: GroupHistory): Violation[] {
  const seen = new Set<string>();
  const violations: Violation[] = [];
  for (const { key } of finalRecords) {
    if (seen.has(key)) violations.push({ rule: 'at-most-once', detail: key });
    seen.add(key);
  }
  return violations;
}

function checkReadYourWrites({ reads }: GroupHistory): Violation[] {
  return reads
    .filter(({ maxAgeMs }) => maxAgeMs === undefined)
    .flatMap(({ session, expected, seen }) => {
      const present = new Set(seen);
      const missing = expected.filter((key) => !present.has(key));
      return missing.map((key) => ({ rule: 'read-your-writes', detail: `${session} ${key}` }));
    });
}

function checkMonotonicReads({ reads }: GroupHistory): Violation[] {
  const keysBySession = new Map<string, Set<string>>();
  const violations: Violation[] = [];
  for (const { session, seen, maxAgeMs } of reads) {
    if (maxAgeMs !== undefined) continue;
    const previousKeys = keysBySession.get(session) ?? new Set();
    for (const key of previousKeys) {
      if (!seen.includes(key)) {
        violations.push({ rule: 'monotonic-reads', detail: `${session} ${key}` });
      }
    }
    keysBySession.set(session, new Set([...previousKeys, ...seen]));
  }
  return violations;
}

/** Checks that a read with a maximum age returns all writes acknowledged longer ago than that. */
function checkMaxAges({ reads, writes }: GroupHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { seen, maxAgeMs, startedAt, session } of reads) {
    if (maxAgeMs === undefined) continue;
    const present = new Set(seen);
    for (const { key, outcome, respondedAt } of writes) {
      const isRequired = outcome === 'done' && (respondedAt ?? Infinity) < startedAt - maxAgeMs;
      if (isRequired && !present.has(key)) {
        violations.push({ rule: 'stated-age', detail: `${session} ${key}` });
      }
    }
  }
  return violations;
}
