import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RawCaller } from '../fixtures/raw-caller.js';
import { SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(24_900, 1);
let caller: RawCaller;
let other: RawCaller;

beforeAll(async () => {
  await fleet.start();
  caller = await RawCaller.open(fleet.getCallerPort(0));
  other = await RawCaller.open(fleet.getCallerPort(0));
  await caller.query('CREATE TABLE items (id int PRIMARY KEY)');
});

afterAll(() => {
  caller.end();
  other.end();
  fleet.stop();
});

async function deleteByAnother(): Promise<string[]> {
  const errors: string[] = [];
  for (const id of [2, 3, 4]) {
    errors.push(...(await other.query(`DELETE FROM items WHERE id = ${id}`)).errors);
  }
  return errors;
}

describe('a write in a transaction that its caller has made read-only', () => {
  it.each([
    ['by a parameter', ['SET default_transaction_read_only = on']],
    ['by characteristics', ['SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY']],
    ['by its BEGIN', ['BEGIN READ ONLY']],
    ['by its BEGIN, with a key', ["SET heatherledge.idempotency_key = 'k'", 'BEGIN READ ONLY']],
  ])('is refused at once, and the primary stays in service: %s', async (_, texts) => {
    for (const text of texts) await caller.query(text);
    const startedAt = performance.now();
    const [{ errors }, othersErrors] = await Promise.all([
      caller.query('INSERT INTO items VALUES (1)'),
      deleteByAnother(),
    ]);
    expect(errors).toEqual([expect.stringContaining('25006')]);
    expect(othersErrors).toEqual([]);
    expect(performance.now() - startedAt).toBeLessThan(1000);
    for (const text of ['ROLLBACK', 'RESET ALL']) await caller.query(text);
  });
});
