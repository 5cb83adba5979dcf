/**
 * Smoke test of the local fleet under roaming callers: kills a primary and an instance, withdraws a
 * key and stops an instance. Prints one JSON line with the counts of responses to callers and of
 * their differences from the stored rows.
 */
import { join } from 'node:path';
import { Caller, type CallerTarget, computeLongestGap, RoamingWorkload } from '@heatherledge/lab';
import { callAdmin, LocalFleet, type InstanceProcess } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const SESSION_COUNT = 12;
const WRITE_DELAY_MS = 15;
const PHASE_DURATION_MS = 4000;
/** Longer than the promised 5 s, to tell a late withdrawal from one that is not in force at all. */
const MAX_WITHDRAWAL_WAIT_MS = 8000;
/** The promise: a withdrawn key stops within this time. */
const MAX_WITHDRAWAL_MS = 5000;
const GROUP = 'subscriptions-1';

const fleet = new LocalFleet(join('results', 'fleet-smoke'));
const availableInstances = new Set<InstanceProcess>(fleet.instances);
let choiceCount = 0;

function createTarget(instance: InstanceProcess, key: string): CallerTarget {
  return {
    host: '127.0.0.1',
    port: instance.callerPort,
    user: key === 'example-key-a' ? 'organisation-a' : 'organisation-b',
    password: key,
    database: 'subscriptions',
  };
}

function chooseTarget(): CallerTarget {
  const instances = [...availableInstances];
  choiceCount += 1;
  return createTarget(
    instances[choiceCount % instances.length] as InstanceProcess,
    'example-key-a',
  );
}

/**
 * Withdraws a key through one instance while a caller is connected with it to another one.
 *
 * @returns milliseconds from the start of the withdrawal until the caller is refused
 * @throws Error if the change is not accepted, or the key still works after `MAX_WITHDRAWAL_WAIT_MS`
 */
async function measureKeyWithdrawal(): Promise<number> {
  const [adminInstance, , , callerInstance] = fleet.instances as [
    InstanceProcess,
    unknown,
    unknown,
    InstanceProcess,
  ];
  const caller = await Caller.connect(createTarget(callerInstance, 'example-key-w'));
  await caller.run('SELECT 1');
  const started = performance.now();
  const change = await callAdmin(adminInstance, '/v1/settings', {
    changes: [{ path: 'teams/subscriptions/keys/key-w' }],
  });
  const { outcome } = change as { outcome?: string };
  if (outcome !== 'accepted') {
    throw new Error(`the withdrawal was not accepted: ${JSON.stringify(change)}`);
  }
  let isRefused = false;
  while (!isRefused && performance.now() - started < MAX_WITHDRAWAL_WAIT_MS) {
    const result = await caller.run('SELECT 1');
    isRefused = result.outcome !== 'done';
    if (!isRefused) await sleep(5);
  }
  const withdrawalMs = performance.now() - started;
  await caller.end();
  if (isRefused) return withdrawalMs;
  const states = await Promise.all(
    fleet.instances.map(async (instance) => describeSettings(instance)),
  );
  throw new Error(`the withdrawn key still works; settings: ${JSON.stringify(states)}`);
}

/** @returns revision and age of an instance's settings, or why they are not known */
async function describeSettings(instance: InstanceProcess): Promise<unknown> {
  try {
    const state = (await callAdmin(instance, '/v1/state')) as { settings?: unknown };
    return { number: instance.number, settings: state.settings };
  } catch (error) {
    return { number: instance.number, error: String(error) };
  }
}

async function run(): Promise<{ readonly withdrawalMs: number } & Record<string, unknown>> {
  await fleet.start();
  await sleep(2000);
  const workload = new RoamingWorkload(chooseTarget);
  await workload.createTable();
  const started = performance.now();
  const sessions = Array.from({ length: SESSION_COUNT }, async (_, index) =>
    workload.runSession(index, WRITE_DELAY_MS),
  );
  await sleep(PHASE_DURATION_MS);
  const primary = await fleet.findPrimary(GROUP);
  const killedAt = performance.now();
  await primary?.process.kill();
  await sleep(PHASE_DURATION_MS);
  const gapMs = computeLongestGap(workload.confirmedWrites, killedAt - 100, performance.now());
  const killedInstance = fleet.instances[4] as InstanceProcess;
  await killedInstance.process.kill();
  availableInstances.delete(killedInstance);
  await sleep(PHASE_DURATION_MS);
  const withdrawalMs = await measureKeyWithdrawal();
  const stoppedInstance = fleet.instances[7] as InstanceProcess;
  availableInstances.delete(stoppedInstance);
  const exitCode = await stoppedInstance.process.stop();
  await sleep(PHASE_DURATION_MS / 2);
  workload.stop();
  await Promise.all(sessions);
  const seconds = (performance.now() - started) / 1000;
  await workload.checkStoredRows();
  return {
    ...workload.counts,
    seconds: Math.round(seconds),
    gapMs: Math.round(gapMs),
    withdrawalMs: Math.round(withdrawalMs),
    stopExitCode: exitCode,
    refusals: Object.fromEntries(workload.refusals),
  };
}

try {
  const report = await run();
  process.stdout.write(`${JSON.stringify(report)}\n`);
  if (report.withdrawalMs > MAX_WITHDRAWAL_MS) {
    process.stderr.write(`the key worked for longer than ${MAX_WITHDRAWAL_MS} ms\n`);
    process.exitCode = 1;
  }
} catch (error) {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
} finally {
  await fleet.killAll();
}
process.exit();
