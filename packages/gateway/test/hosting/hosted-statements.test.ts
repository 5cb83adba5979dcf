import { type AddressInfo, createServer } from 'node:net';
import { MEMBER_HOSTING_FEATURE, type PeerBody, type PeerHub } from '@heatherledge/daemon';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { EMPTY_REPLY } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

describe('statements at a member that another instance hosts', () => {
  let pair: HostingPair;

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  it('run there unchanged, with the session values of the caller', async () => {
    const values = new Map([['place', 'quito']]);
    const result = pair.remote.run(createStatementRequest({ values }));
    const channel = await pair.acceptConnection();
    await pair.waitForCommands(channel, ['set']);
    channel.handler.onReply(EMPTY_REPLY);
    await pair.waitForCommands(channel, ['set', 'forward']);
    expect(channel.commands).toEqual([
      { kind: 'set', name: 'place', value: 'quito' },
      { kind: 'forward', requestId: 'r1', text: 'WRITE i1 x', waitFor: undefined },
    ]);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 'sig' });
    expect(await result).toMatchObject({ kind: 'answered', reply: { signature: 'sig' } });
  });

  describe('checks of the host, after the wait for a connection', () => {
    it('refuse a statement whose key was withdrawn while it waited', async () => {
      const result = pair.remote.run(createStatementRequest());
      const channel = await pair.waitForConnection();
      pair.hostState.keyRefusal = 'key-rejected';
      channel.accept();
      expect(await result).toMatchObject({ kind: 'refused', reason: 'key', code: 'key-rejected' });
      expect(pair.listCommands()).toEqual([]);
    });

    it('refuse a statement for the primary if the primary changed while it waited', async () => {
      const result = pair.remote.run(createStatementRequest());
      const channel = await pair.waitForConnection();
      pair.hostState.isPrimary = false;
      channel.accept();
      expect(await result).toMatchObject({ kind: 'refused', reason: 'primary' });
      expect(pair.listCommands()).toEqual([]);
    });
  });

  describe('lost answers', () => {
    it('leave the outcome of a write unknown if the host disappears while it runs', async () => {
      const result = pair.remote.run(createStatementRequest());
      await pair.waitForCommands(await pair.acceptConnection(), ['forward']);
      pair.hostHub.stop();
      expect(await result).toMatchObject({ kind: 'lost', wasSent: true });
    });

    it('leave the outcome unknown if the member drops the connection of the host', async () => {
      const result = pair.remote.run(createStatementRequest());
      const channel = await pair.acceptConnection();
      await pair.waitForCommands(channel, ['forward']);
      channel.destroy();
      expect(await result).toMatchObject({ kind: 'lost', wasSent: true });
    });

    it('are not followed by a second run when the member answers after the timeout', async () => {
      const result = pair.remote.run(createStatementRequest({ timeoutMs: 200 }));
      const channel = await pair.acceptConnection();
      await pair.waitForCommands(channel, ['forward']);
      expect(await result).toMatchObject({ kind: 'lost', wasSent: true });
      channel.handler.onReply(EMPTY_REPLY);
      // Any message sent before this response would have arrived by now.
      await pair.entryHub.request(pair.host, { kind: 'peer.ping' }, 1000);
      expect(pair.listCommands()).toEqual(['forward']);
    });
  });

  describe('that never left the entry instance', () => {
    it('are refused as not run if no process listens at the host', async () => {
      pair.hostHub.stop();
      const result = await pair.remote.run(createStatementRequest());
      expect(result).toMatchObject({ kind: 'refused', reason: 'unreachable' });
      expect(pair.availability.isAvailable(pair.host, 1000 as never)).toBe(false);
    });

    /**
     * Guards against a write that runs although its caller was told that it did not: the request
     * waits for a link that is being opened, its timeout passes, and the link opens afterwards.
     */
    it('are not sent once the link opens after their timeout', async () => {
      const exchange = pair.entryHub.exchange(pair.host, { kind: 'peer.ping' }, 0);
      expect(await exchange).toEqual({ kind: 'lost', wasSent: false });
      // The second request opens with the same link and is the only one to arrive.
      await pair.entryHub.request(pair.host, { kind: 'peer.ping' }, 1000);
      expect(pair.hostHub.counts.messagesReceived).toBe(1);
    });

    /**
     * Load pattern: a fleet restarts while the machine of a host is gone for good. Its address does
     * not answer, and statements must not wait for it until their own timeouts.
     */
    it('end as not run soon after the address of the host does not answer', async () => {
      const silent = createServer();
      const port = await new Promise<number>((resolve) => {
        silent.listen(0, '127.0.0.1', () => resolve((silent.address() as AddressInfo).port));
      });
      pair.setPort(pair.host, port);
      const startedAt = performance.now();
      const result = await pair.remote.run(createStatementRequest({ timeoutMs: 5000 }));
      expect(result).toMatchObject({ kind: 'refused', reason: 'unreachable' });
      expect(performance.now() - startedAt).toBeLessThan(800);
      pair.entryHub.stop();
      silent.close();
    });

    it('are not sent to an instance of a version that does not host members', async () => {
      const exchange = await pair.entryHub.exchange(pair.host, { kind: 'peer.ping' }, 1000, {
        feature: `${MEMBER_HOSTING_FEATURE}-of-a-later-version`,
      });
      expect(exchange).toEqual({ kind: 'lost', wasSent: false });
      expect(pair.hostHub.counts.messagesReceived).toBe(0);
    });
  });

  /** Guards against a write that runs twice: its host fails, or its answer is damaged, after it ran. */
  describe('whose host answers nothing that can be understood', () => {
    it.each([
      ['a failed handler', () => Promise.reject(new Error('after the member ran it'))],
      ['an answer of an unknown kind', async () => ({ kind: 'result.of-a-later-version' })],
    ])('have an unknown outcome: %s', async (_, handler) => {
      pair.hostHub.handle('statement.run', handler as never);
      const result = await pair.remote.run(createStatementRequest());
      expect(result).toMatchObject({ kind: 'lost', wasSent: true });
    });
  });

  describe('bad messages between instances', () => {
    it('of an unknown kind are answered as unsupported, and the link stays usable', async () => {
      const unknown = { kind: 'statement.of-a-later-version' } as unknown as PeerBody;
      const exchange = await pair.entryHub.exchange(pair.host, unknown, 1000);
      expect(exchange).toEqual({ kind: 'answered', body: { kind: 'unsupported' } });
      expect(pair.problems).toHaveLength(1);
      const ping = await pair.entryHub.exchange(pair.host, { kind: 'peer.ping' }, 1000);
      expect(ping).toEqual({ kind: 'answered', body: { kind: 'done' } });
    });

    it('whose handler throws do not end the process or the link', async () => {
      (pair.hostHub as PeerHub).handle('peer.ping', () => {
        throw new Error('unexpected');
      });
      const exchange = await pair.entryHub.exchange(pair.host, { kind: 'peer.ping' }, 1000);
      expect(exchange).toEqual({ kind: 'answered', body: { kind: 'failed' } });
      expect(pair.problems).toMatchObject([{ kind: 'peer.ping', reason: 'Error: unexpected' }]);
    });
  });
});
