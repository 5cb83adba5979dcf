/** Restarts every instance of the local fleet under load, one after another, and counts. */
import { join } from 'node:path';
import { RoamingWorkload } from '@heatherledge/lab';
import { Balancer } from './fleet/balancer.js';
import { LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const SESSIONS = 12;
const PAUSE_MS = 15;
const WARM_UP_MS = 4000;
const BETWEEN_MS = 500;

const fleet = new LocalFleet(join('results', 'measure-drain'));

async function run(): Promise<object> {
  await fleet.start();
  await sleep(WARM_UP_MS);
  const balancer = new Balancer(fleet.instances);
  const workload = new RoamingWorkload(() => balancer.choose());
  await workload.prepare();
  const sessions = Array.from({ length: SESSIONS }, async (_, index) =>
    workload.runSession(index, PAUSE_MS),
  );
  await sleep(WARM_UP_MS / 2);
  const stopMs: number[] = [];
  const exitCodes: (number | null)[] = [];
  for (const instance of fleet.instances) {
    const started = performance.now();
    exitCodes.push(await instance.process.stop());
    stopMs.push(Math.round(performance.now() - started));
    await instance.process.start();
    await sleep(BETWEEN_MS);
  }
  workload.stop();
  await Promise.all(sessions);
  await workload.check();
  balancer.stop();
  const refusals = Object.fromEntries(workload.refusals);
  return { ...workload.counts, restarted: stopMs.length, exitCodes, stopMs, refusals };
}

let isClean = false;
try {
  const report = (await run()) as {
    refused: number;
    unknown: number;
    lost: number;
    doubled: number;
    stale: number;
  };
  const { refused, unknown, lost, doubled, stale } = report;
  isClean = refused + unknown + lost + doubled + stale === 0;
  process.stdout.write(`${JSON.stringify(report)}\n`);
} finally {
  await fleet.end();
}
process.exit(isClean ? 0 : 1);
