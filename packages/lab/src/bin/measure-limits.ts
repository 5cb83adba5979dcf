#!/usr/bin/env node
/** Measures rate limits over a fleet and prints JSON lines: `measure-limits [--json] [--seed N]`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { CADENA_LATENCIES } from '../faults/group/group-simulation.js';
import { runLimitsExperiment, STRATEGY_NAMES } from '../shares/limits-experiment.js';
import { LOAD_SHAPES } from '../shares/load-shapes.js';

const args = await yargs(hideBin(process.argv))
  .option('json', { type: 'boolean', default: false, describe: 'JSON lines' })
  .option('seed', { type: 'number', default: 1, describe: 'seed of the arrivals' })
  .option('seconds', { type: 'number', default: 16, describe: 'length of each experiment' })
  .option('large', { type: 'boolean', default: true, describe: 'also 200 organisations on 100' })
  .strict()
  .parse();

const sizes = [
  { instances: 9, organisations: 8 },
  ...(args.large ? [{ instances: 100, organisations: 200 }] : []),
];
/** Admissions above a rate and burst with the product's strategy; must be 0. */
let totalAbove = 0;
for (const size of sizes) {
  for (const shape of LOAD_SHAPES) {
    for (const strategy of STRATEGY_NAMES) {
      const result = runLimitsExperiment({
        ...size,
        seed: args.seed,
        shape,
        strategy,
        latencies: CADENA_LATENCIES,
        durationMs: args.seconds * 1000,
      });
      if (strategy === 'loans') totalAbove += result.above;
      process.stdout.write(`${JSON.stringify(result)}\n`);
    }
  }
}
process.exitCode = totalAbove === 0 ? 0 : 1;
