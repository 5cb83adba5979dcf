import {
  type GroupId,
  ManualClock,
  type MemberEntry,
  type MemberId,
  type Route,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  EventLog,
  LocalMemberAccess,
  MemberPool,
  type MemberRegistry,
  type SessionServices,
  SlotGate,
  Transaction,
} from '../../src/index.js';
import { EMPTY_REPLY, type FakeChannel, FakeConnector } from '../fixtures/fake-connector.js';

const MEMBER = toBrand<MemberId>('m');
const ROUTE: Route = {
  name: 'r',
  database: 'd',
  group: toBrand<GroupId>('g'),
  consistency: 'latest',
  statementTimeoutMs: toMilliseconds(800),
  targetLatencyMs: toMilliseconds(400),
  maxAgeMs: toMilliseconds(0),
  priority: 1,
  isPublic: true,
};
const ENTRY: MemberEntry = {
  id: MEMBER,
  group: ROUTE.group,
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  role: 'primary',
  slots: 2,
  isDraining: false,
  incarnation: 1,
};
const BUSY = { code: 'busy' as const, text: '' };

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('transaction', () => {
  let connector: FakeConnector;
  let pool: MemberPool;
  let transaction: Transaction;
  let channel: FakeChannel;

  beforeEach(async () => {
    connector = new FakeConnector();
    const clock = new ManualClock(1000);
    const listener = { onReply() {}, onUnreachable() {}, onConnection() {}, onPrepare() {} };
    pool = new MemberPool(
      ENTRY,
      connector,
      { maxConnections: 4, maxIdleConnections: 4, maxWaiting: 9 },
      listener,
      clock,
    );
    const grantChecker = { findRefusal: () => undefined };
    const memberRegistry = {
      primaryTracker: {
        find: () => MEMBER,
        findPositionForAge: () => undefined,
        waitFor: async () => MEMBER,
      },
      findPool: () => pool,
      findSlotGate: () => new SlotGate(ENTRY.slots, clock),
      listReaders: () => [],
      isPrimary: () => true,
      evacuationGuard: { findRefusal: () => undefined, mayContinue: () => true },
      mayReadLatestAt: () => true,
    } as unknown as MemberRegistry;
    const services = {
      clock,
      random: () => 0,
      log: new EventLog(clock),
      grantChecker,
      memberRegistry,
      memberAccess: new LocalMemberAccess(
        memberRegistry,
        grantChecker,
        clock,
        () => 0,
        () => 1,
      ),
    } as unknown as SessionServices;
    const grant = { route: ROUTE, organisation: undefined, key: undefined };
    const state = { values: new Map(), prepared: new Map(), commitPositions: new Map() };
    transaction = new Transaction(grant, state, false, clock.now(), services, 3000);
    await sleep(1);
    channel = connector.channels[0] as FakeChannel;
    channel.accept();
    await sleep(1);
    channel.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
    await sleep(1);
  });

  const write = {
    requestId: 'w',
    access: 'write' as const,
    text: 'WRITE a b',
    prepared: undefined,
  };

  it('sends its begin before the first statement arrives', () => {
    expect(channel.commands.map(({ kind }) => kind)).toEqual(['begin']);
  });

  it('retries a statement that the member was too busy to run', async () => {
    const reply = transaction.execute({ ...write, arrivedAt: toMilliseconds(1000) });
    await sleep(1);
    channel.handler.onReply({ ...EMPTY_REPLY, error: BUSY, state: 'open' });
    await sleep(40);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 's', state: 'open' });
    expect((await reply).signature).toBe('s');
  });

  /**
   * Guards against a statement that runs with the session values of another caller (violation
   * `PINNED` of the soak test): the caller disconnects during the delay before a retry, the
   * rollback returns the connection to the pool, another session acquires it, and the retry is
   * sent on it.
   */
  it('sends no retry after its caller has disconnected during the delay', async () => {
    const reply = transaction.execute({ ...write, arrivedAt: toMilliseconds(1000) });
    await sleep(1);
    channel.handler.onReply({ ...EMPTY_REPLY, error: BUSY, state: 'open' });
    await sleep(1);
    transaction.rollback();
    await sleep(1);
    channel.handler.onReply(EMPTY_REPLY);
    await sleep(40);
    expect(channel.commands.map(({ kind }) => kind)).toEqual(['begin', 'forward', 'rollback']);
    expect((await reply).error?.code).toBe('aborted');
  });

  it('reports a commit whose reply is lost as in doubt', async () => {
    const written = transaction.execute({ ...write, arrivedAt: toMilliseconds(1000) });
    await sleep(1);
    channel.handler.onReply({ ...EMPTY_REPLY, signature: 's', state: 'open' });
    await written;
    const committed = transaction.commit('c', 'COMMIT', toMilliseconds(1000));
    await sleep(1);
    channel.destroy();
    expect((await committed).error?.code).toBe('in-doubt');
  });

  it('reports a rollback when the connection is lost before the commit', async () => {
    const written = transaction.execute({ ...write, arrivedAt: toMilliseconds(1000) });
    await sleep(1);
    channel.destroy();
    expect((await written).error?.code).toBe('aborted');
    const committed = await transaction.commit('c', 'COMMIT', toMilliseconds(1000));
    expect(committed.error?.code).toBe('aborted');
    expect(committed.state).toBe('idle');
  });

  it('returns its connection to the pool as idle after a rollback', async () => {
    transaction.rollback();
    await sleep(1);
    channel.handler.onReply(EMPTY_REPLY);
    await sleep(1);
    expect(pool.hasIdle(undefined)).toBe(true);
  });
});
