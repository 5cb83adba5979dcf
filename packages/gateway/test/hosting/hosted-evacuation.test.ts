import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { MemberTransaction } from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const WRITE = { requestId: 'w', text: 'WRITE i1 x', prepared: undefined };
const COMMIT = { requestId: 'c', text: 'COMMIT', prepared: undefined };
const NO_VALUES = new Map<string, string>();

describe('a member of an evacuated domain at its host', () => {
  let pair: HostingPair;

  beforeEach(async () => {
    pair = new HostingPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  // Guards against a statement that is sent although the request arrived while it waited at the host.
  it('gets no statement that was queued when the request arrived', async () => {
    const result = pair.remote.run(createStatementRequest());
    const channel = await pair.waitForConnection();
    pair.hostState.isEvacuated = true;
    channel.accept();
    expect(await result).toMatchObject({ kind: 'refused', reason: 'closed', code: 'busy' });
    expect(pair.listCommands()).toEqual([]);
  });

  // Guards against new transactions, which would be open for long.
  it('gets no new transaction', async () => {
    pair.hostState.isEvacuated = true;
    const request = { ...createStatementRequest(), readOnly: false };
    expect(await pair.remote.begin(request)).toMatchObject({ kind: 'refused', reason: 'closed' });
    expect(pair.listCommands()).toEqual([]);
  });

  describe('with an open transaction', () => {
    let channel: FakeChannel;
    let transaction: MemberTransaction;

    beforeEach(async () => {
      const begun = pair.remote.begin({ ...createStatementRequest(), readOnly: false });
      channel = await pair.acceptConnection();
      await pair.waitForCommands(channel, ['begin']);
      channel.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
      const result = await begun;
      if (result.kind !== 'open') throw new Error(result.kind);
      ({ transaction } = result);
      pair.hostState.isEvacuated = true;
    });

    // Guards against transactions that are aborted as soon as the request arrives.
    it('runs its statements while its time lasts', async () => {
      expect(pair.access.endEvacuatedTransactions()).toBe(0);
      const written = transaction.run(WRITE, NO_VALUES, 400);
      await pair.waitForCommands(channel, ['begin', 'forward']);
      channel.handler.onReply({ ...EMPTY_REPLY, signature: 's', state: 'open' });
      expect(await written).toMatchObject({ kind: 'answered', reply: { signature: 's' } });
    });

    // Guards against statements that reach the member after that, and a commit reported as in doubt.
    it('gets nothing more when its time is over', async () => {
      pair.hostState.isTransactionTimeOver = true;
      const result = await transaction.run(COMMIT, NO_VALUES, 400);
      expect(result).toMatchObject({ kind: 'lost', wasSent: false });
      expect(channel.commands.map(({ kind }) => kind)).toEqual(['begin']);
    });

    // Guards against an idle transaction that keeps its locks at the member.
    it('is rolled back when its time is over', async () => {
      pair.hostState.isTransactionTimeOver = true;
      expect(pair.access.endEvacuatedTransactions()).toBe(1);
      await pair.waitForCommands(channel, ['begin', 'rollback']);
      expect(pair.access.endEvacuatedTransactions()).toBe(0);
    });

    // Guards against a commit whose outcome becomes unknown because the time ends while it runs.
    it('ends a commit that is under way', async () => {
      const committed = transaction.run(COMMIT, NO_VALUES, 400);
      await pair.waitForCommands(channel, ['begin', 'forward']);
      pair.hostState.isTransactionTimeOver = true;
      expect(pair.access.endEvacuatedTransactions()).toBe(0);
      channel.handler.onReply({ ...EMPTY_REPLY, signature: 's' });
      expect(await committed).toMatchObject({ kind: 'answered', reply: { signature: 's' } });
      await vi.waitFor(() => expect(pair.access.endEvacuatedTransactions()).toBe(1));
      expect(channel.commands.map(({ kind }) => kind)).toEqual(['begin', 'forward']);
    });
  });
});
