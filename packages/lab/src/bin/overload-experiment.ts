#!/usr/bin/env node
/**
 * Replays the load patterns of overload against ways of queueing statements at members:
 * `overload-experiment [--pattern NAME] [--deployment NAME] [--seed N] [--json]`.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { OverloadExperiment } from '../placement/overload/overload-experiment.js';
import { DEPLOYMENTS, OVERLOAD_PATTERNS } from '../placement/overload/overload-patterns.js';
import { OVERLOAD_PLANS } from '../placement/overload/overload-plans.js';
import { ProductScheduler } from '../placement/overload/schedulers.js';

const options = yargs(hideBin(process.argv))
  .options({
    pattern: {
      choices: OVERLOAD_PATTERNS.map(({ name }) => name),
      describe: 'one pattern (default: all)',
    },
    deployment: {
      choices: DEPLOYMENTS.map(({ name }) => name),
      describe: 'one deployment (default: both)',
    },
    policy: {
      choices: OVERLOAD_PLANS.map(({ name }) => name),
      describe: 'one way of queueing (default: all)',
    },
    limits: {
      type: 'boolean',
      default: false,
      describe: 'compare wait limits of the product instead of the queues',
    },
    seed: { type: 'number', default: 1, describe: 'seed of the random numbers' },
    json: { type: 'boolean', default: false, describe: 'print one JSON line for each result' },
  })
  .strict()
  .parseSync();

const NAME_WIDTH = 22;
const COLUMN_WIDTH = 12;

/** Accepted wait as a ratio of the objective, and the multiple of it that the gate waits. */
const LIMITS = [
  [0.5, 1.5],
  [0.7, 1.2],
  [0.7, 1.43],
  [0.7, 1.5],
  [0.85, 1.2],
  [1, 1.05],
] as const;

const limitPlans = LIMITS.map(([patienceRatio, maxWaitFactor]) => ({
  name: `${patienceRatio} x ${maxWaitFactor}`,
  create: (...[slots, events]: ConstructorParameters<typeof ProductScheduler>) =>
    new ProductScheduler(slots, events, { patienceRatio, maxWaitFactor }),
  limitsTransactions: true,
}));

function printRow(name: string, cells: readonly string[]): void {
  const row = name.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
  process.stdout.write(`${row}\n`);
}

for (const deployment of DEPLOYMENTS) {
  if (options.deployment !== undefined && options.deployment !== deployment.name) continue;
  for (const pattern of OVERLOAD_PATTERNS) {
    if (options.pattern !== undefined && options.pattern !== pattern.name) continue;
    const classes = deployment.classes.map(({ name }) => name);
    if (!options.json) {
      process.stdout.write(`\n${deployment.name}: ${pattern.describe}\n`);
      printRow(pattern.name, [...classes, 'worst class', 'worst org.', 'late', 'busy']);
    }
    for (const plan of options.limits ? limitPlans : OVERLOAD_PLANS) {
      if (options.policy !== undefined && options.policy !== plan.name) continue;
      const result = new OverloadExperiment(deployment, pattern, plan, options.seed).run();
      const { byClass, worstClass, worstOrganisation, late, busyRefusals } = result;
      if (options.json) {
        const names = { deployment: deployment.name, pattern: pattern.name, policy: plan.name };
        process.stdout.write(`${JSON.stringify({ ...names, ...result })}\n`);
      } else {
        const shares = [...byClass, worstClass, worstOrganisation, late];
        printRow(plan.name, [...shares.map((share) => share.toFixed(3)), String(busyRefusals)]);
      }
    }
  }
}
