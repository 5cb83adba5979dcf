import { ManualClock, type OrganisationId, toBrand } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import { MemberConnection, type MemberTarget } from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel, FakeConnector } from '../fixtures/fake-connector.js';

const LISTENER = { onOpen() {}, onClosed() {}, onReply() {}, onPrepare() {} };
const READ = { kind: 'forward', requestId: 'r', text: 'READ i1', waitFor: undefined } as const;
const TIMEOUT_MS = 1000;

describe('MemberConnection', () => {
  // Guards against a success for a statement that ran with other values than its session's.
  it('takes no success for a statement whose setup the member refused', async () => {
    const connector = new FakeConnector();
    const entry = { id: 'm', host: '127.0.0.1', port: 1, incarnation: 1 };
    const organisation = toBrand<OrganisationId>('o');
    const target = { entry, group: 'g', organisation } as unknown as MemberTarget;
    const connection = new MemberConnection(connector, target, LISTENER, new ManualClock(1000));
    const [channel] = connector.channels as [FakeChannel];
    channel.accept();
    const values = new Map([['name', 'value']]);
    const result = connection.exchangeInSession({ values }, READ, TIMEOUT_MS);
    expect(channel.commands.map(({ kind }) => kind)).toEqual(['set']);
    channel.handler.onReply({ ...EMPTY_REPLY, error: { code: 'busy', text: 'refused' } });
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 's' });
    expect(await result).toMatchObject({ kind: 'lost', wasSent: false });
    expect(channel.commands.map(({ kind }) => kind)).toEqual(['set']);
    expect(channel.isClosed).toBe(true);
  });
});
