import { DEFAULT_WATCHER_TIMINGS, type WatcherTimings } from '@heatherledge/core';
import type { NetworkLatencies } from '../fake-network.js';
import { GroupSimulation } from './group-simulation.js';

/** Cause of a change of primary. */
export type FailoverCause = 'crash' | 'freeze' | 'isolation' | 'planned';

/** All causes. */
export const FAILOVER_CAUSES: readonly FailoverCause[] = [
  'crash',
  'freeze',
  'isolation',
  'planned',
];

/** Gaps in acknowledged writes over a number of runs; printed as JSON under these names. */
export interface GapSummary {
  readonly runs: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly worstMs: number;
  /** Runs in which no write was acknowledged again within the observed time. */
  readonly never: number;
  /**
   * Attempts with the outcome `not-run`, of those started since the last acknowledged write before
   * the fault.
   */
  readonly refused: number;
  /** Attempts with the outcome `unknown`, of the same. */
  readonly unknown: number;
}

/** Timings of common failover tools, which promote after a fixed timeout in an external store. */
export const FIXED_TIMEOUT_TIMINGS: WatcherTimings = {
  ...DEFAULT_WATCHER_TIMINGS,
  suspectAfterMs: 30_000,
  probeEveryMs: 10_000,
  healthyIntervalMs: 10_000,
  suspicionTtlMs: 25_000,
};

const FAULT_AT_MS = 4000;
const MAX_FAULT_JITTER_MS = 1000;
const MAX_OBSERVED_GAP_MS = 60_000;
/** Enough callers for each instance to have some when the fault is injected. */
const CALLERS_PER_STYLE = 4;

interface GapMeasurement {
  readonly gapMs: number | undefined;
  readonly refused: number;
  readonly unknown: number;
}

/**
 * Measures the gap in acknowledged writes around a change of primary, in simulations under a manual
 * clock.
 *
 * @param cause - cause of the change
 * @param latencies - latencies of the deployment
 * @param timings - timings of the watchers
 * @param runs - number of runs; their seeds are 1, 2, and so on
 * @returns a summary of the gaps
 */
export function measureFailoverGap(
  cause: FailoverCause,
  latencies: NetworkLatencies,
  timings: WatcherTimings,
  runs: number,
): GapSummary {
  const results = Array.from({ length: runs }, (_, index) =>
    measureGap(cause, latencies, timings, index + 1),
  );
  const gaps = results.flatMap(({ gapMs }) => gapMs ?? []).sort((left, right) => left - right);
  const computePercentile = (fraction: number): number =>
    Math.round(gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * fraction))] ?? NaN);
  return {
    runs,
    medianMs: computePercentile(0.5),
    p99Ms: computePercentile(0.99),
    worstMs: Math.round(gaps.at(-1) ?? NaN),
    never: runs - gaps.length,
    refused: results.reduce((sum, { refused }) => sum + refused, 0),
    unknown: results.reduce((sum, { unknown }) => sum + unknown, 0),
  };
}

function measureGap(
  cause: FailoverCause,
  latencies: NetworkLatencies,
  timings: WatcherTimings,
  seed: number,
): GapMeasurement {
  // With a long suspicion timeout the first primary is promoted late; the fault has to come after.
  const needsWarmUp = timings.suspectAfterMs > FAULT_AT_MS;
  const warmUpMs = needsWarmUp ? timings.suspectAfterMs * 2 : 0;
  const endMs = warmUpMs + FAULT_AT_MS + MAX_FAULT_JITTER_MS + MAX_OBSERVED_GAP_MS;
  const simulation = new GroupSimulation({
    seed,
    latencies,
    callersStopAtMs: endMs,
    callersPerStyle: CALLERS_PER_STYLE,
    timings,
  });
  const faultAtMs = warmUpMs + FAULT_AT_MS + simulation.random.next() * MAX_FAULT_JITTER_MS;
  simulation.queue.schedule(faultAtMs, () => injectFault(simulation, cause));
  const stepMs = 500;
  let resumedAtMs: number | undefined;
  for (let now = faultAtMs + stepMs; now <= endMs && resumedAtMs === undefined; now += stepMs) {
    simulation.queue.runUntil(now);
    resumedAtMs = findResumption(simulation, faultAtMs);
  }
  const lastWriteAtMs =
    simulation.doneTimes.filter((doneAtMs) => doneAtMs <= faultAtMs).at(-1) ?? faultAtMs;
  const affectedWrites = simulation.history.writes.filter(
    ({ startedAt }) => startedAt >= lastWriteAtMs,
  );
  return {
    gapMs: resumedAtMs === undefined ? undefined : resumedAtMs - lastWriteAtMs,
    refused: affectedWrites.filter((write) => write.outcome === 'not-run').length,
    unknown: affectedWrites.filter((write) => write.outcome === 'unknown').length,
  };
}

/**
 * Responses to writes that were in flight when the fault was injected may still arrive within this
 * time; they do not end the gap.
 */
const MAX_IN_FLIGHT_RESPONSE_MS = 150;

function findResumption(simulation: GroupSimulation, faultAtMs: number): number | undefined {
  return simulation.doneTimes.find((doneAtMs) => doneAtMs > faultAtMs + MAX_IN_FLIGHT_RESPONSE_MS);
}

function injectFault(simulation: GroupSimulation, cause: FailoverCause): void {
  const name = simulation.primary?.name;
  if (name === undefined) return;
  if (cause === 'crash') simulation.kill(name);
  else if (cause === 'freeze') simulation.network.freeze(name);
  else if (cause === 'isolation') simulation.isolate(simulation.network.getDomain(name));
  else simulation.setLeaving(new Set([name]));
}
