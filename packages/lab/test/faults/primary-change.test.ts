import {
  CADENA_LATENCIES,
  FAILOVER_CAUSES,
  GEORGIA_LATENCIES,
  GroupSimulation,
  measureFailoverGap,
} from '@heatherledge/lab';
import { DEFAULT_WATCHER_TIMINGS } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';

/** Maximum gap in acknowledged writes during a change of primary. */
const MAX_PRIMARY_CHANGE_MS = 8000;

describe('change of primary', () => {
  it.each(FAILOVER_CAUSES)(
    'after %s completes within the limit, with the latencies of both deployments',
    (cause) => {
      for (const latencies of [CADENA_LATENCIES, GEORGIA_LATENCIES]) {
        const gap = measureFailoverGap(cause, latencies, DEFAULT_WATCHER_TIMINGS, 5);
        expect(gap.never).toBe(0);
        expect(gap.worstMs).toBeLessThanOrEqual(MAX_PRIMARY_CHANGE_MS);
      }
    },
  );

  it('leaves no write refused or unknown when the primary is removed from the group', () => {
    const gap = measureFailoverGap('planned', CADENA_LATENCIES, DEFAULT_WATCHER_TIMINGS, 10);
    expect([gap.refused, gap.unknown]).toEqual([0, 0]);
  });

  it('keeps a healthy primary when one watcher is isolated with its failure domain', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = new GroupSimulation({
        seed,
        latencies: CADENA_LATENCIES,
        callersStopAtMs: 12_000,
      });
      simulation.queue.runUntil(3000);
      const term = simulation.primary?.log.currentTerm;
      const other = ['domain-1', 'domain-2', 'domain-3'].find(
        (domain) => domain !== simulation.network.getDomain(simulation.primary?.name ?? ''),
      );
      simulation.isolate(other ?? '');
      simulation.queue.runUntil(10_000);
      simulation.network.heal();
      simulation.queue.runUntil(20_000);
      expect(simulation.primary?.log.currentTerm).toBe(term);
      expect(simulation.findViolations()).toEqual([]);
    }
  });
});
