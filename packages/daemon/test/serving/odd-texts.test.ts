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

/** Shows a parameter on a connection to the primary, which the session before has used. */
async function showAtPrimary(caller: RawCaller, name: string): Promise<string | null | undefined> {
  await caller.query('BEGIN');
  const { rows } = await caller.query(`SHOW ${name}`);
  await caller.query('COMMIT');
  return rows[0]?.[0];
}

/** Runs texts in one session, each in a transaction's place, then shows a parameter in another. */
async function showAfter(texts: readonly string[], name: string): Promise<unknown> {
  await withCaller(async (caller) => {
    for (const text of texts) await caller.query(text);
  });
  return withCaller(async (caller) => showAtPrimary(caller, name));
}

describe('a request without an end', () => {
  it('is refused above a total length, and the connection is closed', async () => {
    const megabyte = createParse('', 'x'.repeat(1_000_000));
    const { errors } = await withCaller(async (caller) =>
      caller.send(Buffer.concat(Array<Buffer>(34).fill(megabyte))),
    );
    expect(errors).toEqual([expect.stringContaining('54000')]);
  });
});

describe('session parameters', () => {
  const use = ['BEGIN', 'SELECT 1', 'COMMIT'];

  it.each([
    ['a role', ['SET ROLE admin', ...use], 'role', 'none'],
    [
      'a user',
      ["SET SESSION AUTHORIZATION 'admin'", ...use],
      'session_authorization',
      'heatherledge',
    ],
    [
      'a path set beside a statement',
      ['SET search_path = other; DELETE FROM items'],
      'search_path',
      '"$user", public',
    ],
    [
      'a path set by a function',
      ["SELECT set_config('search_path', 'other', false) FOR UPDATE"],
      'search_path',
      '"$user", public',
    ],
    [
      'a path set in a transaction',
      ['BEGIN', 'SELECT 1', 'SET search_path = other', 'COMMIT'],
      'search_path',
      '"$user", public',
    ],
  ])('do not pass to the next session: %s', async (_, texts, name, value) => {
    expect(await showAfter(texts, name)).toBe(value);
  });

  it('are all set if one of them ends with a comment', async () => {
    await withCaller(async (caller) => {
      await caller.query('SET search_path = own -- for this service');
      await caller.query("SET datestyle = 'DMY'");
      expect(await showAtPrimary(caller, 'datestyle')).toBe('DMY');
      expect(await showAtPrimary(caller, 'search_path')).toBe('own');
    });
  });

  it.each(['DISCARD PLANS', 'DISCARD SEQUENCES', 'DISCARD TEMP'])('stay after %s', async (text) => {
    await withCaller(async (caller) => {
      await caller.query('SET search_path = own');
      expect((await caller.query(text)).tags).toEqual([text]);
      expect(await showAtPrimary(caller, 'search_path')).toBe('own');
    });
  });

  it('are reset by DISCARD ALL with the prepared statements, and by RESET ALL without the role', async () => {
    await withCaller(async (caller) => {
      await caller.send(createParse('s', 'SELECT 1'));
      await caller.query('SET ROLE clerk');
      await caller.query('SET search_path = own');
      await caller.query('RESET ALL');
      expect(await showAtPrimary(caller, 'role')).toBe('clerk');
      expect(await showAtPrimary(caller, 'search_path')).toBe('"$user", public');
      expect((await caller.query('DISCARD ALL')).tags).toEqual(['DISCARD ALL']);
      expect(await showAtPrimary(caller, 'role')).toBe('none');
      expect((await caller.send(createExecution('s'))).errors).toHaveLength(1);
    });
  });

  it('hold in the transaction that sets them, and afterwards if it is committed', async () => {
    await withCaller(async (caller) => {
      await caller.query('BEGIN');
      await caller.query('SELECT 1');
      await caller.query('SET search_path = own');
      expect((await caller.query('SHOW search_path')).rows).toEqual([['own']]);
      await caller.query('COMMIT');
      expect(await showAtPrimary(caller, 'search_path')).toBe('own');
    });
  });

  it('are as before after a transaction that set them and is rolled back', async () => {
    await withCaller(async (caller) => {
      await caller.query('BEGIN');
      await caller.query('SET search_path = own');
      await caller.query('ROLLBACK');
      expect(await showAtPrimary(caller, 'search_path')).toBe('"$user", public');
    });
  });

  it('stay after a rollback of a transaction that a query with other statements has opened', async () => {
    await withCaller(async (caller) => {
      await caller.query('SET search_path = own');
      await caller.query('BEGIN; SELECT 1');
      await caller.query('ROLLBACK');
      expect(await showAtPrimary(caller, 'search_path')).toBe('own');
    });
  });

  it.each([
    'SET standard_conforming_strings = off',
    "SET client_encoding = 'SJIS'",
    "SET NAMES 'latin1'",
    "SELECT set_config('search_path', 'other', false)",
    'SET search_path = own; SELECT 1',
    "SET search_path = 'heatherledge'",
  ])('are refused if they change how texts are read: %s', async (text) => {
    const { errors } = await withCaller(async (caller) => caller.query(text));
    expect(errors).toEqual([expect.stringMatching(/^0A000 .*\(not run\)$/)]);
  });

  it.each(["SET client_encoding = 'UTF-8'", 'SET standard_conforming_strings = on'])(
    'are set if they do not: %s',
    async (text) => {
      const { errors } = await withCaller(async (caller) => caller.query(text));
      expect(errors).toEqual([]);
    },
  );
});

describe('startup parameters', () => {
  it.each([
    ['as parameters', { search_path: 'own, "my schema"' }, 'own, "my schema"'],
    ['as options', { options: '-c search_path=own,public' }, 'own,public'],
    ['as long options with blanks', { options: '--search-path=own,\\ public' }, 'own, public'],
    ['with quotes and backslashes', { search_path: "it's\\' -- x" }, "it's\\' -- x"],
  ])('hold for each statement: %s', async (_, parameters, value) => {
    const shown = await withCaller(
      async (caller) => showAtPrimary(caller, 'search_path'),
      parameters,
    );
    expect(shown).toBe(value);
  });

  it('set no parameter of the proxy from the value of another', async () => {
    for (const value of ['x-cheatherledge.max_age_ms=6', 'x\\ -c\\ heatherledge.max_age_ms=6']) {
      const { rows } = await withCaller(
        async (caller) => caller.query('SHOW heatherledge.max_age_ms'),
        { options: `-c application_name=${value}` },
      );
      expect(rows).toEqual([['']]);
    }
  });

  it.each<Record<string, string>>([
    { client_encoding: 'LATIN1' },
    { 'a b': 'c' },
    { options: '-x' },
  ])('are refused if they cannot be applied: %s', async (parameters) => {
    await expect(withCaller(async () => {}, parameters)).rejects.toThrow('0A000');
  });
});

describe('parameters of the proxy', () => {
  it.each(['constructor', '__proto__', 'toString', 'missing'])(
    'do not include %s',
    async (name) => {
      const { errors } = await withCaller(async (caller) =>
        caller.query(`SHOW heatherledge."${name}"`),
      );
      expect(errors).toEqual([expect.stringContaining('is not a parameter of the proxy')]);
    },
  );
});
