import {
  type GroupId,
  ManualClock,
  type MemberEntry,
  type MemberId,
  type OrganisationId,
  toBrand,
} from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type AcquireResult,
  type AcquireRequest,
  createPreparedStatement,
  MemberPool,
} from '../../src/index.js';
import { EMPTY_REPLY, FakeConnector } from '../fixtures/fake-connector.js';

const ENTRY: MemberEntry = {
  id: toBrand<MemberId>('m'),
  group: toBrand<GroupId>('g'),
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  role: 'primary',
  slots: 2,
  isDraining: false,
  incarnation: 1,
};

/** More than half of what the idle connections of a pool may hold. */
const LONG_VALUE_BYTES = 600 * 1024;
const STATUS = { kind: 'status' } as const;

const LISTENER = { onReply() {}, onUnreachable() {}, onConnection() {}, onPrepare() {} };

function createRequest(
  organisation: string,
  changes: Partial<AcquireRequest> = {},
): AcquireRequest {
  return {
    organisation: toBrand<OrganisationId>(organisation),
    session: { values: new Map() },
    waitMs: 5000,
    maxEstimatedWaitMs: 5000,
    priority: 1,
    ...changes,
  };
}

describe('MemberPool', () => {
  let connector: FakeConnector;
  let clock: ManualClock;
  let pool: MemberPool;

  beforeEach(() => {
    connector = new FakeConnector();
    clock = new ManualClock(1000);
    const limits = { maxConnections: 4, maxIdleConnections: 4, maxWaiting: 64 };
    pool = new MemberPool(ENTRY, connector, limits, LISTENER, clock);
  });

  afterEach(() => pool.close());

  async function acquireConnection(
    organisation: string,
  ): Promise<Extract<AcquireResult, { kind: 'connection' }>> {
    const acquired = pool.acquire(createRequest(organisation));
    connector.channels.at(-1)?.accept();
    const result = await acquired;
    if (result.kind !== 'connection') throw new Error(result.reason);
    return result;
  }

  describe('load pattern: thirty callers arrive at once', () => {
    it('opens at most two connections at a time, so that handshakes do not occupy a full member', () => {
      for (let caller = 0; caller < 30; caller += 1) void pool.acquire(createRequest(`o${caller}`));
      expect(connector.channels).toHaveLength(2);
      connector.channels[0]?.accept();
      expect(connector.channels.length).toBeLessThanOrEqual(3);
      expect(pool.size).toBeLessThanOrEqual(4);
    });

    it('never exceeds its connection limit while connections are closed and opened in turn', async () => {
      for (let caller = 0; caller < 30; caller += 1) void pool.acquire(createRequest(`o${caller}`));
      for (let step = 0; step < 60; step += 1) {
        connector.channels.find(({ isClosed, isOpen }) => !isClosed && !isOpen)?.accept();
        await Promise.resolve();
        expect(pool.size).toBeLessThanOrEqual(4);
      }
    });
  });

  describe('reuse', () => {
    it('reuses a connection within its organisation', async () => {
      const { connection } = await acquireConnection('a');
      pool.release(connection);
      expect(await pool.acquire(createRequest('a'))).toEqual({ kind: 'connection', connection });
      expect(connector.channels).toHaveLength(1);
    });

    it('never reuses a connection for another organisation', async () => {
      const { connection } = await acquireConnection('a');
      pool.release(connection);
      const other = await acquireConnection('b');
      expect(other.connection).not.toBe(connection);
    });

    // Guards against values of sessions that have ended and fill the heap.
    it('keeps idle connections whose values are short, and only some of those with long values', async () => {
      const longValues = new Map([['name', 'x'.repeat(LONG_VALUE_BYTES)]]);
      const acquired = [];
      for (let count = 0; count < 3; count += 1) acquired.push(await acquireConnection('a'));
      const short = await acquireConnection('a');
      for (const { connection } of acquired) {
        void connection.exchangeInSession({ values: longValues }, STATUS, 1000);
      }
      void short.connection.exchangeInSession({ values: new Map([['name', 'x']]) }, STATUS, 1000);
      const connections = [...acquired, short].map(({ connection }) => connection);
      for (const connection of connections) pool.release(connection);
      expect(connections.map(({ isClosed }) => isClosed)).toEqual([false, true, true, false]);
    });

    // Guards against a pool full of connections of rare organisations, in which active ones open a
    // connection for each statement.
    it('keeps the connections that were used last', async () => {
      const limits = { maxConnections: 6, maxIdleConnections: 4, maxWaiting: 64 };
      pool = new MemberPool(ENTRY, connector, limits, LISTENER, clock);
      for (const organisation of ['rare-1', 'rare-2', 'rare-3', 'rare-4']) {
        pool.release((await acquireConnection(organisation)).connection);
      }
      const { connection } = await acquireConnection('active');
      pool.release(connection);
      expect(connection.isClosed).toBe(false);
      expect(pool.hasIdle(toBrand<OrganisationId>('active'))).toBe(true);
      expect(pool.hasIdle(toBrand<OrganisationId>('rare-1'))).toBe(false);
      expect(pool.size).toBe(4);
    });

    it('keeps no more connections than its limits while others wait', async () => {
      const limits = { maxConnections: 3, maxIdleConnections: 1, maxWaiting: 64 };
      const small = new MemberPool(ENTRY, connector, limits, LISTENER, clock);
      for (const organisation of ['one', 'two', 'three', 'four', 'five']) {
        void small.acquire(createRequest(organisation)).then((result) => {
          if (result.kind === 'connection') small.release(result.connection);
        });
      }
      for (let accepted = 0; accepted < connector.channels.length; accepted += 1) {
        connector.channels[accepted]?.accept();
        await Promise.resolve();
        expect(small.size).toBeLessThanOrEqual(3);
      }
      small.close();
    });

    it('drops a connection that is released inside a transaction', async () => {
      const { connection } = await acquireConnection('a');
      connection.transactionState = 'open';
      pool.release(connection);
      expect(connection.isClosed).toBe(true);
      expect(pool.size).toBe(0);
    });

    it('closes idle connections once the member refuses one at its connection limit', async () => {
      const { connection } = await acquireConnection('a');
      pool.release(connection);
      void pool.acquire(createRequest('b'));
      connector.channels.at(-1)?.handler.onClosed({ code: 'connection-limit', text: '' });
      expect(connection.isClosed).toBe(true);
    });
  });

  describe('after its close', () => {
    it('closes a connection that the member accepts later', async () => {
      void pool.acquire(createRequest('a'));
      pool.close();
      const [channel] = connector.channels;
      channel?.accept();
      expect(channel?.isClosed).toBe(true);
    });

    it('closes a connection in use when it is released, and not before', async () => {
      const { connection } = await acquireConnection('a');
      pool.close();
      expect(connection.isClosed).toBe(false);
      pool.release(connection);
      expect(connection.isClosed).toBe(true);
    });
  });

  describe('counts of connections', () => {
    let outcomes: string[];

    beforeEach(() => {
      outcomes = [];
      const listener = { ...LISTENER, onConnection: (outcome: string) => outcomes.push(outcome) };
      const limits = { maxConnections: 4, maxIdleConnections: 4, maxWaiting: 64 };
      pool = new MemberPool(ENTRY, connector, limits, listener, clock);
      void pool.acquire(createRequest('a'));
    });

    it('tell a member at its limit apart from one that cannot be reached', () => {
      const { handler } = connector.channels.at(-1) as (typeof connector.channels)[number];
      handler.onClosed({ code: 'connection-limit', text: '' });
      expect(outcomes).toEqual(['refused']);
    });

    it('count a member that cannot be reached as failed', () => {
      connector.channels.at(-1)?.handler.onClosed({ code: 'busy', text: 'ECONNREFUSED' });
      expect(outcomes).toEqual(['failed']);
    });
  });

  describe('order', () => {
    it('serves requests of urgent routes first', async () => {
      const order: string[] = [];
      const first = await acquireConnection('a');
      const second = await acquireConnection('a');
      const acquireAs = async (name: string, priority: number): Promise<void> => {
        await pool.acquire(createRequest('a', { priority }));
        order.push(name);
      };
      void acquireAs('normal', 2);
      void acquireAs('urgent', 1);
      pool.release(first.connection);
      await Promise.resolve();
      await Promise.resolve();
      pool.release(second.connection);
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
      expect(order).toEqual(['urgent', 'normal']);
    });
  });

  describe('refusal', () => {
    it('happens at once if the queue is full', async () => {
      const limits = { maxConnections: 1, maxIdleConnections: 1, maxWaiting: 1 };
      const smallPool = new MemberPool(ENTRY, connector, limits, LISTENER, clock);
      void smallPool.acquire(createRequest('a'));
      expect(await smallPool.acquire(createRequest('a'))).toEqual({
        kind: 'refused',
        reason: 'overloaded',
        retryAfterMs: 50,
      });
      smallPool.close();
    });

    it('is given to all waiting requests if the member cannot be reached', async () => {
      const waiting = pool.acquire(createRequest('a'));
      connector.channels[0]?.handler.onClosed({ code: 'busy', text: 'refused' });
      expect(await waiting).toEqual({ kind: 'refused', reason: 'unreachable' });
    });
  });

  describe('session state at the member', () => {
    it('sends values and prepared statements before the statement that needs them', async () => {
      const { connection } = await acquireConnection('a');
      const session = { values: new Map([['zone', 'x']]) };
      const prepared = createPreparedStatement('read', 'q', 1);
      const statement = { requestId: '1', text: ' 1', prepared };
      void connection.runInSession(session, statement, undefined, 1000);
      const [channel] = connector.channels;
      const listKinds = (): string[] => channel?.commands.map(({ kind }) => kind) ?? [];
      expect(listKinds()).toEqual(['set']);
      channel?.handler.onReply(EMPTY_REPLY);
      await vi.waitFor(() => expect(listKinds()).toEqual(['set', 'prepare', 'execute']));
      for (let reply = 0; reply < 2; reply += 1) channel?.handler.onReply(EMPTY_REPLY);
      void connection.runInSession(session, statement, undefined, 1000);
      expect(listKinds().slice(3)).toEqual(['execute']);
    });

    it('resets values that the next session does not have', async () => {
      const { connection } = await acquireConnection('a');
      const command = {
        kind: 'forward' as const,
        requestId: '1',
        text: 'READ 1',
        waitFor: undefined,
      };
      const [channel] = connector.channels;
      const first = connection.exchangeInSession({ values: new Map([['z', '1']]) }, command, 1000);
      channel?.handler.onReply(EMPTY_REPLY);
      await vi.waitFor(() => expect(channel?.commands).toHaveLength(2));
      channel?.handler.onReply(EMPTY_REPLY);
      await first;
      void connection.exchangeInSession({ values: new Map() }, command, 1000);
      channel?.handler.onReply(EMPTY_REPLY);
      const kinds = ['set', 'forward', 'reset', 'forward'];
      await vi.waitFor(() => expect(channel?.commands.map(({ kind }) => kind)).toEqual(kinds));
    });

    // Guards against a rollback that overtakes a statement whose setup is not confirmed yet.
    it('sends nothing before a statement whose values the member has not confirmed', async () => {
      const { connection } = await acquireConnection('a');
      const [channel] = connector.channels;
      const statement = { requestId: '1', text: 'READ 1', prepared: undefined };
      const session = { values: new Map([['z', '1']]) };
      void connection.runInSession(session, statement, undefined, 1000);
      void connection.exchange({ kind: 'rollback' }, 1000);
      expect(channel?.commands.map(({ kind }) => kind)).toEqual(['set']);
      channel?.handler.onReply(EMPTY_REPLY);
      const kinds = ['set', 'forward', 'rollback'];
      await vi.waitFor(() => expect(channel?.commands.map(({ kind }) => kind)).toEqual(kinds));
    });

    it('drops a connection that lost a prepared statement, and counts the statement as not sent', async () => {
      const { connection } = await acquireConnection('a');
      const [channel] = connector.channels;
      const prepared = createPreparedStatement('write', 'q', 1);
      const statement = { requestId: '1', text: ' 1', prepared };
      const result = connection.runInSession({ values: new Map() }, statement, undefined, 1000);
      channel?.handler.onReply(EMPTY_REPLY);
      const error = { code: 'unknown-name' as const, text: '' };
      channel?.handler.onReply({ ...EMPTY_REPLY, error });
      expect(await result).toMatchObject({ kind: 'lost', wasSent: false });
      expect(connection.isClosed).toBe(true);
    });

    it('drops the connection when the member refuses a value', async () => {
      const { connection } = await acquireConnection('a');
      const command = {
        kind: 'forward' as const,
        requestId: '1',
        text: 'READ 1',
        waitFor: undefined,
      };
      const exchange = connection.exchangeInSession(
        { values: new Map([['z', '1']]) },
        command,
        1000,
      );
      const error = { code: 'malformed' as const, text: '' };
      connector.channels[0]?.handler.onReply({ ...EMPTY_REPLY, error });
      expect(await exchange).toMatchObject({ kind: 'lost', wasSent: false });
      expect(connector.channels[0]?.commands.map(({ kind }) => kind)).toEqual(['set']);
      expect(connection.isClosed).toBe(true);
    });
  });
});
