import { describe, expect, it } from 'vitest';
import { checkGroupHistory, type GroupHistory, type WriteAttempt } from '@heatherledge/lab';

function createWrite(outcome: WriteAttempt['outcome'], attempt = 'k#1'): WriteAttempt {
  return { attempt, key: 'k', session: 's', startedAt: 0, outcome, respondedAt: 10 };
}

function listViolatedRules(history: Partial<GroupHistory>): string[] {
  const completeHistory = { writes: [], reads: [], finalRecords: [], ...history };
  return checkGroupHistory(completeHistory).map(({ rule }) => rule);
}

const finalRecords = [{ key: 'k', attempt: 'k#1' }];
const read = { session: 's', expected: ['k'], seen: ['k'], startedAt: 1000 };

describe('checkGroupHistory', () => {
  it('accepts a history without violations', () => {
    expect(
      listViolatedRules({ writes: [createWrite('done')], finalRecords, reads: [read] }),
    ).toEqual([]);
  });

  describe('acknowledged writes', () => {
    it.each(['done', 'already-done'] as const)(
      'reports a write with outcome %s that is not in the final log',
      (outcome) => {
        expect(listViolatedRules({ writes: [createWrite(outcome)] })).toEqual([
          'acknowledged-is-kept',
        ]);
      },
    );
  });

  describe('refused writes', () => {
    it('reports a write with outcome not-run that is in the final log', () => {
      expect(listViolatedRules({ writes: [createWrite('not-run')], finalRecords })).toEqual([
        'not-run-is-true',
      ]);
    });

    it('accepts an unknown outcome, in the final log or not', () => {
      expect(listViolatedRules({ writes: [createWrite('unknown')], finalRecords })).toEqual([]);
      expect(listViolatedRules({ writes: [createWrite('unknown')] })).toEqual([]);
    });
  });

  describe('repeated writes', () => {
    it('reports a key that is in the final log twice', () => {
      const twice = [...finalRecords, { key: 'k', attempt: 'k#2' }];
      expect(listViolatedRules({ finalRecords: twice })).toEqual(['at-most-once']);
    });
  });

  describe('reads', () => {
    it('reports a read that misses an own write of its session', () => {
      const rules = listViolatedRules({
        writes: [createWrite('done')],
        finalRecords,
        reads: [{ ...read, seen: [] }],
      });
      expect(rules).toEqual(['read-your-writes']);
    });

    it('reports a read that misses what an earlier read returned', () => {
      const reads = [
        { ...read, expected: [], seen: ['other'] },
        { ...read, expected: [], seen: [] },
      ];
      expect(listViolatedRules({ reads })).toEqual(['monotonic-reads']);
    });

    it('reports a read with a maximum age that returns older data', () => {
      const reads = [{ ...read, expected: [], seen: [], maxAgeMs: 400 }];
      expect(listViolatedRules({ writes: [createWrite('done')], finalRecords, reads })).toEqual([
        'stated-age',
      ]);
    });

    it('accepts a read with a maximum age that misses newer data', () => {
      const reads = [{ ...read, expected: [], seen: [], maxAgeMs: 5000 }];
      expect(listViolatedRules({ writes: [createWrite('done')], finalRecords, reads })).toEqual([]);
    });
  });
});
