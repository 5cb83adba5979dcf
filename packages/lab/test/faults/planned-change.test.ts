import {
  CADENA_LATENCIES,
  FAILOVER_CAUSES,
  GEORGIA_LATENCIES,
  GroupWorld,
  measureFailoverGap,
} from '@heatherledge/lab';
import { DEFAULT_WATCHER_TIMINGS } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

/** Every change of primary is to be over within this time. */
const LIMIT_MS = 8000;

describe('change of primary', () => {
  it.each(FAILOVER_CAUSES)('after %s is over within the limit, at both deployments', (cause) => {
    for (const latencies of [CADENA_LATENCIES, GEORGIA_LATENCIES]) {
      const gap = measureFailoverGap(cause, latencies, DEFAULT_WATCHER_TIMINGS, 5);
      expect(gap.never).toBe(0);
      expect(gap.worstMs).toBeLessThanOrEqual(LIMIT_MS);
    }
  });

  it('refuses nothing if a member is taken out of service', () => {
    const gap = measureFailoverGap('planned', CADENA_LATENCIES, DEFAULT_WATCHER_TIMINGS, 10);
    expect([gap.refused, gap.unknown]).toEqual([0, 0]);
  });

  it('does not depose a healthy primary because one watcher is cut off', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const world = new GroupWorld({ seed, latencies: CADENA_LATENCIES, clientsStopAt: 12_000 });
      world.queue.runUntil(3000);
      const term = world.primary?.log.currentTerm;
      const other = ['domain-1', 'domain-2', 'domain-3'].find(
        (domain) => domain !== world.network.domainOf(world.primary?.name ?? ''),
      );
      world.isolate(other ?? '');
      world.queue.runUntil(10_000);
      world.network.heal();
      world.queue.runUntil(20_000);
      expect(world.primary?.log.currentTerm).toBe(term);
      expect(world.judge()).toEqual([]);
    }
  });
});
