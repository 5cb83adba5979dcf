import { toMilliseconds } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createPreparedStatement, type MemberCommand } from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const SHAPE = 'qd READ xzibomwbeul';

function createPreparedRequest(requestId: string, text: string, shape = SHAPE) {
  const prepared = createPreparedStatement('read', shape, 1);
  return { ...createStatementRequest(), statement: { requestId, text, prepared } };
}

describe('prepared statements at a member that another instance hosts', () => {
  let pair: HostingPair;

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  function reply(channel: FakeChannel, count: number, state: 'idle' | 'open' = 'idle'): void {
    for (let index = 0; index < count; index += 1) {
      channel.handler.onReply({ ...EMPTY_REPLY, state, signature: 'sig' });
    }
  }

  const prepare = (name: string, shape = SHAPE): MemberCommand => ({
    kind: 'prepare',
    name,
    access: 'read',
    shape,
  });

  const execute = (requestId: string, name: string, args: string): MemberCommand => ({
    kind: 'execute',
    requestId,
    name,
    args,
    waitFor: undefined,
  });

  it('run in their own shape with their arguments unchanged, outside transactions', async () => {
    const first = pair.remote.run(createPreparedRequest('r1', ' i1  d '));
    const channel = await pair.acceptConnection();
    await pair.waitForCommands(channel, ['prepare', 'execute']);
    reply(channel, 2);
    await first;
    const second = pair.remote.run(createPreparedRequest('r2', ''));
    await pair.waitForCommands(channel, ['prepare', 'execute', 'execute']);
    reply(channel, 1);
    await second;
    const other = pair.remote.run(createPreparedRequest('r3', ' i1', 'qd'));
    await pair.waitForCommands(channel, ['prepare', 'execute', 'execute', 'prepare', 'execute']);
    reply(channel, 2);
    await other;
    expect(channel.commands).toEqual([
      prepare('a'),
      execute('r1', 'a', ' i1  d '),
      execute('r2', 'a', ''),
      prepare('b', 'qd'),
      execute('r3', 'b', ' i1'),
    ]);
  });

  it('run in their own shape inside transactions, and once if they are repeated', async () => {
    const begun = pair.remote.begin({ ...createStatementRequest(), readOnly: false });
    const channel = await pair.acceptConnection();
    await pair.waitForCommands(channel, ['begin']);
    reply(channel, 1, 'open');
    const result = await begun;
    if (result.kind !== 'open') throw new Error('the transaction is not open');
    const { transaction } = result;
    for (const requestId of ['t1', 't2']) {
      const { statement } = createPreparedRequest(requestId, ' i1');
      const ended = transaction.run(statement, new Map(), toMilliseconds(1000));
      const kinds = ['begin', 'prepare', 'execute', ...(requestId === 't2' ? ['execute'] : [])];
      await pair.waitForCommands(channel, kinds);
      reply(channel, requestId === 't1' ? 2 : 1, 'open');
      expect(await ended).toMatchObject({ kind: 'answered' });
    }
    expect(channel.commands.slice(1)).toEqual([
      prepare('a'),
      execute('t1', 'a', ' i1'),
      execute('t2', 'a', ' i1'),
    ]);
  });
});
