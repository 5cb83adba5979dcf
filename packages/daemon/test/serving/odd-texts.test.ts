import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  createExecution,
  createParse,
  createRun,
  RawCaller,
  type RawResponse,
} from '../fixtures/raw-caller.js';
import { SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(24_000, 1);

beforeAll(async () => {
  await fleet.start();
  await withCaller(async (caller) =>
    caller.query('CREATE TABLE items (id int PRIMARY KEY, name text)'),
  );
});

afterAll(() => fleet.stop());

async function withCaller<Result>(
  run: (caller: RawCaller) => Promise<Result>,
  parameters: Readonly<Record<string, string>> = {},
): Promise<Result> {
  const caller = await RawCaller.open(fleet.getCallerPort(0), parameters);
  try {
    return await run(caller);
  } finally {
    caller.end();
  }
}

async function listItems(): Promise<RawResponse['rows']> {
  return withCaller(async (caller) => {
    const { rows } = await caller.query('SELECT id, name FROM items ORDER BY id');
    await caller.query('DELETE FROM items');
    return rows;
  });
}

describe('prepared statements', () => {
  it('run in their own texts if one request holds several without a name', async () => {
    await withCaller(async (caller) =>
      caller.send(
        Buffer.concat([
          createRun('', "INSERT INTO items VALUES (1, 'a')"),
          createRun('', "INSERT INTO items VALUES (2, 'b')"),
        ]),
      ),
    );
    expect(await listItems()).toEqual([
      ['1', 'a'],
      ['2', 'b'],
    ]);
  });

  it('run in their own texts if requests are sent before the former ones are answered', async () => {
    await withCaller(async (caller) =>
      caller.send(...[1, 2, 3].map((id) => createRun('', `INSERT INTO items VALUES (${id}, 'x')`))),
    );
    expect(await listItems()).toEqual([
      ['1', 'x'],
      ['2', 'x'],
      ['3', 'x'],
    ]);
  });

  it('of another session cannot be run by the name that they have at the member', async () => {
    await withCaller(async (caller) =>
      caller.send(createParse('mine', "INSERT INTO items VALUES (1, 'a')")),
    );
    const received = Buffer.concat(fleet.received).toString('latin1');
    const names = new Set(received.match(/hl_[0-9a-f]{24,40}/g));
    expect(names.size).toBeGreaterThan(0);
    for (const name of names) {
      const { errors, tags } = await withCaller(async (caller) =>
        caller.send(createExecution(name)),
      );
      expect({ errors: errors.length, tags }).toEqual({ errors: 1, tags: [] });
    }
    expect(await listItems()).toEqual([]);
  });

  it('can be run after a request that failed before it prepared them', async () => {
    const text = "INSERT INTO items VALUES (5, 'e')";
    await withCaller(async (caller) => {
      await caller.send(Buffer.concat([createExecution('missing'), createParse('late', text)]));
      expect((await caller.send(createExecution('late'))).errors).toEqual([]);
    });
    expect(await listItems()).toEqual([['5', 'e']]);
  });

  it('are refused if their text is not UTF-8, since it would reach the member changed', async () => {
    const text = Buffer.from("INSERT INTO items VALUES (6, 'caf\xe9')", 'latin1');
    const { errors } = await withCaller(async (caller) => caller.send(createRun('', text)));
    expect(errors).toHaveLength(1);
    expect(await listItems()).toEqual([]);
  });
});
