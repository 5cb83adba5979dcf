import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { StatementResult } from '../../src/index.js';
import {
  COLD,
  createRead,
  PACE,
  WARMUP,
  WarmupFleet,
  type WarmupInstance,
} from '../fixtures/warmup-fleet.js';

const NO_VALUES = new Map<string, string>();

describe('a cold member with transactions', () => {
  let fleet: WarmupFleet;
  let host: WarmupInstance;

  beforeEach(async () => {
    vi.useFakeTimers();
    fleet = new WarmupFleet(WARMUP);
    host = fleet.start('i0', { instances: ['i0'], entry: COLD });
    await advance(3000);
  });

  afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
  });

  async function advance(ms: number): Promise<void> {
    await fleet.advance(ms, () => host.confirm());
  }

  it('gets BEGIN and the statements at its pace (guards against a transaction beyond it, or lost to it)', async () => {
    const commits: StatementResult[] = [];
    async function transact(): Promise<void> {
      const begun = await host.access.begin({ ...createRead(), readOnly: true });
      if (begun.kind !== 'open') return;
      const { transaction } = begun;
      for (const text of ['READ i1', 'READ i2', 'COMMIT']) {
        const statement = { requestId: text, text, prepared: undefined };
        const result = await transaction.run(statement, NO_VALUES, 2000);
        if (text === 'COMMIT') commits.push(result);
      }
      transaction.end();
    }
    for (let count = 0; count < 3; count += 1) void transact();
    await advance(20);
    const single = host.access.run(createRead({ maxEstimatedWaitMs: 50 }));
    await advance(2000);
    expect(await single).toMatchObject({ kind: 'refused', reason: 'overloaded' });
    const kinds = fleet.arrivals.map(({ kind }) => kind);
    expect(kinds.filter((kind) => kind === 'begin')).toHaveLength(3);
    expect(kinds.filter((kind) => kind === 'forward')).toHaveLength(9);
    expect(commits.map(({ kind }) => kind)).toEqual(['answered', 'answered', 'answered']);
    expect(fleet.countBusiestSecond()).toBeLessThanOrEqual(PACE);
  });

  it('gets no statement after its timeout (guards against a commit that is sent when its caller has been told of a failure)', async () => {
    const begun = host.access.begin({ ...createRead(), readOnly: true });
    await advance(5);
    const result = await begun;
    if (result.kind !== 'open') throw new Error(result.kind);
    // They hold all slots, the last of them for half a second.
    for (let count = 0; count < 5; count += 1) {
      void host.access.run(createRead({ maxEstimatedWaitMs: 800 }));
    }
    await advance(5);
    const sentAt = fleet.clock.now();
    const commit = { requestId: 'c', text: 'COMMIT', prepared: undefined };
    const committed = result.transaction.run(commit, NO_VALUES, 550);
    await advance(1000);
    expect(await committed).toMatchObject({ kind: 'lost', wasSent: false });
    const late = fleet.arrivals.filter(({ at, kind }) => kind === 'forward' && at > sentAt + 550);
    expect(late).toEqual([]);
    result.transaction.end();
  });

  it('gets a rollback at its pace (guards against rollbacks beyond it)', async () => {
    const begun = host.access.begin({ ...createRead(), readOnly: true });
    await advance(5);
    const result = await begun;
    if (result.kind === 'open') result.transaction.end();
    const single = host.access.run(createRead({ maxEstimatedWaitMs: 150 }));
    await advance(300);
    expect(fleet.arrivals.map(({ kind }) => kind)).toEqual(['begin', 'rollback']);
    const [begin, rollback] = fleet.arrivals;
    expect((rollback?.at ?? 0) - (begin?.at ?? 0)).toBeGreaterThanOrEqual(1000 / PACE);
    expect(await single).toMatchObject({ kind: 'refused', reason: 'overloaded' });
  });
});
