import { type GroupId, type MemberId, toBrand } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import {
  COORDINATOR_KEY,
  decodeRecord,
  encodePrimaryRecord,
  ERA_KEY,
  formatInstanceKey,
  formatPrimaryKey,
  RECORDS_PREFIX,
  SETTINGS_COPY_KEY,
} from '../../src/index.js';

/** The store's limit. */
const MAX_KEY_BYTES = 200;

const MEMBER = toBrand<MemberId>('m1');
const RECORD = { epoch: 3, member: MEMBER, holders: [] };

const NAMES = [
  'ledger',
  'ledger/archive',
  'ledger archive ',
  '',
  '.',
  '..',
  '../coordinator',
  'instance/i1',
  'coordinator',
  'era',
  'settings',
  '__proto__',
  '大阪',
  'a\u0000b\r\n',
  'x'.repeat(178),
  'x'.repeat(179),
  'x'.repeat(180),
  'é'.repeat(90),
  'x'.repeat(5000),
  'y'.repeat(5000),
  '\ud800',
  '\ud801',
  formatPrimaryKey(toBrand<GroupId>('x'.repeat(5000))).slice(`${RECORDS_PREFIX}primary/`.length),
].map((name) => toBrand<GroupId>(name));

/** Operators choose the names of groups. A name that makes no key must not leave the group without a primary. */
describe('records of groups', () => {
  it.each(NAMES.map((name) => ({ name, shown: JSON.stringify(name).slice(0, 30) })))(
    'are kept under a key that the store accepts, for the name $shown',
    ({ name }) => {
      const key = formatPrimaryKey(name);
      expect(Buffer.byteLength(key)).toBeLessThanOrEqual(MAX_KEY_BYTES);
      expect(Buffer.from(key).toString()).toBe(key);
      const decoded = decodeRecord(key, encodePrimaryRecord(name, RECORD))._unsafeUnwrap();
      expect(decoded).toMatchObject({ kind: 'primary', group: name, value: RECORD });
    },
  );

  it('have keys of their own', () => {
    const others = [COORDINATOR_KEY, ERA_KEY, SETTINGS_COPY_KEY, formatInstanceKey('' as never)];
    const keys = [...NAMES.map(formatPrimaryKey), ...others];
    expect(new Set(keys).size).toBe(NAMES.length + others.length);
  });

  it('are not taken for those of a group that another key belongs to', () => {
    const [long, other] = [toBrand<GroupId>('x'.repeat(5000)), toBrand<GroupId>('y'.repeat(5000))];
    expect(decodeRecord(formatPrimaryKey(long), encodePrimaryRecord(other, RECORD)).isErr()).toBe(
      true,
    );
  });

  it('are written as before for a name that makes a key', () => {
    const value = encodePrimaryRecord(toBrand<GroupId>('ledger'), RECORD);
    expect(JSON.parse(value.toString())).toEqual(RECORD);
    expect(formatPrimaryKey(toBrand<GroupId>('ledger'))).toBe('heatherledge/primary/ledger');
  });
});
