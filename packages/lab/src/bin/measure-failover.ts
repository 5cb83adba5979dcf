#!/usr/bin/env node
/** Measures the gap in writes by cause and prints JSON lines: `measure-failover [--runs N]`. */
import { DEFAULT_WATCHER_TIMINGS } from '@heatherledge/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import {
  FAILOVER_CAUSES,
  FIXED_TIMEOUT_TIMINGS,
  measureFailoverGap,
} from '../faults/group/failover-gap.js';
import { CADENA_LATENCIES, GEORGIA_LATENCIES } from '../faults/group/group-simulation.js';

const args = await yargs(hideBin(process.argv))
  .option('json', { type: 'boolean', default: true, describe: 'JSON lines' })
  .option('runs', { type: 'number', default: 60, describe: 'runs of each cause' })
  .strict()
  .parse();

const deployments = { cadena: CADENA_LATENCIES, georgia: GEORGIA_LATENCIES };
const timingsByWay = {
  product: DEFAULT_WATCHER_TIMINGS,
  'fixed-timeout-30s': FIXED_TIMEOUT_TIMINGS,
};
/** Maximum gap in writes at a change of primary with the product's timings. */
const MAX_GAP_MS = 8000;
let isWithin = true;
for (const [deployment, latencies] of Object.entries(deployments)) {
  for (const cause of FAILOVER_CAUSES) {
    for (const [way, timings] of Object.entries(timingsByWay)) {
      const runs = way === 'product' ? args.runs : Math.ceil(args.runs / 2);
      const summary = measureFailoverGap(cause, latencies, timings, runs);
      process.stdout.write(`${JSON.stringify({ deployment, cause, way, ...summary })}\n`);
      if (way === 'product') isWithin &&= summary.never === 0 && summary.worstMs <= MAX_GAP_MS;
    }
  }
}
process.exitCode = isWithin ? 0 : 1;
