import { type MemberEntry, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  createPreparedStatement,
  type MemberPool,
  MemberWarmups,
  type StatementResult,
} from '../../src/index.js';
import {
  COLD,
  createRead,
  MEMBER,
  PACE,
  WARM,
  WARMUP,
  WarmupFleet,
  type WarmupInstance,
} from '../fixtures/warmup-fleet.js';

const MAX_PER_SECOND = PACE * 1.5 + 5;

/** Statements that each instance of a test sends in a step of 5 ms. */
const STATEMENTS_PER_STEP = 2;

describe('a cold member', () => {
  let fleet: WarmupFleet;
  let results: StatementResult[];

  beforeEach(() => {
    vi.useFakeTimers();
    fleet = new WarmupFleet(WARMUP);
    results = [];
  });

  afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
  });

  function offerLoad(instances: readonly WarmupInstance[]): () => void {
    return () => {
      for (const instance of instances) {
        for (let count = 0; count < STATEMENTS_PER_STEP; count += 1) {
          void instance.access.run(createRead()).then((result) => results.push(result));
        }
      }
    };
  }

  /** Finds the host and the standby of the member among instances. */
  function findHosts(instances: readonly WarmupInstance[]): WarmupInstance[] {
    const first = instances[0] as WarmupInstance;
    const entry = first.registry.findEntry(MEMBER) as MemberEntry;
    const ids = [...fleet.instances.keys()];
    return first.hosts.listHosts(entry).map((id) => instances[ids.indexOf(id)] as WarmupInstance);
  }

  function startAll(ids: readonly string[], entry: Partial<MemberEntry>): WarmupInstance[] {
    return ids.map((id) => fleet.start(id, { instances: ids, entry }));
  }

  async function advance(ms: number, onStep?: () => void): Promise<void> {
    await fleet.advance(ms, () => {
      for (const instance of fleet.instances.values()) instance.confirm();
      onStep?.();
    });
  }

  it('gets no more than its pace under full load (guards against a burst at the return)', async () => {
    const [host] = startAll(['i0'], WARM) as [WarmupInstance];
    const load = offerLoad([host]);
    await advance(3000, load);
    const before = fleet.arrivals.length;
    expect(before).toBeGreaterThan(600);
    fleet.arrivals.length = 0;
    fleet.breakConnections();
    fleet.publish({ instances: ['i0'], entry: COLD });
    await advance(6000, load);
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(PACE);
    expect(fleet.arrivals.length).toBeGreaterThan(PACE * 5 * 0.8);
    expect(host.changes).toEqual(['cold']);
    const refused = results.filter(({ kind }) => kind === 'refused');
    expect(refused.at(-1)).toMatchObject({ reason: 'overloaded', code: 'busy' });
    const metrics = await host.metrics.registry.metrics();
    expect(metrics).toContain('heatherledge_gateway_cold_members 1');
    expect(metrics).toMatch(/heatherledge_gateway_cold_refusals_total [1-9]/);
  });

  it('gets its full load again after the warm-up (guards against limits that stay)', async () => {
    const entry = { ...COLD, warmupRemainingMs: toMilliseconds(1000) };
    const [host] = startAll(['i0'], entry) as [WarmupInstance];
    const load = offerLoad([host]);
    await advance(1500, load);
    expect(fleet.arrivals.filter(({ at }) => at < 101_000).length).toBeLessThanOrEqual(PACE);
    expect(fleet.arrivals.length).toBeGreaterThan(100);
    expect(host.changes).toEqual(['cold', 'warm']);
  });

  it('gets no more than the limit from a host, a standby and others that all send (guards against shares that each instance takes whole)', async () => {
    const ids = Array.from({ length: 6 }, (_, index) => `i${index}`);
    const instances = startAll(ids, COLD);
    await advance(5000, offerLoad(instances));
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(MAX_PER_SECOND);
    expect(fleet.arrivals.length).toBeGreaterThan(PACE * 3);
  });

  it('gets no more than the limit while its host changes in the middle of the warm-up (guards against two hosts at the full share)', async () => {
    const ids = Array.from({ length: 8 }, (_, index) => `i${index}`);
    const all = startAll(ids, COLD);
    const [nextHost, oldHost] = findHosts(all) as [WarmupInstance, WarmupInstance];
    const nextId = ids[all.indexOf(nextHost)] as string;
    // The instance that is first in the whole list joins later, and the old host sees it 1.5 s later.
    const others = ids.filter((id) => id !== nextId);
    for (const instance of all) instance.publish({ instances: others, entry: COLD });
    const load = offerLoad(all.filter((instance) => instance !== nextHost));
    await advance(4000, load);
    nextHost.publish({ instances: ids, entry: COLD });
    await advance(1500, offerLoad([nextHost, oldHost]));
    fleet.publish({ instances: ids, entry: COLD });
    await advance(4000, offerLoad([nextHost, oldHost]));
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(MAX_PER_SECOND);
    const lastSecond = fleet.arrivals.filter(({ at }) => at >= fleet.clock.now() - 1000).length;
    expect(lastSecond).toBeGreaterThanOrEqual(PACE);
  });

  it('gets a quarter of its pace from a host that the store confirms nothing to (guards against a full share beside its successor)', async () => {
    const [host] = startAll(['i0'], COLD) as [WarmupInstance];
    await advance(4000);
    await fleet.advance(6000, offerLoad([host]));
    const lastSeconds = fleet.arrivals.filter(({ at }) => at >= fleet.clock.now() - 2000);
    expect(lastSeconds.length).toBeGreaterThanOrEqual(4);
    expect(lastSeconds.length).toBeLessThanOrEqual(6);
  });

  it('counts as cold when its entry arrives late after a restart (guards against the full load until the entry is seen)', async () => {
    const [host] = startAll(['i0'], WARM) as [WarmupInstance];
    const load = offerLoad([host]);
    await advance(3000, load);
    fleet.arrivals.length = 0;
    fleet.breakConnections();
    // An entry that was written before the restart is delivered after it.
    await advance(300, load);
    fleet.publish({ instances: ['i0'], entry: { ...WARM, sequence: 2 } });
    await advance(1500, load);
    fleet.publish({ instances: ['i0'], entry: COLD });
    await advance(1500, load);
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(PACE);
    expect(fleet.arrivals.length).toBeGreaterThan(PACE);
  });

  it('counts as cold at a standby that is asked because the host could not reach it (guards against the full load on the first connection after a restart)', async () => {
    const ids = ['i0', 'i1'];
    const [, standby] = findHosts(startAll(ids, WARM)) as [WarmupInstance, WarmupInstance];
    await advance(3000);
    // The standby has had no connection that could have failed.
    expect(standby.connector.channels).toEqual([]);
    const load = (): void => {
      void standby.access.run(createRead({ wasUnreachable: true }));
      void standby.access.run(createRead());
    };
    await advance(1000, load);
    expect(fleet.arrivals.length).toBeLessThanOrEqual(PACE);
    expect(standby.changes).toEqual(['cold']);
    fleet.publish({ instances: ids, entry: { ...WARM, sequence: 2 } });
    await advance(400, load);
    fleet.publish({ instances: ids, entry: { ...WARM, sequence: 3 } });
    await advance(100, load);
    expect(standby.changes).toEqual(['cold', 'warm']);
  });

  it('is not cold at an instance with an open connection that is told of another that could not reach it (guards against limits after the failure of one link)', async () => {
    const ids = ['i0', 'i1'];
    const [, standby] = findHosts(startAll(ids, WARM)) as [WarmupInstance, WarmupInstance];
    const load = (): void => void standby.access.run(createRead());
    await advance(500, load);
    void standby.access.run(createRead({ wasUnreachable: true }));
    await advance(500, load);
    expect(standby.changes).toEqual([]);
  });

  it('is not taken for slow because statements waited for its tokens (guards against refusals at the queue after the warm-up)', async () => {
    const entry = { ...COLD, warmupRemainingMs: toMilliseconds(4000) };
    const [host] = startAll(['i0'], entry) as [WarmupInstance];
    await advance(3900, offerLoad([host]));
    await advance(600);
    expect(host.changes).toEqual(['cold', 'warm']);
    results.length = 0;
    // More statements than the member runs at once, so that some wait at the queue.
    for (let count = 0; count < 40; count += 1) {
      void host.access
        .run(createRead({ maxEstimatedWaitMs: 60 }))
        .then((result) => results.push(result));
    }
    await advance(500);
    expect(results.map(({ kind }) => kind)).toEqual(Array(40).fill('answered'));
  });

  it('is not one whose only connection this instance has discarded (guards against limits after a transaction that could not be rolled back)', async () => {
    const [host] = startAll(['i0'], WARM) as [WarmupInstance];
    const pool = host.registry.findPool(MEMBER) as MemberPool;
    const { credentials, values, priority } = createRead();
    const { organisation } = credentials;
    const waits = { waitMs: 100, maxEstimatedWaitMs: 100, priority };
    const acquired = pool.acquire({ organisation, session: { values }, ...waits });
    await advance(5);
    const result = await acquired;
    if (result.kind !== 'connection') throw new Error(result.reason);
    const { connection } = result;
    void connection.exchange({ kind: 'begin', readOnly: true, waitFor: undefined }, 100);
    await advance(5);
    expect(connection.transactionState).toBe('open');
    pool.release(connection);
    void host.access.run(createRead());
    await advance(100);
    expect(host.connector.channels).toHaveLength(2);
    expect(host.changes).toEqual([]);
  });

  it('is warm again after a failure of the link alone (guards against a slow member after a lost link)', async () => {
    const [host] = startAll(['i0'], WARM) as [WarmupInstance];
    const load = offerLoad([host]);
    await advance(500, load);
    fleet.breakConnections();
    await advance(1300, load);
    expect(host.changes).toEqual(['cold']);
    fleet.publish({ instances: ['i0'], entry: { ...WARM, sequence: 2 } });
    await advance(100, load);
    expect(host.changes).toEqual(['cold', 'warm']);
  });

  it('counts a statement that is prepared (guards against two commands for one token)', async () => {
    const [host] = startAll(['i0'], COLD) as [WarmupInstance];
    await advance(3000);
    const prepared = createPreparedStatement('read', 'q', 1);
    const statement = { requestId: 'r1', text: 'i1', prepared };
    void host.access.run(createRead({ statement }));
    await advance(10);
    const single = host.access.run(createRead({ maxEstimatedWaitMs: 150 }));
    await advance(300);
    expect(fleet.arrivals.map(({ kind }) => kind)).toEqual(['prepare', 'execute']);
    expect(await single).toMatchObject({ kind: 'refused', reason: 'overloaded' });
  });

  it('counts the values of sessions (guards against several commands for one token)', async () => {
    const [host] = startAll(['i0'], COLD) as [WarmupInstance];
    await advance(3000);
    const load = (): void => {
      const name = `v${Math.floor(fleet.clock.now() / 5)}`;
      void host.access.run(createRead({ values: new Map([[name, 'x']]) }));
    };
    await advance(5000, load);
    expect(fleet.arrivals.some(({ kind }) => kind === 'reset')).toBe(true);
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(PACE + 3);
  });

  it('is one in a failure domain whose evacuation has ended (guards against the full load on all its members at once)', () => {
    const [host] = startAll(['i0'], WARM) as [WarmupInstance];
    const { view, hosts, clock, metrics, log } = host;
    const settings = { instance: 'i0' as never };
    const evacuationEnds: Milliseconds[] = [];
    const findEvacuationEnd = (): Milliseconds | undefined => evacuationEnds[0];
    const services = { settings, view, hosts, clock, metrics, log, findEvacuationEnd };
    const warmups = new MemberWarmups(services);
    warmups.applyView();
    expect(warmups.reserve(MEMBER, 0, 1)).toBeUndefined();
    evacuationEnds.push(clock.now());
    warmups.update();
    expect(warmups.reserve(MEMBER, 0, 1)).toMatchObject({ kind: 'refused' });
    clock.advance(WARMUP.durationMs);
    expect(warmups.reserve(MEMBER, 0, 1)).toBeUndefined();
  });

  it('is listed as cold to readers (guards against reads that prefer it)', () => {
    const [host] = startAll(['i0'], COLD) as [WarmupInstance];
    expect(host.registry.listReaders('g' as never, 1)).toMatchObject([
      { id: MEMBER, isCold: true },
    ]);
  });
});

describe('a member of a group without a warm-up', () => {
  it('gets its full load at once (guards against limits that nobody configured)', async () => {
    vi.useFakeTimers();
    const fleet = new WarmupFleet(undefined);
    const host = fleet.start('i0', { instances: ['i0'], entry: COLD });
    let answered = 0;
    const count = ({ kind }: StatementResult): void => {
      if (kind === 'answered') answered += 1;
    };
    const load = (): void => void host.access.run(createRead()).then(count);
    await fleet.advance(500, load);
    fleet.breakConnections();
    await fleet.advance(500, load);
    expect(answered).toBeGreaterThan(190);
    expect(host.changes).toEqual([]);
    const metrics = await host.metrics.registry.metrics();
    expect(metrics).toContain('heatherledge_gateway_cold_refusals_total 0');
    fleet.stop();
    vi.useRealTimers();
  });
});
