import { connect } from 'node:net';
import type pg from 'pg';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { catchError, SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(21_000, 2, {
  callers: { messageLimitBytes: 100_000, startupTimeoutMs: 300 },
});

beforeAll(async () => {
  await fleet.start();
  const client = await fleet.connect(0);
  await client.query('CREATE TABLE items (id int PRIMARY KEY, name text, n int)');
  await client.end();
});

afterAll(() => fleet.stop());

async function withClient<Result>(
  run: (client: pg.Client) => Promise<Result>,
  instance = 0,
  options: Partial<pg.ClientConfig> = {},
): Promise<Result> {
  const client = await fleet.connect(instance, options);
  try {
    return await run(client);
  } finally {
    await client.end().catch(() => {});
  }
}

/** Sends raw bytes and returns all bytes received until the connection is closed. */
async function sendRaw(bytes: Buffer): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(fleet.getCallerPort(0), '127.0.0.1', () => socket.write(bytes));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
}

describe('login', () => {
  it.each([
    ['a wrong key', { password: 'wrong' }, '28P01'],
    ['no key', { password: '' }, '28P01'],
    ["another organisation's key", { user: 'slow' }, '28P01'],
    ['an unknown database', { database: 'nowhere' }, '3D000'],
    ['a database of another organisation', { database: 'closed' }, '42501'],
  ])('refuses %s', async (_, options, code) => {
    const error = await catchError(async () => fleet.connect(0, options));
    expect(error).toMatchObject({ code, detail: 'outcome: not-run' });
  });

  it('needs no key on an open route', async () => {
    const rows = await withClient(
      async (client) => (await client.query('SELECT count(*) AS n FROM items')).rows,
      0,
      { database: 'public', user: 'anybody', password: undefined },
    );
    expect(rows).toHaveLength(1);
  });

  it('answers malformed bytes with an error and closes the connection', async () => {
    expect(await sendRaw(Buffer.from('GET / HTTP/1.1\r\n\r\n'))).toContain('08P01');
  });

  it('closes a connection that sends nothing within the startup timeout', async () => {
    expect(await sendRaw(Buffer.alloc(0))).toBe('');
  });
});

describe('statements', () => {
  it('may be prepared and run repeatedly over pooled connections', async () => {
    const counts = await Promise.all(
      [1, 2, 3].map(async (id) =>
        withClient(async (client) => {
          await client.query({
            name: 'add',
            text: 'INSERT INTO items VALUES ($1, $2, $3)',
            values: [id, 'x', 1],
          });
          const query = { name: 'find', text: 'SELECT n FROM items WHERE id = $1', values: [id] };
          const results = [await client.query(query), await client.query(query)];
          return results.map(({ rowCount }) => rowCount);
        }),
      ),
    );
    expect(counts.flat()).toEqual([1, 1, 1, 1, 1, 1]);
  });

  it('return database errors to the caller and leave the session usable', async () => {
    await withClient(async (client) => {
      const error = await catchError(async () => client.query('SELECT * FROM missing'));
      expect(error.code).toBe('42P01');
      expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
    });
  });

  it('are refused if they need session state that a transaction pool cannot keep', async () => {
    await withClient(async (client) => {
      const features = ['LISTEN x', 'CREATE TEMP TABLE t (a int)', 'SELECT pg_advisory_lock(1)'];
      for (const text of features) {
        const error = await catchError(async () => client.query(text));
        expect(error).toMatchObject({ code: '0A000', detail: 'outcome: not-run' });
      }
    });
  });

  it('are refused if they call the control functions of a member', async () => {
    await withClient(async (client) => {
      const error = await catchError(async () =>
        client.query("SELECT heatherledge.fence(99, 'me')"),
      );
      expect(error.code).toBe('0A000');
    });
  });

  it('return a large response completely', async () => {
    const rows = await withClient(async (client) => {
      await client.query("INSERT INTO items VALUES (500, repeat('y', 90000), 1)");
      return (await client.query('SELECT name FROM items WHERE id = 500')).rows as {
        name: string;
      }[];
    });
    expect(rows[0]?.name).toHaveLength(90_000);
  });

  it('are refused above the message size limit, and the connection is closed', async () => {
    const client = await fleet.connect(0);
    const error = await catchError(async () => client.query(`SELECT '${'x'.repeat(200_000)}'`));
    expect(error.code).toBe('54000');
  });
});

describe('transactions', () => {
  it('are visible to other sessions only after the commit', async () => {
    await withClient(async (writer) => {
      await writer.query('BEGIN');
      await writer.query("INSERT INTO items VALUES (600, 'a', 1)");
      const read = async (): Promise<number> =>
        withClient(
          async (c) => (await c.query('SELECT 1 FROM items WHERE id = 600')).rowCount ?? 0,
          1,
        );
      expect(await read()).toBe(0);
      await writer.query('COMMIT');
      expect(await read()).toBe(1);
    });
  });

  it('roll back after an error', async () => {
    await withClient(async (client) => {
      await client.query('BEGIN');
      await client.query("INSERT INTO items VALUES (601, 'a', 1)");
      await catchError(async () => client.query('SELECT * FROM missing'));
      expect((await catchError(async () => client.query('SELECT 1'))).code).toBe('25P02');
      expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
      expect((await client.query('SELECT 1 FROM items WHERE id = 601')).rowCount).toBe(0);
    });
  });

  it('run at most once for each idempotency key', async () => {
    const text =
      "/*heatherledge.idempotency_key='order-1'*/ INSERT INTO items VALUES (602, 'a', 1)";
    await withClient(async (client) => client.query(text));
    const error = await withClient(async (client) => catchError(async () => client.query(text)), 1);
    expect(error).toMatchObject({ code: 'LH001', detail: 'outcome: done' });
  });
});

describe('sessions that move between instances', () => {
  it('read their writes through another instance, with and without a position', async () => {
    for (let id = 700; id < 720; id += 1) {
      const position = await withClient(async (client) => {
        await client.query('INSERT INTO items VALUES ($1, $2, 1)', [id, 'r']);
        const { rows } = await client.query('SHOW heatherledge.position');
        return String((rows[0] as Record<string, string>)['heatherledge.position']);
      });
      const withPosition = { options: `-c heatherledge.position=${position}` };
      for (const options of [withPosition, {}]) {
        const count = await withClient(
          async (client) =>
            (await client.query('SELECT 1 FROM items WHERE id = $1', [id])).rowCount,
          1,
          options,
        );
        expect(count).toBe(1);
      }
    }
  });

  it('are refused a forged position', async () => {
    const error = await withClient(async (client) =>
      catchError(async () =>
        client.query("SET heatherledge.position = 'v1.1.1.AAAAAAAAAAAAAAAAAAAAAA'"),
      ),
    );
    expect(error.code).toBe('22023');
  });
});

describe('rates', () => {
  it('limit rate and burst over all instances together', async () => {
    const outcomes = await Promise.all(
      [0, 1, 0, 1, 0, 1, 0, 1].map(async (instance) =>
        withClient(async (client) => catchError(async () => client.query('SELECT 1')), instance, {
          user: 'slow',
          password: 'key-slow',
        }),
      ),
    );
    const refused = outcomes.filter(({ code }) => code === '53400');
    expect(refused.length).toBeGreaterThanOrEqual(4);
  });
});

describe('keys', () => {
  it('never reach a member', () => {
    const all = Buffer.concat(fleet.received).toString('latin1');
    expect(all).not.toContain('key-one');
    expect(all).not.toContain('key-slow');
  });

  it('disconnect callers once they are withdrawn, without effect on another key', async () => {
    const [withdrawn, current] = [
      await fleet.connect(1, { password: 'key-one-2' }),
      await fleet.connect(1),
    ];
    await withdrawn.query('SELECT 1');
    const ended = new Promise((resolve) => {
      withdrawn.once('end', resolve);
    });
    const response = await fleet.callAdmin(0, '/v1/settings', {
      changes: [{ path: 'teams/a/keys/one-2' }],
    });
    expect(response.status).toBe(200);
    await ended;
    expect((await catchError(async () => fleet.connect(1, { password: 'key-one-2' }))).code).toBe(
      '28P01',
    );
    expect((await current.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
    await current.end();
  });
});

describe('administration', () => {
  it('refuses changes outside the subtree of the credential', async () => {
    const changes = [
      { path: 'teams/a/organisations/two', value: { requestsPerSecond: 1, burst: 1 } },
    ];
    const response = await fleet.callAdmin(0, '/v1/settings', { changes }, 'team-token');
    expect(response.status).toBe(403);
  });

  it('refuses a change with an outdated expected revision', async () => {
    const changes = [
      { path: 'teams/a/organisations/two', value: { requestsPerSecond: 1, burst: 1 } },
    ];
    const response = await fleet.callAdmin(1, '/v1/settings', { changes, expectedRevision: 1 });
    expect(response.status).toBe(409);
  });

  it('reports all findings of an invalid change', async () => {
    const changes = [
      { path: 'teams/a/organisations/bad', value: { requestsPerSecond: -1, burst: 0 } },
      { path: 'teams/a/routes/bad', value: { group: 'missing' } },
    ];
    const response = await fleet.callAdmin(1, '/v1/settings', { changes });
    expect(response.status).toBe(422);
    const body = (await response.json()) as { findings: unknown[] };
    expect(body.findings).toHaveLength(3);
  });

  it('accepts only one of two concurrent changes with the same expected revision', async () => {
    const list = (await (await fleet.callAdmin(0, '/v1/settings')).json()) as { revision: number };
    const responses = await Promise.all(
      [0, 1].map(async (instance) =>
        fleet.callAdmin(instance, '/v1/settings', {
          changes: [
            {
              path: 'teams/a/organisations/two',
              value: { requestsPerSecond: instance + 1, burst: 1 },
            },
          ],
          expectedRevision: list.revision,
        }),
      ),
    );
    expect(responses.map(({ status }) => status).sort()).toEqual([200, 409]);
  });

  it('explains how a request would be served', async () => {
    const explain = async (database: string, text: string): Promise<Record<string, unknown>> => {
      const body = { organisation: 'one', database, text };
      return (await (await fleet.callAdmin(0, '/v1/explain', body)).json()) as Record<
        string,
        unknown
      >;
    };
    expect(await explain('shop', 'SELECT 1')).toMatchObject({
      group: 'shop-1',
      statements: ['read'],
    });
    expect(await explain('closed', 'SELECT 1')).toMatchObject({
      refusal: { name: 'DatabaseForbidden' },
    });
    expect(await explain('shop', 'LISTEN a')).toMatchObject({
      refusal: { name: 'FeatureRefused' },
    });
  });

  it('dumps the state without keys', async () => {
    const text = await (await fleet.callAdmin(0, '/v1/state')).text();
    expect(text).toContain('"ready":true');
    expect(text).not.toContain('key-one');
  });
});
