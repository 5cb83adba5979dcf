import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { MemberTransaction } from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const WRITE = { requestId: 'w', text: 'WRITE i1 x', prepared: undefined };
/** Four connections, of which two are left to single statements. */
const MAX_TRANSACTIONS = 2;

/** Load pattern: clients sit idle in transactions at a member with few connections. */
describe('transactions that sit idle at a member', () => {
  let pair: HostingPair;
  let transactions: MemberTransaction[];
  let channels: FakeChannel[];

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
    transactions = [];
    channels = [];
    for (let count = 1; count <= MAX_TRANSACTIONS; count += 1) {
      const begun = pair.remote.begin({ ...createStatementRequest(), readOnly: false });
      const channel = await pair.waitForConnection(count);
      channel.accept();
      await pair.waitForCommands(channel, ['begin']);
      channel.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
      const result = await begun;
      if (result.kind !== 'open') throw new Error(result.kind);
      transactions.push(result.transaction);
      channels.push(channel);
    }
  });

  afterEach(() => pair.stop());

  it('keep further ones from beginning, which are told when to return', async () => {
    const refused = await pair.remote.begin({ ...createStatementRequest(), readOnly: false });
    expect(refused).toMatchObject({ kind: 'refused', reason: 'overloaded', code: 'busy' });
    if (refused.kind === 'refused') expect(refused.text).toMatch(/retry after \d+ ms$/);
    // The refusal says that the member has not received it.
    expect(pair.connector.channels).toHaveLength(MAX_TRANSACTIONS);
    expect(channels.flatMap(({ commands }) => commands.map(({ kind }) => kind))).toEqual([
      'begin',
      'begin',
    ]);
  });

  it('leave connections to single statements, and are not aborted', async () => {
    const single = pair.remote.run(createStatementRequest());
    const channel = await pair.waitForConnection(MAX_TRANSACTIONS + 1);
    channel.accept();
    await pair.waitForCommands(channel, ['forward']);
    channel.handler.onReply(EMPTY_REPLY);
    expect((await single).kind).toBe('answered');
    const [first] = channels as [FakeChannel];
    const written = transactions[0]?.run(WRITE, new Map(), 400);
    await pair.waitForCommands(first, ['begin', 'forward']);
    first.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
    expect((await written)?.kind).toBe('answered');
  });

  it('make room when they end', async () => {
    const [first] = channels as [FakeChannel];
    transactions[0]?.end();
    await pair.waitForCommands(first, ['begin', 'rollback']);
    first.handler.onReply(EMPTY_REPLY);
    const begun = pair.remote.begin({ ...createStatementRequest(), readOnly: false });
    await pair.waitForCommands(first, ['begin', 'rollback', 'begin']);
    first.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
    expect((await begun).kind).toBe('open');
  });
});
