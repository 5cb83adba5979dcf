import { type InstanceId, toBrand } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { WebSocket } from 'ws';
import { PeerHub } from '../../src/index.js';

const SELF = toBrand<InstanceId>('self');
const packr = new Packr({ useRecords: false });

describe('PeerHub', () => {
  let hub: PeerHub;
  let port: number;
  let problems: unknown[];

  beforeEach(async () => {
    problems = [];
    hub = new PeerHub(
      { self: SELF, secret: 's' },
      () => undefined,
      (problem) => problems.push(problem),
    );
    port = await hub.start({ host: '127.0.0.1', port: 0 });
  });

  afterEach(() => hub.stop());

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
});
