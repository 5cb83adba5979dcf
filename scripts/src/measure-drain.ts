/** Restarts every instance of the local fleet under load, one after another, and counts. */
import { join } from 'node:path';
import { FleetLoad } from './fleet/fleet-load.js';
import { LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const BETWEEN_MS = 500;

const fleet = new LocalFleet(join('results', 'measure-drain'));

async function run(): Promise<object> {
  const load = await FleetLoad.start(fleet);
  const { workload } = load;
  const stopMs: number[] = [];
  const exitCodes: (number | null)[] = [];
  for (const instance of fleet.instances) {
    const started = performance.now();
    exitCodes.push(await instance.process.stop());
    stopMs.push(Math.round(performance.now() - started));
    await instance.process.start();
    await sleep(BETWEEN_MS);
  }
  await load.finish();
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
