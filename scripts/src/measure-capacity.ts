/**
 * Measures the slopes behind docs/CAPACITY.md: `measure-capacity [--json] [--check]`.
 * With --check, fails if a slope lies further from the page's table than the spread stated there.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Caller, type CallerTarget, fitLine, measureControlCosts } from '@heatherledge/lab';
import { readFigures, type InstanceFigures } from './fleet/instance-figures.js';
import { type InstanceProcess, LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const TABLE_FILE = 'docs/capacity.json';
const IDLE_STEPS = [500, 2000, 3500, 5000];
const REST_MS = 15_000;
const STATEMENTS = 4000;
const CALLERS = 8;
const SETTLE_MS = 1500;

/** A slope as the page's table holds it. */
interface TableRow {
  readonly value: number;
  /** Largest factor by which a repeated measurement may differ. */
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

async function measureRest(): Promise<Record<string, number>> {
  const before = await Promise.all(fleet.instances.map(readFigures));
  await sleep(REST_MS);
  const after = await Promise.all(fleet.instances.map(readFigures));
  const seconds = REST_MS / 1000;
  const rate = (pick: (figures: InstanceFigures) => number): number[] =>
    after.map(
      (figures, index) => (pick(figures) - pick(before[index] as InstanceFigures)) / seconds,
    );
  const cpu = rate(({ cpuSeconds }) => cpuSeconds);
  const bytes = rate(({ peerBytes }) => peerBytes);
  const control = rate(({ controlBytes }) => controlBytes);
  const watched = after.map(({ watchedGroups }) => watchedGroups);
  const toPoints = (values: number[]): { x: number; y: number }[] =>
    values.map((y, index) => ({ x: watched[index] ?? 0, y }));
  const cpuFit = fitLine(toPoints(cpu.map((share) => share * 100)));
  const calls = rate(({ platformCalls }) => platformCalls);
  return {
    restCpuPercentMost: 100 * Math.max(...cpu),
    restCpuPercentMean: (100 * cpu.reduce((sum, value) => sum + value, 0)) / cpu.length,
    restCpuPercentBase: cpuFit.intercept,
    restCpuPercentPerWatchedGroup: cpuFit.slope,
    controlBytesPerSecondPerWatchedGroup: fitLine(toPoints(control)).slope,
    restPeerBytesPerSecondMost: Math.max(...bytes),
    restPlatformCallsPerSecondSum: calls.reduce((sum, value) => sum + value, 0),
    restResidentMegabytesMost: Math.max(...after.map((f) => f.residentBytes)) / 1e6,
  };
}

async function measureStatements(kind: 'read' | 'write'): Promise<Record<string, number>> {
  const instance = fleet.instances[0] as InstanceProcess;
  const target = createTarget(instance);
  const callers = await Promise.all(
    Array.from({ length: CALLERS }, async () => Caller.connect(target)),
  );
  await callers[0]?.run('CREATE TABLE IF NOT EXISTS load (id int PRIMARY KEY, n int)');
  const before = await readFigures(instance);
  const started = performance.now();
  await Promise.all(callers.map(async (caller, index) => runStatements(caller, index, kind)));
  const seconds = (performance.now() - started) / 1000;
  const after = await readFigures(instance);
  await Promise.all(callers.map(async (caller) => caller.end()));
  const micros = ((after.cpuSeconds - before.cpuSeconds) / STATEMENTS) * 1e6;
  return { [`${kind}CpuMicros`]: micros, [`${kind}sPerSecond`]: STATEMENTS / seconds };
}

async function runStatements(caller: Caller, index: number, kind: 'read' | 'write'): Promise<void> {
  const count = STATEMENTS / CALLERS;
  for (let number = 0; number < count; number += 1) {
    const id = index * 1_000_000 + number;
    const result =
      kind === 'read'
        ? await caller.run('SELECT n FROM load WHERE id = $1', [id])
        : await caller.run('INSERT INTO load VALUES ($1, $2) ON CONFLICT DO NOTHING', [id, 1]);
    if (result.outcome !== 'done') await sleep(20);
  }
}

async function measureIdleConnections(): Promise<Record<string, number>> {
  const instance = fleet.instances[8] as InstanceProcess;
  const callers: Caller[] = [];
  const points: { x: number; y: number }[] = [];
  for (const step of IDLE_STEPS) {
    while (callers.length < step) {
      const target = createTarget(instance);
      callers.push(...(await Promise.all([1, 2, 3, 4].map(async () => Caller.connect(target)))));
    }
    await sleep(SETTLE_MS);
    const { residentBytes } = await readFigures(instance);
    points.push({ x: callers.length, y: residentBytes });
  }
  await Promise.all(callers.map(async (caller) => caller.end()));
  const fit = fitLine(points);
  return { idleConnectionBytes: fit.slope, idleConnectionFitSpread: fit.spread };
}

async function measureFleet(): Promise<Record<string, number>> {
  try {
    await fleet.start();
    await sleep(SETTLE_MS * 4);
    return {
      ...(await measureRest()),
      ...(await measureIdleConnections()),
      ...(await measureStatements('write')),
      ...(await measureStatements('read')),
    };
  } finally {
    await fleet.end();
  }
}

function measureControl(): Record<string, number> {
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

function findDifferences(figures: Record<string, number>): string[] {
  const table = JSON.parse(readFileSync(TABLE_FILE, 'utf8')) as Record<string, TableRow>;
  return Object.entries(table).flatMap(([name, { value, spreadFactor }]) => {
    const measured = figures[name] ?? NaN;
    const isNear = measured <= value * spreadFactor && measured >= value / spreadFactor;
    return isNear ? [] : [`${name}: ${measured} against ${value} in the table`];
  });
}

const figures = { ...measureControl(), ...(await measureFleet()) };
process.stdout.write(`${JSON.stringify(figures)}\n`);
if (process.argv.includes('--check')) {
  const differences = findDifferences(figures);
  for (const difference of differences) process.stderr.write(`${difference}\n`);
  process.exitCode = differences.length === 0 ? 0 : 1;
}
process.exit();
