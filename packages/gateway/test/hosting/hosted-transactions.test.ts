import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { MemberTransaction } from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const WRITE = { requestId: 'w', text: 'WRITE i1 x', prepared: undefined };
const COMMIT = { requestId: 'c', text: 'COMMIT', prepared: undefined };
const NO_VALUES = new Map<string, string>();

describe('a transaction at a member that another instance hosts', () => {
  let pair: HostingPair;
  let channel: FakeChannel;
  let transaction: MemberTransaction;

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
    const begun = pair.remote.begin({ ...createStatementRequest(), readOnly: false });
    channel = await pair.acceptConnection();
    await pair.waitForCommands(channel, ['begin']);
    channel.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
    const result = await begun;
    if (result.kind !== 'open') throw new Error(result.kind);
    ({ transaction } = result);
  });

  afterEach(() => pair.stop());

  it('keeps its connection to itself until its end', async () => {
    const other = pair.remote.run(createStatementRequest());
    (await pair.waitForConnection(2)).destroy();
    await other;
    const written = transaction.run(WRITE, NO_VALUES, 400);
    await pair.waitForCommands(channel, ['begin', 'forward']);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 's', state: 'open' });
    expect(await written).toMatchObject({ kind: 'answered', reply: { signature: 's' } });
    expect(channel.commands.map(({ kind }) => kind)).toEqual(['begin', 'forward']);
  });

  it('releases its connection without a rollback after its commit', async () => {
    const committed = transaction.run(COMMIT, NO_VALUES, 400);
    await pair.waitForCommands(channel, ['begin', 'forward']);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 's' });
    expect(await committed).toMatchObject({ kind: 'answered', reply: { signature: 's' } });
    transaction.end();
    await vi.waitFor(() => expect(pair.server.pending).toBe(0));
    await pair.waitForCommands(channel, ['begin', 'forward']);
    expect(pair.pool.hasIdle(createStatementRequest().credentials.organisation)).toBe(true);
  });

  it('is rolled back at the member when the caller leaves', async () => {
    transaction.end();
    await pair.waitForCommands(channel, ['begin', 'rollback']);
  });

  it('is rolled back at the member when the instance of the caller dies', async () => {
    pair.entryHub.stop();
    await pair.waitForCommands(channel, ['begin', 'rollback']);
    expect(pair.server.pending).toBe(0);
  });

  it('has an unknown outcome if the host dies while the commit is under way', async () => {
    const committed = transaction.run(COMMIT, NO_VALUES, 400);
    await pair.waitForCommands(channel, ['begin', 'forward']);
    pair.hostHub.stop();
    expect(await committed).toMatchObject({ kind: 'lost', wasSent: true });
  });

  /**
   * Guards against a statement that reaches a transaction of another caller after the host was
   * restarted under its id, or after the instances have opened a new link.
   */
  it('is not continued over another link', async () => {
    const firstLinkClosed = new Promise((resolve) => {
      pair.hostHub.onLinkClosed(resolve);
    });
    for (const link of [
      ...(pair.hostHub as unknown as { accepted: Set<{ close(): void }> }).accepted,
    ]) {
      link.close();
    }
    await firstLinkClosed;
    await vi.waitFor(async () => {
      const exchange = await pair.entryHub.exchange(pair.host, { kind: 'peer.ping' }, 1000);
      expect(exchange.kind).toBe('answered');
    });
    await pair.waitForCommands(channel, ['begin', 'rollback']);
    const result = await transaction.run(WRITE, NO_VALUES, 400);
    expect(result).toMatchObject({ kind: 'lost', wasSent: false });
    await pair.waitForCommands(channel, ['begin', 'rollback']);
  });

  it('lets a stopping host wait for its end, but not without limit', async () => {
    let isDrained = false;
    const drained = pair.server.drain(5000).then(() => {
      isDrained = true;
    });
    await pair.entryHub.request(pair.host, { kind: 'peer.ping' }, 1000);
    expect(isDrained).toBe(false);
    transaction.end();
    await drained;
    expect(isDrained).toBe(true);
  });
});
