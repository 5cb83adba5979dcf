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

/** @returns milliseconds from the withdrawal of a key until a connected caller is refused */
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
  await callAdmin(adminInstance, '/v1/settings', {
    changes: [{ path: 'teams/subscriptions/keys/key-w' }],
  });
  while (performance.now() - started < PHASE_DURATION_MS * 2) {
    const result = await caller.run('SELECT 1');
    if (result.outcome !== 'done') break;
    await sleep(5);
  }
  await caller.end();
  return performance.now() - started;
}

async function run(): Promise<object> {
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
} finally {
  await fleet.killAll();
}
process.exit(0);
