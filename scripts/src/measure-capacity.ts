/**
 * Measures the figures behind docs/CAPACITY.md and prints them as one JSON line:
 * `measure-capacity [--check]`. With --check, fails if a figure differs from the table in
 * docs/capacity.json by more than the factor that the table allows.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Caller, type CallerTarget, fitLine, measureControlCosts } from '@heatherledge/lab';
import { readInstanceMetrics, type InstanceMetrics } from './fleet/instance-metrics.js';
import { type InstanceProcess, LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const CAPACITY_TABLE_FILE = 'docs/capacity.json';
const IDLE_CONNECTION_COUNTS = [500, 2000, 3500, 5000];
const IDLE_DURATION_MS = 15_000;
const STATEMENT_COUNT = 4000;
const CALLER_COUNT = 8;
const SETTLE_DELAY_MS = 1500;

/** A figure in the capacity table. */
interface TableRow {
  readonly value: number;
  /** Largest factor by which a repeated measurement may differ from the value. */
  readonly spreadFactor: number;
}

const fleet = new LocalFleet(join('results', 'measure-capacity'));

function createTarget(instance: InstanceProcess): CallerTarget {
  return {
    host: '127.0.0.1',
    port: instance.callerPort,
    user: 'organisation-a',
    password: 'example-key-a',
    database: 'subscriptions',
  };
}

/**
 * Measures processor time, memory and traffic of a fleet without callers, and how processor time
 * and control traffic grow with the number of watched groups.
 */
async function measureIdleFleet(): Promise<Record<string, number>> {
  const before = await Promise.all(fleet.instances.map(readInstanceMetrics));
  await sleep(IDLE_DURATION_MS);
  const after = await Promise.all(fleet.instances.map(readInstanceMetrics));
  const seconds = IDLE_DURATION_MS / 1000;
  const computeRates = (select: (metrics: InstanceMetrics) => number): number[] =>
    after.map(
      (metrics, index) => (select(metrics) - select(before[index] as InstanceMetrics)) / seconds,
    );
  const cpuShares = computeRates(({ cpuSeconds }) => cpuSeconds);
  const peerByteRates = computeRates(({ peerBytes }) => peerBytes);
  const controlByteRates = computeRates(({ controlBytes }) => controlBytes);
  const groupCounts = after.map(({ watchedGroups }) => watchedGroups);
  const toPoints = (values: number[]): { x: number; y: number }[] =>
    values.map((y, index) => ({ x: groupCounts[index] ?? 0, y }));
  const cpuFit = fitLine(toPoints(cpuShares.map((share) => share * 100)));
  const platformCallRates = computeRates(({ platformCalls }) => platformCalls);
  return {
    restCpuPercentMost: 100 * Math.max(...cpuShares),
    restCpuPercentMean: (100 * cpuShares.reduce((sum, value) => sum + value, 0)) / cpuShares.length,
    restCpuPercentBase: cpuFit.intercept,
    restCpuPercentPerWatchedGroup: cpuFit.slope,
    controlBytesPerSecondPerWatchedGroup: fitLine(toPoints(controlByteRates)).slope,
    restPeerBytesPerSecondMost: Math.max(...peerByteRates),
    restPlatformCallsPerSecondSum: platformCallRates.reduce((sum, value) => sum + value, 0),
    restResidentMegabytesMost: Math.max(...after.map((metrics) => metrics.residentBytes)) / 1e6,
  };
}

async function measureStatements(kind: 'read' | 'write'): Promise<Record<string, number>> {
  const instance = fleet.instances[0] as InstanceProcess;
  const target = createTarget(instance);
  const callers = await Promise.all(
    Array.from({ length: CALLER_COUNT }, async () => Caller.connect(target)),
  );
  await callers[0]?.run('CREATE TABLE IF NOT EXISTS load (id int PRIMARY KEY, n int)');
  const before = await readInstanceMetrics(instance);
  const started = performance.now();
  await Promise.all(callers.map(async (caller, index) => runStatements(caller, index, kind)));
  const seconds = (performance.now() - started) / 1000;
  const after = await readInstanceMetrics(instance);
  await Promise.all(callers.map(async (caller) => caller.end()));
  const micros = ((after.cpuSeconds - before.cpuSeconds) / STATEMENT_COUNT) * 1e6;
  return { [`${kind}CpuMicros`]: micros, [`${kind}sPerSecond`]: STATEMENT_COUNT / seconds };
}

async function runStatements(caller: Caller, index: number, kind: 'read' | 'write'): Promise<void> {
  const count = STATEMENT_COUNT / CALLER_COUNT;
  for (let number = 0; number < count; number += 1) {
    const id = index * 1_000_000 + number;
    const result =
      kind === 'read'
        ? await caller.run('SELECT n FROM load WHERE id = $1', [id])
        : await caller.run('INSERT INTO load VALUES ($1, $2) ON CONFLICT DO NOTHING', [id, 1]);
    if (result.outcome !== 'done') await sleep(20);
  }
}

/** Measures the memory of an instance for each idle connection of a caller. */
async function measureIdleConnections(): Promise<Record<string, number>> {
  const instance = fleet.instances[8] as InstanceProcess;
  const callers: Caller[] = [];
  const points: { x: number; y: number }[] = [];
  for (const connectionCount of IDLE_CONNECTION_COUNTS) {
    while (callers.length < connectionCount) {
      const target = createTarget(instance);
      callers.push(...(await Promise.all([1, 2, 3, 4].map(async () => Caller.connect(target)))));
    }
    await sleep(SETTLE_DELAY_MS);
    const { residentBytes } = await readInstanceMetrics(instance);
    points.push({ x: callers.length, y: residentBytes });
  }
  await Promise.all(callers.map(async (caller) => caller.end()));
  const fit = fitLine(points);
  return { idleConnectionBytes: fit.slope, idleConnectionFitSpread: fit.spread };
}

async function measureFleet(): Promise<Record<string, number>> {
  try {
    await fleet.start();
    await sleep(SETTLE_DELAY_MS * 4);
    return {
      ...(await measureIdleFleet()),
      ...(await measureIdleConnections()),
      ...(await measureStatements('write')),
      ...(await measureStatements('read')),
    };
  } finally {
    await fleet.killAll();
  }
}

/** Measures the control plane's decisions in this process. */
function measureControlPlane(): Record<string, number> {
  const costs = measureControlCosts();
  return {
    probeMicros: costs.probeMicros.median,
    loanMicros: costs.loanMicros.median,
    membershipMicros: costs.membershipMicros.median,
    instanceBytes: costs.instanceBytes.slope,
    settingsBytesPerGroup: costs.settingsBytes.slope,
    changeMicrosAt4000Groups: costs.changeMicros.intercept + costs.changeMicros.slope * 4000,
    changeMicrosPerGroup: costs.changeMicros.slope,
  };
}

/** @returns a message for each figure that lies outside the table's spread */
function findDeviations(figures: Record<string, number>): string[] {
  const table = JSON.parse(readFileSync(CAPACITY_TABLE_FILE, 'utf8')) as Record<string, TableRow>;
  return Object.entries(table).flatMap(([name, { value, spreadFactor }]) => {
    const measured = figures[name] ?? NaN;
    const isWithinSpread = measured <= value * spreadFactor && measured >= value / spreadFactor;
    return isWithinSpread ? [] : [`${name}: ${measured} against ${value} in the table`];
  });
}

const figures = { ...measureControlPlane(), ...(await measureFleet()) };
process.stdout.write(`${JSON.stringify(figures)}\n`);
if (process.argv.includes('--check')) {
  const deviations = findDeviations(figures);
  for (const deviation of deviations) process.stderr.write(`${deviation}\n`);
  process.exitCode = deviations.length === 0 ? 0 : 1;
}
process.exit();
