/**
 * The second layer of the fault matrix: real processes, signals and faults, one cell after another on
 * one fleet under roaming callers: `faults-processes [CELL ...]` prints one JSON line.
 */
import { join } from 'node:path';
import type { RoamingWorkload } from '@heatherledge/lab';
import { FleetLoad } from './fleet/fleet-load.js';
import { callAdmin, LocalFleet, setMemberFaults, setPlatformFaults } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';
import type { FleetProcess } from './fleet/fleet-process.js';

/** A fault, and what ends it. */
interface ProcessCell {
  readonly id: string;
  strike(): Promise<void>;
  heal(): Promise<void>;
}

/** What a cell came to. */
interface ProcessResult {
  readonly id: string;
  /** Longest time without a confirmed write while the fault lasted, in milliseconds. */
  readonly gapMs: number;
  readonly isWithin: boolean;
}

const GROUP = 'subscriptions-1';
const FAULT_MS = 4500;
const REST_MS = 3500;
const GAP_LIMIT_MS = 8000;

const fleet = new LocalFleet(join('results', 'faults-processes'));

async function nothing(): Promise<void> {}

/** A cell that strikes the process that is chosen when it begins. */
function createSignalCell(
  id: string,
  choose: () => Promise<FleetProcess | undefined>,
  kind: 'kill' | 'freeze',
): ProcessCell {
  let struck: FleetProcess | undefined;
  return {
    id,
    strike: async () => {
      struck = await choose();
      if (kind === 'kill') await struck?.kill();
      else struck?.signal('SIGSTOP');
    },
    heal: async () => {
      if (kind === 'kill') await struck?.start();
      else struck?.signal('SIGCONT');
    },
  };
}

function createPair(first: ProcessCell, second: ProcessCell): ProcessCell {
  return {
    id: `${first.id}+${second.id}`,
    strike: async () => {
      await first.strike();
      await second.strike();
    },
    heal: async () => {
      await first.heal();
      await second.heal();
    },
  };
}

const choosePrimary = async (): Promise<FleetProcess | undefined> =>
  (await fleet.findPrimary(GROUP))?.process;
const chooseReplica = async (): Promise<FleetProcess | undefined> => {
  const primary = await fleet.findPrimary(GROUP);
  return fleet.members.find(({ group, id }) => group === GROUP && id !== primary?.id)?.process;
};
const chooseInstance = (number: number) => async (): Promise<FleetProcess | undefined> =>
  fleet.instances[number]?.process;

async function setPrimaryFaults(faults: object): Promise<void> {
  const primary = await fleet.findPrimary(GROUP);
  if (primary !== undefined) await setMemberFaults(primary, faults);
}

async function setAllFaults(faults: object): Promise<void> {
  const members = fleet.members.filter(({ group }) => group === GROUP);
  await Promise.all(members.map(async (member) => setMemberFaults(member, faults)));
}

function createPlatformCell(id: string, faults: object): ProcessCell {
  return {
    id,
    strike: async () => setPlatformFaults(faults),
    heal: async () => setPlatformFaults({ down: false, slowMs: 0, loseAnswers: false }),
  };
}

function createCells(): ProcessCell[] {
  const killPrimary = createSignalCell('kill-primary', choosePrimary, 'kill');
  const platformDown = createPlatformCell('platform-down', { down: true });
  const isolation: ProcessCell = {
    id: 'isolate-primary',
    strike: async () => setPrimaryFaults({ isolated: true }),
    heal: async () => setAllFaults({ isolated: false }),
  };
  return [
    killPrimary,
    createSignalCell('freeze-primary', choosePrimary, 'freeze'),
    isolation,
    createSignalCell('kill-replica', chooseReplica, 'kill'),
    createSignalCell('freeze-replica', chooseReplica, 'freeze'),
    {
      id: 'lag-replicas',
      strike: async () => setAllFaults({ applyLagMs: 1500 }),
      heal: async () => setAllFaults({ applyLagMs: 0 }),
    },
    {
      id: 'silent-connections',
      strike: async () => setAllFaults({ silence: true }),
      heal: nothing,
    },
    createSignalCell('kill-instance', chooseInstance(3), 'kill'),
    createSignalCell('freeze-instance', chooseInstance(4), 'freeze'),
    platformDown,
    createPlatformCell('platform-slow', { slowMs: 700 }),
    createPlatformCell('platform-loses-answers', { loseAnswers: true }),
    createPair(platformDown, killPrimary),
    createPair(createSignalCell('freeze-instance', chooseInstance(5), 'freeze'), killPrimary),
    createPair(isolation, createSignalCell('kill-instance', chooseInstance(6), 'kill')),
  ];
}

async function runCell(cell: ProcessCell, workload: RoamingWorkload): Promise<ProcessResult> {
  const started = performance.now();
  await cell.strike();
  await sleep(FAULT_MS);
  await cell.heal();
  await sleep(REST_MS);
  const moments = workload.confirmed.map(({ at }) => at).filter((at) => at >= started);
  const all = [started, ...moments, performance.now()];
  const gapMs = Math.max(...all.slice(1).map((at, index) => at - (all[index] ?? at)));
  return { id: cell.id, gapMs: Math.round(gapMs), isWithin: gapMs <= GAP_LIMIT_MS };
}

async function run(): Promise<{ report: object; isGood: boolean }> {
  const load = await FleetLoad.start(fleet);
  const { workload } = load;
  const results: ProcessResult[] = [];
  const wanted = process.argv.slice(2).filter((word) => !word.startsWith('-'));
  const cells = createCells().filter(({ id }) => wanted.length === 0 || wanted.includes(id));
  for (const cell of cells) results.push(await runCell(cell, workload));
  await load.finish();
  const last = fleet.instances[0];
  const state = last && ((await callAdmin(last, '/v1/status')) as { revision: number });
  const { lost, doubled, stale, falseRefusals } = workload.counts;
  const isGood = lost + doubled + stale + falseRefusals === 0 && results.every((r) => r.isWithin);
  const report = {
    cells: results.length,
    passed: results.filter(({ isWithin }) => isWithin).length,
    failed: results.filter(({ isWithin }) => !isWithin).length,
    ...workload.counts,
    revision: state?.revision,
    results,
    refusals: Object.fromEntries(workload.refusals),
  };
  return { report, isGood };
}

let isGood = false;
try {
  const outcome = await run();
  ({ isGood } = outcome);
  process.stdout.write(`${JSON.stringify(outcome.report)}\n`);
} finally {
  await fleet.end();
}
process.exit(isGood ? 0 : 1);
