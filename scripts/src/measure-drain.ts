/**
 * Restarts every instance of the local fleet under load, one after another. Prints one JSON line,
 * and fails if a write was refused, lost, applied twice or left with an unknown outcome, or if a
 * read was stale.
 */
import { join } from 'node:path';
import { FleetLoad } from './fleet/fleet-load.js';
import { LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

/** Delay after the restart of an instance, before the next one stops. */
const RESTART_DELAY_MS = 500;

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
    await sleep(RESTART_DELAY_MS);
  }
  await load.stop();
  const refusals = Object.fromEntries(workload.refusals);
  return { ...workload.counts, restarted: stopMs.length, exitCodes, stopMs, refusals };
}

let hasPassed = false;
try {
  const report = (await run()) as {
    refused: number;
    unknown: number;
    lost: number;
    doubled: number;
    stale: number;
  };
  const { refused, unknown, lost, doubled, stale } = report;
  hasPassed = refused + unknown + lost + doubled + stale === 0;
  process.stdout.write(`${JSON.stringify(report)}\n`);
} finally {
  await fleet.killAll();
}
process.exit(hasPassed ? 0 : 1);
