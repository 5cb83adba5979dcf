import { beforeAll, describe, expect, it } from 'vitest';
import { StatementClassifier } from '../../src/sql/statement-classifier.js';

beforeAll(async () => StatementClassifier.load());

function classify(text: string): string[] {
  return new StatementClassifier(1).classify(text).map(({ kind }) => kind);
}

describe('StatementClassifier', () => {
  describe("with a call of the members' control functions", () => {
    it.each([
      "SELECT heatherledge.fence(99, 'me')",
      "SELECT shop.heatherledge.fence(99, 'me')",
      "SELECT fence(99, 'me')",
      "INSERT INTO t SELECT heatherledge.promote(99, 'me')",
      "INSERT INTO t VALUES (heatherledge.fence(99, 'me'))",
      'UPDATE t SET a = heatherledge.quiesce(1, 2)',
      "DELETE FROM t WHERE heatherledge.follow(1, 'x') IS NULL",
      'CREATE TABLE t AS SELECT heatherledge.status()',
      'CREATE VIEW v AS SELECT heatherledge.status()',
      "DECLARE c CURSOR FOR SELECT heatherledge.fence(99, 'me')",
      "EXPLAIN ANALYZE INSERT INTO t SELECT heatherledge.fence(99, 'me')",
      "CREATE FUNCTION f() RETURNS text LANGUAGE sql AS 'SELECT heatherledge.status()'",
      "DO $$ BEGIN PERFORM heatherledge.fence(99, 'me'); END $$",
    ])('refuses %s', (text) => {
      expect(classify(text)).toEqual(['refused']);
    });
  });

  it('reads a backslash as a plain character, as members must then do', () => {
    expect(classify("SELECT '\\' , '; DELETE FROM items; --'")).toEqual(['read']);
    expect(classify('SET standard_conforming_strings = off')).toEqual(['refused']);
    expect(classify("SELECT set_config('standard_conforming_strings', 'off', true)")).toEqual([
      'refused',
    ]);
    expect(classify("SET LOCAL client_encoding = 'SJIS'")).toEqual(['refused']);
  });

  it('keeps no long texts', () => {
    const classifier = new StatementClassifier(10);
    for (const letter of ['a', 'b', 'c']) {
      const text = `SELECT '${letter.repeat(100_000)}'`;
      expect(classifier.classify(text)).toEqual([{ kind: 'read' }]);
    }
    expect(classifier.classify('SELECT 1')).toBe(classifier.classify('SELECT 1'));
    expect(classifier.cachedLength).toBeLessThan(100);
  });

  describe('with a statement inside of another', () => {
    it.each([
      'CREATE TABLE t AS EXECUTE hl_x',
      'EXPLAIN ANALYZE EXECUTE hl_x',
      'INSERT INTO t SELECT pg_advisory_lock(1)',
    ])('refuses %s', (text) => {
      expect(classify(text)).toEqual(['refused']);
    });

    it.each([
      ['WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x', 'write'],
      ["SELECT 'heatherledge.fence(1)'", 'read'],
      ["SELECT set_config('app.tenant', 'one', true)", 'read'],
      ["INSERT INTO t VALUES ('heatherledge')", 'write'],
    ])('classifies %s as %s', (text, kind) => {
      expect(classify(text)).toEqual([kind]);
    });
  });
});
