import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(24_600, 1);

beforeAll(async () => fleet.start());

afterAll(() => fleet.stop());

interface ChangeReply {
  readonly status: number;
  readonly body: { outcome?: string; revision?: number };
}

async function change(path: string, changeId: string, token = 'token'): Promise<ChangeReply> {
  const value = { requestsPerSecond: 1, burst: 1 };
  const request = { changes: [{ path, value }], changeId };
  const response = await fleet.callAdmin(0, '/v1/settings', request, token);
  return { status: response.status, body: (await response.json()) as ChangeReply['body'] };
}

async function listPaths(prefix: string): Promise<string[]> {
  const response = await fleet.callAdmin(0, `/v1/settings?prefix=${encodeURIComponent(prefix)}`);
  const { entries } = (await response.json()) as { entries: { path: string }[] };
  return entries.map(({ path }) => path);
}

describe('a change id', () => {
  it("that another operator has used does not report that operator's change as one's own", async () => {
    expect((await change('teams/a/organisations/x', 'deploy-1')).status).toBe(200);
    const reply = await change('teams/b/organisations/y', 'deploy-1', 'team-token');
    expect(reply).toMatchObject({ status: 422, body: { outcome: 'invalid' } });
    expect(await listPaths('teams/b/organisations/y')).toEqual([]);
  });

  it('that was used for another change of the same operator is refused', async () => {
    expect((await change('teams/a/organisations/one-1', 'deploy-2')).status).toBe(200);
    expect((await change('teams/a/organisations/one-2', 'deploy-2')).status).toBe(422);
  });

  it('with the same change gives the same revision again', async () => {
    const first = await change('teams/a/organisations/again', 'deploy-3');
    expect(await change('teams/a/organisations/again', 'deploy-3')).toEqual(first);
  });

  it('with any characters is that of one change', async () => {
    const ids = [
      'a',
      'a/',
      'a/b',
      '.head',
      '..',
      '__proto__',
      'a\0',
      '\n',
      '%2f',
      'é',
      'x'.repeat(100),
    ];
    for (const [index, id] of ids.entries()) {
      expect((await change(`teams/a/organisations/odd-${index}`, id)).status).toBe(200);
    }
    expect(await listPaths('teams/a/organisations/odd-')).toHaveLength(ids.length);
    const history = (await (await fleet.callAdmin(0, '/v1/history')).json()) as {
      changes: { changeId: string }[];
    };
    const listed = new Set(history.changes.map(({ changeId }) => changeId));
    expect(ids.filter((id) => !listed.has(id))).toEqual([]);
  });
});

describe("the instances' own records", () => {
  it('cannot be written, nor their change ids used, by an operator of the whole fleet', async () => {
    expect((await change('internal/writers', 'w')).status).toBe(400);
    expect((await change('teams/a/organisations/w', 'internal/writers-a-1')).status).toBe(400);
  });
});

describe('a path', () => {
  it.each([
    'teams/b/../a/organisations/x',
    'teams/b//organisations/x',
    'teams/b/organisations/',
    'teams/b/organisations/x/y',
    'teams/b/organisations/x\n',
    'teams/b/organisations/%2e',
    'teams/b/organisations/__proto__',
    'teams/b/__proto__/x',
    'teams/b/organisations/é',
    '.head',
    '.era',
    'internal/writers',
    'teams/B/organisations/x',
  ])('that names no setting is refused: %j', async (path) => {
    const tokens = ['token', 'team-token'];
    for (const token of tokens) {
      const { status } = await change(path, `path ${path} ${token}`, token);
      expect([400, 403, 422]).toContain(status);
    }
  });

  it.each(['teams/bb/organisations/x', 'teams/a/organisations/x', 'teams/b'])(
    "outside of the credential's subtree is refused: %s",
    async (path) => {
      expect((await change(path, path, 'team-token')).status).toBe(403);
    },
  );
});

describe('a key', () => {
  const digest = 'a'.repeat(64);

  async function issue(organisation: string, token: string): Promise<number> {
    const path = `teams/b/keys/for-${organisation}`;
    const value = {
      organisation,
      digest: digest.replace('a', token.startsWith('team') ? 'b' : 'c'),
    };
    const request = { changes: [{ path, value }] };
    return (await fleet.callAdmin(0, '/v1/settings', request, token)).status;
  }

  it("for an organisation of another team is refused to a team's operator", async () => {
    expect(await issue('one', 'team-token')).toBe(403);
    const request = { path: 'teams/b/keys/one', organisation: 'one' };
    expect((await fleet.callAdmin(0, '/v1/keys', request, 'team-token')).status).toBe(403);
    expect(await issue('one', 'token')).toBe(200);
  });

  it("and a route to a group of another team is refused to a team's operator", async () => {
    const route = { path: 'teams/b/routes/borrowed', value: { group: 'shop-1', open: true } };
    const request = { changes: [route] };
    expect((await fleet.callAdmin(0, '/v1/settings', request, 'team-token')).status).toBe(403);
    expect((await fleet.callAdmin(0, '/v1/settings', request)).status).toBe(200);
  });

  it("for an organisation of the operator's own team is accepted", async () => {
    expect((await change('teams/b/organisations/own', 'own', 'team-token')).status).toBe(200);
    expect(await issue('own', 'team-token')).toBe(200);
  });
});
