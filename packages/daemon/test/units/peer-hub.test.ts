import { type InstanceId, type InstanceRecord, toBrand } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { WebSocket } from 'ws';
import { PeerHub } from '../../src/index.js';

const SELF = toBrand<InstanceId>('self');
const TIMEOUT_MS = 2000;
const packr = new Packr({ useRecords: false });

describe('PeerHub', () => {
  let records: Map<InstanceId, InstanceRecord>;
  let hub: PeerHub;
  let port: number;
  let problems: unknown[];

  beforeEach(async () => {
    records = new Map();
    problems = [];
    hub = new PeerHub(
      { self: SELF, secret: 's' },
      (id) => records.get(id),
      (problem) => problems.push(problem),
    );
    port = await hub.start({ host: '127.0.0.1', port: 0 });
  });

  afterEach(() => hub.stop());

  function addRecord(name: string, host: string): InstanceId {
    const id = toBrand<InstanceId>(name);
    const record = { failureDomain: toBrand<InstanceRecord['failureDomain']>('a'), incarnation: 0 };
    records.set(id, { ...record, id, host, peerPort: port, state: 'alive' });
    return id;
  }

  /** Anyone who reaches the port can send a first message; none of them may end the process. */
  it.each([
    ['letters of several bytes', 'é'.repeat(64)],
    ['other text', 'x'.repeat(64)],
  ])('refuses a hello whose proof holds %s', async (_, proof) => {
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    await new Promise((resolve) => {
      socket.once('open', resolve);
    });
    const hello = { version: 1, instance: 'other', nonce: 'a'.repeat(32), proof };
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    const sentAt = performance.now();
    socket.send(packr.pack(hello));
    await closed;
    // Sooner than at the end of the time for the handshake.
    expect(performance.now() - sentAt).toBeLessThan(1000);
    expect(hub.counts.refused).toBe(1);
    expect(problems).toHaveLength(1);
  });

  it('decodes no long first message', async () => {
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    await new Promise((resolve) => {
      socket.once('open', resolve);
    });
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    const hello = { version: 1, instance: 'other', nonce: 'a'.repeat(32) };
    socket.send(packr.pack({ ...hello, padding: new Uint8Array(10_000) }));
    await closed;
    expect(problems).toMatchObject([{ reason: 'the first message is too long' }]);
  });

  /** The addresses of instances come from records in the store. */
  it.each(['no host', 'a/b#c', '127.0.0.1/path', 'user@127.0.0.1', '1.2.3.999', ''])(
    'takes an instance at the address %j for one that cannot be reached',
    async (host) => {
      const id = addRecord('odd', host);
      hub.send(id, { kind: 'peer.ping' });
      expect(await hub.exchange(id, { kind: 'peer.ping' }, TIMEOUT_MS)).toEqual({
        kind: 'lost',
        wasSent: false,
      });
    },
  );
});
