import { EtcdPlatform } from '@heatherledge/daemon';
import { PlatformServer } from '@heatherledge/stand-ins';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { computeDigest, SmallFleet } from '../fixtures/small-fleet.js';

/** The promise: a changed setting is in force within this time. */
const MAX_CHANGE_MS = 5000;
const POLL_MS = 50;
const ODD_KEY = '/heatherledge/settings/teams/a/groups/odd';
const DEPTH = 100_000;

const MEMBER = '{"id":"m-1","host":"127.0.0.1","port":1,"failureDomain":"domain-1"}';
const VALID_GROUP = `{"members":[${MEMBER}],"connectionsPerMember":16}`;

/** Values of a group, as another writer may leave them. */
const ODD_VALUES: Readonly<Record<string, string>> = {
  'no bytes': '',
  'not JSON': 'xx',
  'cut off': VALID_GROUP.slice(0, -3),
  null: 'null',
  'a list': `[${VALID_GROUP}]`,
  'a number beyond all': '1e999',
  'a deeply nested list': '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  'a deeply nested list of members': VALID_GROUP.replace(
    MEMBER,
    '['.repeat(DEPTH) + ']'.repeat(DEPTH),
  ),
  'a deeply nested object': `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`,
  'a list that does not end': '['.repeat(DEPTH),
  'no members': VALID_GROUP.replace(MEMBER, ''),
  'a port out of range': VALID_GROUP.replace('"port":1', '"port":65536'),
  'a negative port': VALID_GROUP.replace('"port":1', '"port":-5'),
  'a port beyond all': VALID_GROUP.replace('"port":1', '"port":1e999'),
  'a port of another type': VALID_GROUP.replace('"port":1', '"port":"http"'),
  'too many connections': VALID_GROUP.replace('16', '1e308'),
};

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function putOdd(fleet: SmallFleet, value: string, key = ODD_KEY): void {
  fleet.platform.store.transact([], [{ kind: 'put', key, value }], []);
}

/** Connects again and again until the key is accepted; returns the last error if it never is. */
async function waitForKey(fleet: SmallFleet, instance: number, password: string): Promise<string> {
  const deadline = Date.now() + MAX_CHANGE_MS;
  let outcome = 'not tried';
  while (outcome !== 'accepted' && Date.now() < deadline) {
    try {
      const caller = await fleet.connect(instance, { password });
      await caller.query('SELECT 1 AS one');
      await caller.end();
      outcome = 'accepted';
    } catch (error) {
      outcome = String(error);
      await sleep(POLL_MS);
    }
  }
  return outcome;
}

async function addKey(fleet: SmallFleet, name: string): Promise<number> {
  const value = { organisation: 'one', digest: computeDigest(name) };
  const changes = [{ path: `teams/a/keys/${name}`, value }];
  return (await fleet.callAdmin(0, '/v1/settings', { changes })).status;
}

// Guards against instances that stop following the settings when one entry of them is odd.
describe('one odd entry of another writer', () => {
  describe('among the settings, in service', () => {
    const fleet = new SmallFleet(23_000, 3);

    beforeAll(async () => fleet.start());
    afterAll(() => fleet.stop());

    it.each(Object.entries(ODD_VALUES))(
      'does not keep a new key from being accepted: %s',
      async (name, value) => {
        putOdd(fleet, value);
        const key = `key-${Object.keys(ODD_VALUES).indexOf(name)}`;
        expect(await addKey(fleet, key)).toBe(200);
        const outcomes = await Promise.all(
          [0, 1, 2].map(async (instance) => waitForKey(fleet, instance, key)),
        );
        expect(outcomes).toEqual(['accepted', 'accepted', 'accepted']);
      },
    );
  });

  describe('among the settings, at a start', () => {
    const fleet = new SmallFleet(23_400, 3);

    beforeAll(async () => {
      for (const [index, value] of Object.values(ODD_VALUES).entries()) {
        putOdd(fleet, value, `${ODD_KEY}-${index}`);
      }
      await fleet.start();
    });
    afterAll(() => fleet.stop());

    it('does not keep an instance from serving, nor from following', async () => {
      expect(await waitForKey(fleet, 2, 'key-one')).toBe('accepted');
      expect(await addKey(fleet, 'key-new')).toBe(200);
      for (const instance of [0, 1, 2]) {
        expect(await waitForKey(fleet, instance, 'key-new')).toBe('accepted');
      }
    });
  });

  // Guards against instances that do not find each other when one entry of the platform's list is odd.
  describe('in the list of instances', () => {
    const VALID = { id: 'i', failureDomain: 'd', host: 'h', peerPort: 1, state: 'alive' as const };
    const platform = new PlatformServer({ host: '127.0.0.1', port: 23_800, listLagMs: 0 });

    beforeAll(async () => platform.start());
    afterAll(() => platform.stop());

    it.each([
      ['no object', 7],
      ['a port out of range', { ...VALID, peerPort: 65_536 }],
      ['a port of another type', { ...VALID, peerPort: 'http' }],
      ['an unknown state', { ...VALID, state: 'asleep' }],
      ['a field missing', { id: 'i' }],
    ])('hides no other instance: %s', async (_, odd) => {
      platform.setInstances([odd as typeof VALID, VALID]);
      const client = new EtcdPlatform('http://127.0.0.1:23800', 1000);
      const listed = await client.listInstances();
      await client.close();
      expect(listed).toEqual([{ ...VALID, incarnation: 0 }]);
    });
  });
});
