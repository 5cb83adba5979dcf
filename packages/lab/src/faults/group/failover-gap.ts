/** Measures the gap in writes of a change of primary, by cause, under a manual clock. */
import { DEFAULT_WATCHER_TIMINGS, type WatcherTimings } from '@heatherledge/core';
import type { NetworkLatencies } from '../fake-network.js';
import { GroupWorld } from './group-world.js';

/** Why the primary changes. */
export type FailoverCause = 'crash' | 'freeze' | 'isolation' | 'planned';

/** Every cause. */
export const FAILOVER_CAUSES: readonly FailoverCause[] = [
  'crash',
  'freeze',
  'isolation',
  'planned',
];

/** Gaps of many runs, in milliseconds. */
export interface GapSummary {
  readonly runs: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly worstMs: number;
  /** Runs in which no write was confirmed again within the time looked at. */
  readonly never: number;
  /** Callers that were told that a write has not run. */
  readonly refused: number;
  readonly unknown: number;
}

/** A promotion by a timeout in an outside store, as common tools do it. */
export const FIXED_TIMEOUT_TIMINGS: WatcherTimings = {
  ...DEFAULT_WATCHER_TIMINGS,
  suspectAfterMs: 30_000,
  probeEveryMs: 10_000,
  healthyIntervalMs: 10_000,
  suspicionTtlMs: 25_000,
};

const STRIKE_AT_MS = 4000;
const STRIKE_JITTER_MS = 1000;
const LOOK_FOR_MS = 60_000;
/** Enough callers for some to be at each entry when the fault strikes. */
const CLIENTS_PER_STYLE = 4;

interface GapRun {
  readonly gapMs: number | undefined;
  readonly refused: number;
  readonly unknown: number;
}

/**
 * @param cause - why the primary changes
 * @param latencies - the deployment's
 * @param timings - the watchers'
 * @param runs - number of runs, each with a seed of its own
 * @returns the gaps
 */
export function measureFailoverGap(
  cause: FailoverCause,
  latencies: NetworkLatencies,
  timings: WatcherTimings,
  runs: number,
): GapSummary {
  const results = Array.from({ length: runs }, (_, index) =>
    runOnce(cause, latencies, timings, index + 1),
  );
  const gaps = results.flatMap(({ gapMs }) => gapMs ?? []).sort((left, right) => left - right);
  const pick = (share: number): number =>
    Math.round(gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * share))] ?? NaN);
  return {
    runs,
    medianMs: pick(0.5),
    p99Ms: pick(0.99),
    worstMs: Math.round(gaps.at(-1) ?? NaN),
    never: runs - gaps.length,
    refused: results.reduce((sum, { refused }) => sum + refused, 0),
    unknown: results.reduce((sum, { unknown }) => sum + unknown, 0),
  };
}

function runOnce(
  cause: FailoverCause,
  latencies: NetworkLatencies,
  timings: WatcherTimings,
  seed: number,
): GapRun {
  // A first primary is chosen at the usual pace; the timings under test count from then on.
  const isSlow = timings.suspectAfterMs > STRIKE_AT_MS;
  const settleMs = isSlow ? timings.suspectAfterMs * 2 : 0;
  const endMs = settleMs + STRIKE_AT_MS + STRIKE_JITTER_MS + LOOK_FOR_MS;
  const world = new GroupWorld({
    seed,
    latencies,
    clientsStopAt: endMs,
    clientsPerStyle: CLIENTS_PER_STYLE,
    timings,
  });
  const strikeAt = settleMs + STRIKE_AT_MS + world.random.next() * STRIKE_JITTER_MS;
  world.queue.schedule(strikeAt, () => strike(world, cause));
  const step = 500;
  let next: number | undefined;
  for (let now = strikeAt + step; now <= endMs && next === undefined; now += step) {
    world.queue.runUntil(now);
    next = findResumption(world, strikeAt);
  }
  const before = world.doneMoments.filter((moment) => moment <= strikeAt).at(-1) ?? strikeAt;
  const told = world.history.writes.filter(({ startedAt }) => startedAt >= before);
  return {
    gapMs: next === undefined ? undefined : next - before,
    refused: told.filter((write) => write.told === 'not-run').length,
    unknown: told.filter((write) => write.told === 'unknown').length,
  };
}

/** Writes that were on their way when the fault struck may still be told; the gap ends after that. */
const IN_FLIGHT_MS = 150;

function findResumption(world: GroupWorld, strikeAt: number): number | undefined {
  return world.doneMoments.find((moment) => moment > strikeAt + IN_FLIGHT_MS);
}

function strike(world: GroupWorld, cause: FailoverCause): void {
  const name = world.primary?.name;
  if (name === undefined) return;
  if (cause === 'crash') world.kill(name);
  else if (cause === 'freeze') world.network.freeze(name);
  else if (cause === 'isolation') world.isolate(world.network.domainOf(name));
  else world.setLeaving(new Set([name]));
}
