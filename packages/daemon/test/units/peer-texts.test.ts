import { type InstanceId, type InstanceRecord, toBrand } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type PeerBody, PeerHub } from '../../src/index.js';

const TIMEOUT_MS = 5000;
/** A fleet or a configuration may grow beyond any number that is easy to imagine. */
const MANY = 10_001;
const ODD_NAMES = [
  '__proto__',
  'constructor',
  '',
  ' ',
  'a/b',
  'a\u0000b',
  '大阪',
  '\ud83d\ude00',
  'é',
];
const BYTES = new Uint8Array([0, 255]);

describe('messages between instances', () => {
  const [sender, receiver] = ['a', 'b'].map((id) => toBrand<InstanceId>(id)) as [
    InstanceId,
    InstanceId,
  ];
  let hubs: PeerHub[];
  let received: PeerBody[];
  let problems: unknown[];

  beforeEach(async () => {
    const records = new Map<InstanceId, InstanceRecord>();
    received = [];
    problems = [];
    hubs = [sender, receiver].map(
      (self) =>
        new PeerHub(
          { self, secret: 's' },
          (id) => records.get(id),
          (problem) => problems.push(problem),
        ),
    );
    for (const [index, id] of [sender, receiver].entries()) {
      const peerPort = (await hubs[index]?.start({ host: '127.0.0.1', port: 0 })) ?? 0;
      const host = '127.0.0.1';
      const failureDomain = toBrand<InstanceRecord['failureDomain']>('x');
      records.set(id, { id, host, peerPort, failureDomain, incarnation: 0, state: 'alive' });
    }
  });

  afterEach(() => {
    for (const hub of hubs) hub.stop();
  });

  async function exchange(body: PeerBody): Promise<PeerBody | undefined> {
    hubs[1]?.handle(body.kind, (message) => {
      received.push(message);
      return undefined;
    });
    return hubs[0]?.request(receiver, body, TIMEOUT_MS);
  }

  const samples = Array.from({ length: MANY }, (_, index) => ({
    group: `g${index}`,
    member: `m${index}`,
    term: 1,
    position: index,
    ms: 1,
  }));

  describe('of a fleet with many groups', () => {
    it.each<PeerBody>([
      { kind: 'store.check', expectations: samples.map(({ group }) => [group, 1]), samples },
      { kind: 'store.checked', outcome: 'held', samples },
      { kind: 'records.recall', era: 1, epochs: samples.map(({ group }) => [group, 1]) },
      {
        kind: 'records.recalled',
        leaseMs: 0,
        records: samples.map(({ group }) => ({ key: group, value: BYTES })),
      },
      {
        kind: 'settings.write',
        changeId: 'c',
        author: 'a',
        changes: samples.map(({ group }) => ({ path: group, value: 1 })),
      },
    ])('are understood: $kind', async (body) => {
      expect(await exchange(body)).toEqual({ kind: 'done' });
      expect(received).toHaveLength(1);
    });
  });

  describe('with odd texts', () => {
    it.each(ODD_NAMES)('arrive as they were sent: %j', async (name) => {
      const body: PeerBody = {
        kind: 'statement.run',
        member: name,
        organisation: name,
        key: name,
        values: [[name, name]],
        timeoutMs: 1,
        patienceMs: 1,
        priority: 1,
        access: 'read',
        request: name,
        text: name,
        prepared: { name, access: 'read', shape: name },
      };
      expect(await exchange(body)).toEqual({ kind: 'done' });
      expect(received).toEqual([body]);
      expect(problems).toEqual([]);
    });

    it('without a letter pair stay messages, and leave the link open', async () => {
      const body: PeerBody = { kind: 'primary.suspend', group: '\ud800', epoch: 1 };
      expect(await exchange(body)).toEqual({ kind: 'done' });
      // UTF-8 has no such letter.
      expect(received).toEqual([{ ...body, group: '\ufffd' }]);
    });
  });
});
