import { describe, expect, it } from 'vitest';
import { checkGroupHistory, type GroupHistory, type WriteAttempt } from '@heatherledge/lab';

function createWrite(told: WriteAttempt['told'], attempt = 'k#1'): WriteAttempt {
  return { attempt, key: 'k', session: 's', startedAt: 0, told, toldAt: 10 };
}

function findRules(history: Partial<GroupHistory>): string[] {
  const whole = { writes: [], reads: [], kept: [], ...history };
  return checkGroupHistory(whole).map(({ rule }) => rule);
}

const kept = [{ key: 'k', attempt: 'k#1' }];
const read = { session: 's', expected: ['k'], seen: ['k'], startedAt: 1000 };

describe('checkGroupHistory', () => {
  it('accepts a history that keeps every promise', () => {
    expect(findRules({ writes: [createWrite('done')], kept, reads: [read] })).toEqual([]);
  });

  describe('acknowledged writes', () => {
    it.each(['done', 'already-done'] as const)('sees a write told %s that is not kept', (told) => {
      expect(findRules({ writes: [createWrite(told)] })).toEqual(['acknowledged-is-kept']);
    });
  });

  describe('refusals', () => {
    it('sees a write told not-run that is kept', () => {
      expect(findRules({ writes: [createWrite('not-run')], kept })).toEqual(['not-run-is-true']);
    });

    it('accepts an unknown outcome either way', () => {
      expect(findRules({ writes: [createWrite('unknown')], kept })).toEqual([]);
      expect(findRules({ writes: [createWrite('unknown')] })).toEqual([]);
    });
  });

  describe('repeated writes', () => {
    it('sees a key that is kept twice', () => {
      const twice = [...kept, { key: 'k', attempt: 'k#2' }];
      expect(findRules({ kept: twice })).toEqual(['at-most-once']);
    });
  });

  describe('reads', () => {
    it('sees a read without the session own write', () => {
      const rules = findRules({
        writes: [createWrite('done')],
        kept,
        reads: [{ ...read, seen: [] }],
      });
      expect(rules).toEqual(['read-your-writes']);
    });

    it('sees a read that goes back behind an earlier one', () => {
      const reads = [
        { ...read, expected: [], seen: ['other'] },
        { ...read, expected: [], seen: [] },
      ];
      expect(findRules({ reads })).toEqual(['monotonic-reads']);
    });

    it('sees a read of a stated age with older data', () => {
      const reads = [{ ...read, expected: [], seen: [], maxAgeMs: 400 }];
      expect(findRules({ writes: [createWrite('done')], kept, reads })).toEqual(['stated-age']);
    });

    it('accepts a read of a stated age that misses newer data', () => {
      const reads = [{ ...read, expected: [], seen: [], maxAgeMs: 5000 }];
      expect(findRules({ writes: [createWrite('done')], kept, reads })).toEqual([]);
    });
  });
});
