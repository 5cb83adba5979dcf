import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { createRun, RawCaller, type RawResponse } from '../fixtures/raw-caller.js';
import { SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(24_300, 1);
let caller: RawCaller;

beforeAll(async () => {
  await fleet.start();
  caller = await RawCaller.open(fleet.getCallerPort(0));
  await caller.query('CREATE TABLE items (id int PRIMARY KEY)');
});

afterAll(() => {
  caller.end();
  fleet.stop();
});

function withKey(key: string, text: string): string {
  return `/*heatherledge.idempotency_key='${key}'*/ ${text}`;
}

async function insert(id: number, key?: string): Promise<RawResponse> {
  const text = `INSERT INTO items VALUES (${id})`;
  return caller.query(key === undefined ? text : withKey(key, text));
}

async function countItems(id: number): Promise<number> {
  const { rows } = await caller.query(`SELECT id FROM items WHERE id = ${id}`);
  return rows.length;
}

describe('a parameter in a comment', () => {
  it('holds for its own statement only: maximum age', async () => {
    await caller.query("/*heatherledge.max_age_ms='60000'*/ SELECT 1");
    const { rows } = await caller.query('SHOW heatherledge.max_age_ms');
    expect(rows).toEqual([['']]);
  });

  it.each([
    'LISTEN x',
    'SELECT 1; SET a = b',
    "SET client_encoding = 'LATIN1'",
    "SELECT set_config('a.b', 'c', false)",
  ])('holds for its own statement only: key of a refused request, %s', async (text) => {
    const key = `refused ${text.length}`;
    await caller.query(withKey(key, text));
    await insert(100 + text.length);
    expect((await insert(200 + text.length, key)).errors).toEqual([]);
    expect(await countItems(200 + text.length)).toBe(1);
  });

  it('is the key of the transaction whose first statement has it', async () => {
    await caller.query('BEGIN');
    await insert(1, 'first');
    await insert(2, 'first');
    expect((await caller.query('COMMIT')).tags).toEqual(['COMMIT']);
    expect((await insert(3, 'first')).errors).toEqual([expect.stringContaining('LH001')]);
    expect(await countItems(2)).toBe(1);
  });

  it('is refused as a key once the transaction has run a statement, and is not the next one', async () => {
    await caller.query('BEGIN');
    await insert(10);
    expect((await insert(11, 'late')).errors).toEqual([expect.stringContaining('22023')]);
    await caller.query('ROLLBACK');
    expect((await insert(12)).errors).toEqual([]);
    expect((await insert(13, 'late')).errors).toEqual([]);
    expect(await countItems(13)).toBe(1);
  });

  it('is refused if two statements of one request have different keys', async () => {
    const { errors } = await caller.send(
      Buffer.concat([
        createRun('', withKey('both-1', 'INSERT INTO items VALUES (21)')),
        createRun('', withKey('both-2', 'INSERT INTO items VALUES (22)')),
      ]),
    );
    expect(errors).toEqual([expect.stringContaining('22023')]);
    expect(await countItems(21)).toBe(0);
  });
});

describe('a key that is set for the next transaction', () => {
  it('waits for it', async () => {
    await caller.query("SET heatherledge.idempotency_key = 'next'");
    expect((await insert(30)).errors).toEqual([]);
    expect((await insert(31, 'next')).errors).toEqual([expect.stringContaining('LH001')]);
  });
});

describe('keys with any characters', () => {
  it.each(["it's", 'back\\', "\\'); ROLLBACK; --", 'a/b', 'é\u{1F600}', ' '])(
    'identify one transaction: %s',
    async (key) => {
      const id = 40 + key.length;
      const quoted = key.replaceAll("'", "''");
      const set = `SET heatherledge.idempotency_key = '${quoted}'`;
      await caller.query(set);
      expect((await insert(id)).errors).toEqual([]);
      await caller.query(set);
      expect((await insert(id + 100)).errors).toEqual([expect.stringContaining('LH001')]);
      await caller.query('DELETE FROM items');
    },
  );
});
