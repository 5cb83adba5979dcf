#!/usr/bin/env node
/** The fault matrix: `faults [--json] [--cell ID --seed N] [--mutations [--guard NAME]]`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import {
  type CellResult,
  createGroupCell,
  listGroupCells,
  runGroupCell,
} from '../faults/group/group-cells.js';
import { GROUP_GUARDS } from '../faults/group/guards.js';
import { listSettingsCells, runSettingsCell } from '../faults/settings/settings-cells.js';
import { SETTINGS_GUARDS } from '../faults/settings/settings-world.js';
import { listShareCells, runShareCell, SHARE_GUARDS } from '../faults/shares/shares-cells.js';

/** A guard and the cells that show whether it is needed. */
interface Mutation {
  readonly guard: string;
  readonly run: () => Promise<CellResult[]>;
}

/** Failed cells that are printed. */
const PRINTED_FAILURES = 10;

function print(report: object): void {
  process.stdout.write(`${JSON.stringify(report)}\n`);
}

async function runOne(id: string, seed: number): Promise<CellResult> {
  if (id.startsWith('settings/')) return runSettingsCell({ id, seed });
  if (id.startsWith('shares/')) return runShareCell({ id, seed });
  return runGroupCell(createGroupCell(id, seed));
}

function listMutations(seeds: number): Mutation[] {
  const groupCells = listGroupCells(seeds, seeds);
  const shareCells = listShareCells(seeds);
  const settingsCells = listSettingsCells(seeds);
  return [
    ...GROUP_GUARDS.map((guard) => ({
      guard,
      run: async () => groupCells.map((cell) => runGroupCell(cell, new Set([guard]))),
    })),
    ...SHARE_GUARDS.map((guard) => ({
      guard,
      run: async () => shareCells.map((cell) => runShareCell(cell, new Set([guard]))),
    })),
    ...SETTINGS_GUARDS.map((guard) => ({
      guard,
      run: async () =>
        Promise.all(settingsCells.map(async (cell) => runSettingsCell(cell, new Set([guard])))),
    })),
  ];
}

/** @returns whether taking out each guard turned at least one cell red */
async function runMutations(guard: string | undefined, seeds: number): Promise<boolean> {
  const chosen = listMutations(seeds).filter((item) => guard === undefined || item.guard === guard);
  let areAllNeeded = true;
  for (const mutation of chosen) {
    const results = await mutation.run();
    const red = results.filter(({ outcome }) => outcome === 'failed');
    const [first] = red;
    const example = first && { id: first.id, seed: first.seed, rule: first.violations[0]?.rule };
    print({ guard: mutation.guard, red: red.length, cells: results.length, example });
    areAllNeeded &&= red.length > 0;
  }
  return areAllNeeded;
}

function countReasons(results: readonly CellResult[]): Record<string, number> {
  const reasons: Record<string, number> = {};
  for (const { reason } of results) if (reason) reasons[reason] = (reasons[reason] ?? 0) + 1;
  return reasons;
}

/** @returns whether every cell kept every promise */
async function runMatrix(singles: number, pairs: number, shares: number): Promise<boolean> {
  const started = performance.now();
  const results = [
    ...listGroupCells(singles, pairs).map((cell) => runGroupCell(cell)),
    ...listShareCells(shares).map((cell) => runShareCell(cell)),
    ...(await Promise.all(listSettingsCells(shares).map(async (cell) => runSettingsCell(cell)))),
  ];
  const failed = results.filter(({ outcome }) => outcome === 'failed');
  for (const result of failed.slice(0, PRINTED_FAILURES)) {
    process.stderr.write(`${JSON.stringify(result)}\n`);
  }
  print({
    cells: results.length,
    passed: results.filter(({ outcome }) => outcome === 'passed').length,
    failed: failed.length,
    notApplicable: countReasons(results),
    seconds: Math.round((performance.now() - started) / 100) / 10,
  });
  return failed.length === 0;
}

const args = await yargs(hideBin(process.argv))
  .option('json', { type: 'boolean', default: true, describe: 'one JSON line' })
  .option('cell', { type: 'string', describe: 'run one cell' })
  .option('seed', { type: 'number', default: 1, describe: 'seed of the one cell' })
  .option('singles', { type: 'number', default: 3, describe: 'seeds for each fault at each step' })
  .option('pairs', { type: 'number', default: 3, describe: 'seeds for each pair' })
  .option('shares', {
    type: 'number',
    default: 2,
    describe: 'seeds for each cell of shares and settings',
  })
  .option('mutations', { type: 'boolean', default: false, describe: 'take out each guard' })
  .option('guard', { type: 'string', describe: 'take out this guard only' })
  .strict()
  .parse();

let isGood: boolean;
if (args.cell !== undefined) {
  const result = await runOne(args.cell, args.seed);
  print(result);
  isGood = result.outcome !== 'failed';
} else if (args.mutations) {
  isGood = await runMutations(args.guard, args.singles);
} else {
  isGood = await runMatrix(args.singles, args.pairs, args.shares);
}
process.exitCode = isGood ? 0 : 1;
