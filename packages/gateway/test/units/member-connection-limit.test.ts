import {
  type ConnectionBudget,
  type ConnectionDemand,
  type GroupId,
  ManualClock,
  mayKeepOwnedConnections,
  type MemberEntry,
  type MemberId,
  type OrganisationId,
  resolveConnectionBudget,
  toBrand,
} from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type MemberChannel,
  type MemberConnector,
  type MemberHandler,
  type MemberTarget,
  MemberPool,
} from '../../src/index.js';

const MAX_CONNECTIONS = 42;
const INSTANCE_COUNT = 91;
const ORGANISATION_COUNT = 88;
const DEMAND: ConnectionDemand = {
  maxConnections: MAX_CONNECTIONS,
  instances: INSTANCE_COUNT,
  organisations: ORGANISATION_COUNT,
};
/** A new connection takes a member's slot for 12 ms; a read takes about as long. */
const HANDSHAKE_MS = 12;
const READ_MS = 15;
/** One of three members receives a third of its group's 94 requests per second. */
const REQUEST_INTERVAL_MS = 32;
const REQUEST_COUNT = 300;

const ENTRY: MemberEntry = {
  id: toBrand<MemberId>('m'),
  group: toBrand<GroupId>('g'),
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  role: 'replica',
  slots: 2,
  isDraining: false,
  incarnation: 1,
};

/** A member that accepts a limited number of connections from all instances together. */
class LimitedMember implements MemberConnector {
  connections = 0;

  refused = 0;

  open(_: MemberTarget, handler: MemberHandler): MemberChannel {
    let isClosed = false;
    const isAccepted = this.connections < MAX_CONNECTIONS;
    if (isAccepted) this.connections += 1;
    const finish = (isRefused: boolean): void => {
      if (isClosed) return;
      isClosed = true;
      if (isAccepted) this.connections -= 1;
      handler.onClosed(isRefused ? { code: 'connection-limit', text: 'full' } : undefined);
    };
    setTimeout(() => {
      if (isClosed) return;
      if (isAccepted) handler.onOpen(undefined);
      else {
        this.refused += 1;
        finish(true);
      }
    }, HANDSHAKE_MS);
    return { send() {}, close: () => finish(false), destroy: () => finish(false) };
  }

  decodeStatus(): undefined {
    return undefined;
  }
}

describe('MemberPool with more instances and organisations than a member accepts connections', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Load pattern: one member's part of the requests of 91 instances, for ten seconds. */
  async function simulateLoad(
    limits: ConnectionBudget,
    getHoldMs: (requestIndex: number) => number = () => READ_MS,
    getInstanceIndex: (requestIndex: number) => number = (requestIndex) => requestIndex * 37,
  ) {
    const member = new LimitedMember();
    const clock = new ManualClock(1000);
    const listener = { onReply() {}, onUnreachable() {}, onConnection() {} };
    const pools = Array.from(
      { length: INSTANCE_COUNT },
      () =>
        new MemberPool(ENTRY, member, { ...limits, maxWaiting: 64 }, listener, clock, () => false),
    );
    let served = 0;
    const request = async (requestIndex: number): Promise<void> => {
      const pool = pools[getInstanceIndex(requestIndex) % INSTANCE_COUNT] as MemberPool;
      const organisation = toBrand<OrganisationId>(`o${(requestIndex * 11) % ORGANISATION_COUNT}`);
      const session = { values: new Map() };
      const acquired = await pool.acquire({
        organisation,
        session,
        waitMs: 600,
        maxEstimatedWaitMs: 400,
        priority: 1,
      });
      if (acquired.kind === 'refused') return;
      served += 1;
      setTimeout(() => pool.release(acquired.connection), getHoldMs(requestIndex));
    };
    for (let requestIndex = 0; requestIndex < REQUEST_COUNT; requestIndex += 1) {
      void request(requestIndex);
      for (let elapsed = 0; elapsed < REQUEST_INTERVAL_MS; elapsed += 4) {
        clock.advance(4);
        await vi.advanceTimersByTimeAsync(4);
      }
      if (requestIndex % 15 === 0) for (const pool of pools) pool.trim();
    }
    for (const pool of pools) pool.close();
    return { served, refused: member.refused };
  }

  it('closes connections after their requests, so that the member refuses none', async () => {
    const budget = resolveConnectionBudget(DEMAND, 0);
    const { served, refused } = await simulateLoad(budget);
    expect(served).toBeGreaterThanOrEqual(REQUEST_COUNT - 2);
    expect(refused).toBe(0);
  });

  it('is refused more than once per request if each instance may keep two connections', async () => {
    const { refused } = await simulateLoad({ maxConnections: 2, maxIdleConnections: 2 });
    expect(refused).toBeGreaterThan(REQUEST_COUNT);
  });

  /**
   * Load pattern: callers pause inside transactions at a few instances. Guards against a limit per
   * instance that is so low that these transactions keep its other callers waiting.
   */
  it('serves other callers while transactions hold connections through pauses', async () => {
    // Every fifth request begins a transaction, half of them at three of the instances.
    const getHoldMs = (requestIndex: number): number => (requestIndex % 5 === 0 ? 2500 : READ_MS);
    const budget = resolveConnectionBudget(DEMAND, 0);
    const { served } = await simulateLoad(budget, getHoldMs, (requestIndex) =>
      requestIndex % 2 === 0 ? requestIndex % 3 : requestIndex * 37,
    );
    const lowLimit = await simulateLoad(
      { ...budget, maxConnections: 2 },
      getHoldMs,
      (requestIndex) => (requestIndex % 2 === 0 ? requestIndex % 3 : requestIndex * 37),
    );
    expect(served).toBeGreaterThanOrEqual(REQUEST_COUNT * 0.98);
    expect(lowLimit.served).toBeLessThan(REQUEST_COUNT * 0.9);
  });

  describe('connection owners', () => {
    it.each([
      ['9 instances, 8 organisations, 16 connections', 16, 9, 8, true],
      ['74 instances, 79 organisations, 248 connections', 248, 74, 79, true],
      ['91 instances, 88 organisations, 42 connections', 42, 91, 88, false],
      ['9 instances, 88 organisations, 42 connections', 42, 9, 88, false],
    ])('%s', (_, maxConnections, instances, organisations, isKept) => {
      expect(mayKeepOwnedConnections({ maxConnections, instances, organisations })).toBe(isKept);
    });

    it('are not needed to keep idle connections in a fleet of few instances', () => {
      const demand = { maxConnections: 42, instances: 9, organisations: 88 };
      expect(resolveConnectionBudget(demand, 0)).toEqual({
        maxConnections: 9,
        maxIdleConnections: 3,
      });
    });
  });
});
