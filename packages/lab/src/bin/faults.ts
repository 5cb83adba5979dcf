#!/usr/bin/env node
/** The fault matrix: `faults [--json] [--cell ID --seed N] [--mutations]`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createGroupCell, listGroupCells, runGroupCell } from '../faults/group/group-cells.js';
import { GROUP_GUARDS } from '../faults/group/guards.js';

const args = await yargs(hideBin(process.argv))
  .option('json', { type: 'boolean', default: false, describe: 'one JSON line' })
  .option('cell', { type: 'string', describe: 'run one cell' })
  .option('seed', { type: 'number', default: 1, describe: 'seed of the one cell' })
  .option('singles', { type: 'number', default: 4, describe: 'seeds for each fault at each step' })
  .option('pairs', { type: 'number', default: 6, describe: 'seeds for each pair' })
  .option('mutations', { type: 'boolean', default: false, describe: 'take out each guard' })
  .strict()
  .parse();

const started = performance.now();
if (args.cell !== undefined) {
  const result = runGroupCell(createGroupCell(args.cell, args.seed));
  process.stdout.write(`${JSON.stringify(result)}\n`);
  process.exitCode = result.outcome === 'failed' ? 1 : 0;
} else if (args.mutations) {
  const cells = listGroupCells(1, 1);
  for (const guard of GROUP_GUARDS) {
    const failed = cells.filter(
      (cell) => runGroupCell(cell, new Set([guard])).outcome === 'failed',
    );
    process.stdout.write(`${JSON.stringify({ guard, red: failed.length, cells: cells.length })}\n`);
    if (failed.length === 0) process.exitCode = 1;
  }
} else {
  const results = listGroupCells(args.singles, args.pairs).map((cell) => runGroupCell(cell));
  const failed = results.filter(({ outcome }) => outcome === 'failed');
  const counts = {
    cells: results.length,
    passed: results.filter(({ outcome }) => outcome === 'passed').length,
    failed: failed.length,
    notApplicable: results.filter(({ outcome }) => outcome === 'not-applicable').length,
    seconds: Math.round((performance.now() - started) / 100) / 10,
  };
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  if (!args.json || failed.length > 0) {
    for (const result of failed.slice(0, 10)) process.stderr.write(`${JSON.stringify(result)}\n`);
  }
  process.exitCode = failed.length > 0 ? 1 : 0;
}
