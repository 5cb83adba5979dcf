import { toMilliseconds } from '@heatherledge/core';
import { delay, MAX_PEER_MESSAGE_BYTES, MEMBER_HOSTING_FEATURE } from '@heatherledge/daemon';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EMPTY_REPLY } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const BYTES_PER_MIB = 1024 * 1024;
const MAX_RESULT_WAIT_MS = 5000;
/** Far more than a message of these sizes takes on loopback. */
const TIMEOUT_MS = 4000;

/** Session values of a caller, of a MiB each; `é` is one byte on the wire and two in UTF-8. */
function createValues(count: number, letter = 'v'): ReadonlyMap<string, string> {
  const entries = Array.from({ length: count }, (_, number): [string, string] => [
    `name${number}`,
    letter.repeat(BYTES_PER_MIB - 20),
  ]);
  return new Map(entries);
}

/**
 * One caller's statement must not end those of other callers, which share the link between two instances.
 */
describe('statements between instances with large messages', () => {
  let pair: HostingPair;

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  it.each([
    ['values of 9 MiB', 9, 'v'],
    ['values of 5 MiB that take 10 MiB between instances', 5, 'é'],
  ])('run beside those of other callers, with %s', async (_, count, letter) => {
    const other = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
    const otherChannel = await pair.acceptConnection();
    await pair.waitForCommands(otherChannel, ['forward']);

    const values = createValues(count, letter);
    const large = pair.remote.run(createStatementRequest({ values, timeoutMs: TIMEOUT_MS }));
    const channel = await pair.acceptConnection(2);
    const setup = Array<string>(count).fill('set');
    await pair.waitForCommands(channel, setup);
    for (let number = 0; number < count; number += 1) channel.handler.onReply(EMPTY_REPLY);
    await pair.waitForCommands(channel, [...setup, 'forward']);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 'large' });
    otherChannel.handler.onReply({ ...EMPTY_REPLY, signature: 'other' });

    expect(await large).toMatchObject({ kind: 'answered', reply: { signature: 'large' } });
    expect(await other).toMatchObject({ kind: 'answered', reply: { signature: 'other' } });
  });

  it('are answered with rows of 9 MiB beside those of other callers', async () => {
    const other = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
    const otherChannel = await pair.acceptConnection();
    const large = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
    const channel = await pair.acceptConnection(2);
    await pair.waitForCommands(channel, ['forward']);
    const rows = [...createValues(9).values()];
    channel.handler.onReply({ ...EMPTY_REPLY, rows, signature: 'large' });
    const result = await Promise.race([large, delay(MAX_RESULT_WAIT_MS)]);
    otherChannel.handler.onReply({ ...EMPTY_REPLY, signature: 'other' });

    expect(result).toMatchObject({ kind: 'answered', reply: { signature: 'large' } });
    expect(result).toMatchObject({ reply: { rows } });
    expect(await other).toMatchObject({ kind: 'answered', reply: { signature: 'other' } });
  });

  it('are served while a large one is on its way', async () => {
    const order: string[] = [];
    await pair.entryHub.request(pair.host, { kind: 'peer.ping' }, TIMEOUT_MS);
    pair.hostHub.handle('transaction.end', () => {
      order.push('small');
      return undefined;
    });
    pair.hostHub.handle('settings.write', () => {
      order.push('large');
      return undefined;
    });
    const changes = [...createValues(20).values()].map((value) => ({ path: 'p', value }));
    const written = pair.entryHub.exchange(
      pair.host,
      { kind: 'settings.write', changes, changeId: 'c', author: 'a' },
      TIMEOUT_MS,
    );
    pair.entryHub.send(pair.host, { kind: 'transaction.end', transaction: 1 });
    await written;
    expect(order).toEqual(['small', 'large']);
  });

  describe('that are too large for the host', () => {
    it('are refused as not sent, and leave those of other callers alone', async () => {
      const other = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
      const otherChannel = await pair.acceptConnection();
      await pair.waitForCommands(otherChannel, ['forward']);
      const count = MAX_PEER_MESSAGE_BYTES / BYTES_PER_MIB + 1;
      const request = createStatementRequest({ values: createValues(count) });
      expect(await pair.remote.run(request)).toMatchObject({
        kind: 'refused',
        reason: 'too-large',
      });
      expect(pair.availability.isAvailable(pair.host, toMilliseconds(1000))).toBe(true);
      otherChannel.handler.onReply({ ...EMPTY_REPLY, signature: 'other' });
      expect(await other).toMatchObject({ kind: 'answered', reply: { signature: 'other' } });
      expect(pair.listCommands()).toEqual(['forward']);
    });

    it('are answered as lost if they have run', async () => {
      const large = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
      const channel = await pair.acceptConnection();
      await pair.waitForCommands(channel, ['forward']);
      const rows = [...createValues(MAX_PEER_MESSAGE_BYTES / BYTES_PER_MIB + 1).values()];
      channel.handler.onReply({ ...EMPTY_REPLY, rows });
      expect(await large).toMatchObject({ kind: 'lost', wasSent: true });
      expect(await pair.entryHub.request(pair.host, { kind: 'peer.ping' }, TIMEOUT_MS)).toEqual({
        kind: 'done',
      });
      expect(pair.hostHub.counts.refused + pair.entryHub.counts.refused).toBe(0);
    });
  });

  /** Load pattern: an update of the fleet, while which instances of two versions serve. */
  describe('beside an instance of an earlier version', () => {
    beforeEach(async () => {
      pair.stop();
      pair = new HostingPair([MEMBER_HOSTING_FEATURE]);
      await pair.start();
    });

    it('run as before if they fit into a frame', async () => {
      const large = pair.remote.run(
        createStatementRequest({ values: createValues(7), timeoutMs: TIMEOUT_MS }),
      );
      const channel = await pair.acceptConnection();
      const setup = Array<string>(7).fill('set');
      await pair.waitForCommands(channel, setup);
      for (let number = 0; number < 7; number += 1) channel.handler.onReply(EMPTY_REPLY);
      await pair.waitForCommands(channel, [...setup, 'forward']);
      channel.handler.onReply(EMPTY_REPLY);
      expect(await large).toMatchObject({ kind: 'answered' });
    });

    it('are refused as not sent if they do not, and leave those of other callers alone', async () => {
      const other = pair.remote.run(createStatementRequest({ timeoutMs: TIMEOUT_MS }));
      const otherChannel = await pair.acceptConnection();
      await pair.waitForCommands(otherChannel, ['forward']);
      const request = createStatementRequest({ values: createValues(9) });
      expect(await pair.remote.run(request)).toMatchObject({ reason: 'too-large' });
      otherChannel.handler.onReply({ ...EMPTY_REPLY, signature: 'other' });
      expect(await other).toMatchObject({ kind: 'answered', reply: { signature: 'other' } });
    });
  });
});
