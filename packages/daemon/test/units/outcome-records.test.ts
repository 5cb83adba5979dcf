import { type GroupId, type OrganisationId, parseSettingsPath, toBrand } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import type { ConnectionLease } from '../../src/callers/connection-lease.js';
import { writeOutcome } from '../../src/callers/outcome-records.js';
import { quoteLiteral } from '../../src/upstreams/member-control.js';
import { UpstreamFailure } from '../../src/upstreams/upstream-connection.js';

const KEY = {
  organisation: toBrand<OrganisationId>('one'),
  group: toBrand<GroupId>('shop'),
  key: 'a/b',
};

/** A lease whose connection records texts, and lacks the table of records at first. */
function createLease(parameterSql: string, lacksTable = false): [ConnectionLease, string[]] {
  const texts: string[] = [];
  const query = async (text: string): Promise<unknown[]> => {
    texts.push(text);
    if (lacksTable && texts.length === 1) {
      throw new UpstreamFailure({ code: '42P01', message: 'no table' });
    }
    return [];
  };
  return [{ connection: { query }, parameterSql } as unknown as ConnectionLease, texts];
}

describe('writeOutcome', () => {
  it("finds its table by the connection's own search path and role, and then sets the session's", async () => {
    const [lease, texts] = createLease('SET search_path = other -- mine\n;SET role = clerk');
    await writeOutcome(lease, KEY, 'BEGIN');
    expect(texts).toHaveLength(1);
    const [text = ''] = texts;
    const order = ['SET LOCAL search_path TO DEFAULT', 'INSERT', 'SET search_path = other'];
    const offsets = order.map((part) => text.indexOf(part));
    expect(offsets).not.toContain(-1);
    expect(offsets).toEqual([...offsets].sort((left, right) => left - right));
  });

  it("begins again as the caller did after it has created its table, outside of the caller's schema", async () => {
    const [lease, texts] = createLease('SET search_path = other', true);
    await writeOutcome(lease, KEY, 'BEGIN ISOLATION LEVEL SERIALIZABLE');
    const create = texts.find((text) => text.includes('CREATE TABLE')) ?? '';
    expect(create).toContain('SET LOCAL search_path TO DEFAULT');
    expect(texts.at(-2)).toBe('BEGIN ISOLATION LEVEL SERIALIZABLE');
  });

  it('stores a record under the id that earlier versions use', async () => {
    const [lease, texts] = createLease('');
    await writeOutcome(lease, KEY, 'BEGIN');
    expect(texts[0]).toContain("VALUES ('one/a/b', now())");
  });
});

describe('the id of a record', () => {
  it.each(['a/b', 'open:x', 'a\0b', 'A', 'a.b', '', '__proto__'])(
    'ends its organisation at the first slash, since no organisation can be named %j',
    (name) => {
      expect(parseSettingsPath(`teams/t/organisations/${name}`)).toBeUndefined();
      expect(parseSettingsPath(`teams/t/routes/${name}`)).toBeUndefined();
    },
  );
});

describe('quoteLiteral', () => {
  it.each([
    ['a', "'a'"],
    ["it's", "'it''s'"],
    ['a\\', "E'a\\\\'"],
    ["\\'; x", "E'\\\\''; x'"],
  ])('quotes %s so that it ends nowhere else', (text, quoted) => {
    expect(quoteLiteral(text)).toBe(quoted);
  });
});
