/**
 * Runs the local fleet under roaming callers: kills a primary and an instance, withdraws a key,
 * stops an instance, and prints one JSON line with what callers were told and what was kept.
 */
import { join } from 'node:path';
import { Caller, type CallerTarget, computeLongestGap, RoamingWorkload } from '@heatherledge/lab';
import { callAdmin, LocalFleet, type InstanceProcess } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const SESSIONS = 12;
const PAUSE_MS = 15;
const PHASE_MS = 4000;
const GROUP = 'subscriptions-1';

const fleet = new LocalFleet(join('results', 'fleet-smoke'));
const usable = new Set<InstanceProcess>(fleet.instances);
let turn = 0;

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
  const list = [...usable];
  turn += 1;
  return createTarget(list[turn % list.length] as InstanceProcess, 'example-key-a');
}

/** Time from a withdrawal until a connected caller is refused, in milliseconds. */
async function measureWithdrawal(): Promise<number> {
  const [first, , , fourth] = fleet.instances as [
    InstanceProcess,
    unknown,
    unknown,
    InstanceProcess,
  ];
  const caller = await Caller.connect(createTarget(fourth, 'example-key-w'));
  await caller.run('SELECT 1');
  const started = performance.now();
  await callAdmin(first, '/v1/settings', {
    changes: [{ path: 'teams/subscriptions/keys/key-w' }],
  });
  while (performance.now() - started < PHASE_MS * 2) {
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
  await workload.prepare();
  const started = performance.now();
  const sessions = Array.from({ length: SESSIONS }, async (_, index) =>
    workload.runSession(index, PAUSE_MS),
  );
  await sleep(PHASE_MS);
  const primary = await fleet.findPrimary(GROUP);
  const killedAt = performance.now();
  await primary?.process.kill();
  await sleep(PHASE_MS);
  const gapMs = computeLongestGap(workload.confirmed, killedAt - 100, performance.now());
  const victim = fleet.instances[4] as InstanceProcess;
  await victim.process.kill();
  usable.delete(victim);
  await sleep(PHASE_MS);
  const withdrawalMs = await measureWithdrawal();
  const leaving = fleet.instances[7] as InstanceProcess;
  usable.delete(leaving);
  const exitCode = await leaving.process.stop();
  await sleep(PHASE_MS / 2);
  workload.stop();
  await Promise.all(sessions);
  const seconds = (performance.now() - started) / 1000;
  await workload.check();
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
  await fleet.end();
}
process.exit(0);
