#!/usr/bin/env node
/**
 * Replays load patterns against ways of placing statements: `experiment [--pattern NAME]
 * [--instances N] [--groups N] [--json]`.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { LIMIT_FACTORIES, LimitExperiment } from '../placement/limits/limit-experiment.js';
import { LIMIT_PATTERNS } from '../placement/limits/limit-patterns.js';
import { LOAD_PATTERNS } from '../placement/load-patterns.js';
import { PlacementExperiment, type PlacementResult } from '../placement/placement-experiment.js';
import { POLICY_PLANS } from '../placement/policies.js';

const options = yargs(hideBin(process.argv))
  .options({
    pattern: {
      choices: [...LOAD_PATTERNS, ...LIMIT_PATTERNS].map(({ name }) => name),
      describe: 'one pattern (default: all)',
    },
    instances: { type: 'number', default: 195, describe: 'instances of the fleet' },
    groups: { type: 'number', default: 14, describe: 'groups of three members' },
    organisations: { type: 'number', default: 140, describe: 'organisations' },
    perSecond: { type: 'number', default: 2000, describe: 'usual arrivals of the fleet a second' },
    seconds: { type: 'number', default: 12, describe: 'duration of a pattern' },
    seed: { type: 'number', default: 1, describe: 'seed of the random numbers' },
    json: { type: 'boolean', default: false, describe: 'print one JSON line for each result' },
  })
  .strict()
  .parseSync();

const COLUMNS = ['in objective', 'worst org.', 'refused', 'p50 ms', 'p99 ms', 'connections'];
const NAME_WIDTH = 20;
const COLUMN_WIDTH = 13;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatResult(result: PlacementResult): string[] {
  const { inObjective, worstOrganisation, refused, medianMs, p99Ms, handshakes } = result;
  const shares = [inObjective, worstOrganisation, refused].map((share) => share.toFixed(3));
  return [...shares, medianMs.toFixed(0), p99Ms.toFixed(0), handshakes.toFixed(3)];
}

function formatRow(name: string, cells: readonly string[]): string {
  return name.padEnd(NAME_WIDTH) + cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('');
}

for (const pattern of LOAD_PATTERNS) {
  if (options.pattern !== undefined && options.pattern !== pattern.name) continue;
  if (!options.json) printLine(`\n${formatRow(pattern.name, COLUMNS)}  ${pattern.describe}`);
  for (const plan of POLICY_PLANS) {
    const result = new PlacementExperiment(pattern, plan, options, options.seed).run();
    if (options.json) {
      printLine(JSON.stringify({ pattern: pattern.name, policy: plan.name, ...result }));
    } else printLine(formatRow(plan.name, formatResult(result)));
  }
}

const LIMIT_COLUMNS = ['in objective', 'worst org.', 'to full ms', 'not borne'];

for (const pattern of LIMIT_PATTERNS) {
  if (options.pattern !== undefined && options.pattern !== pattern.name) continue;
  if (!options.json) printLine(`\n${formatRow(pattern.name, LIMIT_COLUMNS)}  ${pattern.describe}`);
  for (const [name, createLimit] of LIMIT_FACTORIES) {
    const result = new LimitExperiment(pattern, createLimit, options.seed).run();
    const { inObjective, worstOrganisation, toFullMs, notBorne } = result;
    const shares = [inObjective, worstOrganisation].map((share) => share.toFixed(4));
    if (options.json) {
      printLine(JSON.stringify({ pattern: pattern.name, limit: name, ...result }));
    } else printLine(formatRow(name, [...shares, toFullMs.toFixed(0), notBorne.toFixed(0)]));
  }
}
