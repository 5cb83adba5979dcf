import {
  type ConnectionBudget,
  type GroupId,
  ManualClock,
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
/** Target for new connections per statement, without trouble. */
const MAX_OPENED_RATIO = 0.15;
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

  mayOpen(): boolean {
    return true;
  }

  mayWaitForPosition(): boolean {
    return true;
  }

  decodeStatus(): undefined {
    return undefined;
  }
}

/** Position of the instance that runs a request. */
type Placement = (requestIndex: number) => number;

const HOST = 0;
const atHost: Placement = () => HOST;
const atEntry: Placement = (requestIndex) => requestIndex * 37;

describe('a member with more instances and organisations than connections', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Load pattern: one member's part of the requests of 91 instances, for ten seconds. */
  async function simulateLoad(
    getBudget: (instance: number) => ConnectionBudget,
    getHoldMs: (requestIndex: number) => number,
    getInstanceIndex: Placement,
  ) {
    const member = new LimitedMember();
    const clock = new ManualClock(1000);
    let opened = 0;
    const listener = {
      onReply() {},
      onUnreachable() {},
      onPrepare() {},
      onConnection(outcome: string) {
        if (outcome === 'opened') opened += 1;
      },
    };
    const pools = Array.from(
      { length: INSTANCE_COUNT },
      (_, index) =>
        new MemberPool(ENTRY, member, { ...getBudget(index), maxWaiting: 64 }, listener, clock),
    );
    let served = 0;
    let maxOpen = 0;
    const request = async (requestIndex: number): Promise<void> => {
      const pool = pools[getInstanceIndex(requestIndex) % INSTANCE_COUNT] as MemberPool;
      const organisation = chooseOrganisation(requestIndex);
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
        maxOpen = Math.max(maxOpen, member.connections);
      }
      if (requestIndex % 15 === 0) for (const pool of pools) pool.trim();
    }
    for (const pool of pools) pool.close();
    return { served, refused: member.refused, opened, maxOpen };
  }

  /** A few organisations send most of the requests. */
  function chooseOrganisation(requestIndex: number): OrganisationId {
    const isLarge = requestIndex % 10 < 8;
    const index = isLarge ? requestIndex % 8 : (requestIndex * 11) % ORGANISATION_COUNT;
    return toBrand<OrganisationId>(`o${index}`);
  }

  const holdForRead = (): number => READ_MS;
  const getHostedBudget = (instance: number): ConnectionBudget =>
    resolveConnectionBudget(MAX_CONNECTIONS, instance === HOST ? 'host' : 'other');

  it('serves every request through its host, and refuses no connection', async () => {
    const { served, refused, opened } = await simulateLoad(getHostedBudget, holdForRead, atHost);
    expect(served).toBe(REQUEST_COUNT);
    expect(refused).toBe(0);
    expect(opened).toBeLessThan(REQUEST_COUNT * MAX_OPENED_RATIO);
  });

  it('opens a connection for almost every request if each instance connects by itself', async () => {
    const { opened } = await simulateLoad(getHostedBudget, holdForRead, atEntry);
    expect(opened).toBeGreaterThan(REQUEST_COUNT * 0.9);
  });

  it('is refused more than once per request if each instance may keep two connections', async () => {
    const budget = { maxConnections: 2, maxIdleConnections: 2 };
    const { refused } = await simulateLoad(() => budget, holdForRead, atEntry);
    expect(refused).toBeGreaterThan(REQUEST_COUNT);
  });

  /** Load pattern: callers pause inside transactions, a fifth of all requests. */
  it('serves other callers while transactions hold connections through pauses', async () => {
    const getHoldMs = (requestIndex: number): number => (requestIndex % 5 === 0 ? 2500 : READ_MS);
    const { served, maxOpen } = await simulateLoad(getHostedBudget, getHoldMs, atHost);
    expect(served).toBeGreaterThanOrEqual(REQUEST_COUNT * 0.98);
    expect(maxOpen).toBeLessThanOrEqual(MAX_CONNECTIONS);
  });

  describe('connection limits', () => {
    it.each([16, 32, 35, 42, 90, 248])(
      'of host and standby together stay below the %i connections of a member',
      (memberLimit) => {
        const host = resolveConnectionBudget(memberLimit, 'host');
        const standby = resolveConnectionBudget(memberLimit, 'standby');
        expect(host.maxConnections + standby.maxConnections).toBeLessThan(memberLimit);
        // After a power loss the member still counts the idle connections of before.
        expect(host.maxIdleConnections).toBeLessThanOrEqual(Math.ceil(memberLimit / 2));
        expect(host.maxIdleConnections).toBeGreaterThanOrEqual(Math.floor(memberLimit / 3));
      },
    );

    it('of an instance that reaches neither let it keep no idle connection', () => {
      expect(resolveConnectionBudget(MAX_CONNECTIONS, 'other').maxIdleConnections).toBe(0);
    });
  });
});
