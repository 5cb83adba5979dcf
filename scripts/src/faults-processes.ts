/**
 * Runs the process-level cells of the fault matrix, one after another, on a local fleet of separate
 * processes under roaming callers. `faults-processes [CELL ...]` prints one JSON line.
 */
import { join } from 'node:path';
import type { RoamingWorkload } from '@heatherledge/lab';
import { FleetLoad } from './fleet/fleet-load.js';
import { callAdmin, LocalFleet, setMemberFaults, setPlatformFaults } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';
import type { FleetProcess } from './fleet/fleet-process.js';

/** A cell of the fault matrix: how its fault is injected and cleared. */
interface ProcessCell {
  readonly id: string;
  inject(): Promise<void>;
  clear(): Promise<void>;
}

/** Result of a cell; printed under these field names. */
interface ProcessResult {
  readonly id: string;
  /** Longest time without a confirmed write during the fault and the recovery, in milliseconds. */
  readonly gapMs: number;
  /** Whether the gap is at most {@link MAX_WRITE_GAP_MS}. */
  readonly isWithin: boolean;
}

const GROUP = 'subscriptions-1';
const FAULT_DURATION_MS = 4500;
const RECOVERY_DELAY_MS = 3500;
const MAX_WRITE_GAP_MS = 8000;

const fleet = new LocalFleet(join('results', 'faults-processes'));

/** Clears nothing: a member silences only the connections that are open at the injection. */
async function clearNothing(): Promise<void> {}

/**
 * Creates a cell that kills or freezes one process.
 *
 * @param id - id of the cell
 * @param findTarget - finds the process at the time of the injection
 * @param kind - `kill` sends SIGKILL and clears by a restart; `freeze` sends SIGSTOP and clears by
 * SIGCONT
 */
function createSignalCell(
  id: string,
  findTarget: () => Promise<FleetProcess | undefined>,
  kind: 'kill' | 'freeze',
): ProcessCell {
  let target: FleetProcess | undefined;
  return {
    id,
    inject: async () => {
      target = await findTarget();
      if (kind === 'kill') await target?.kill();
      else target?.sendSignal('SIGSTOP');
    },
    clear: async () => {
      if (kind === 'kill') await target?.start();
      else target?.sendSignal('SIGCONT');
    },
  };
}

/** Creates a cell that injects and clears the faults of two cells in order. */
function createCombinedCell(first: ProcessCell, second: ProcessCell): ProcessCell {
  return {
    id: `${first.id}+${second.id}`,
    inject: async () => {
      await first.inject();
      await second.inject();
    },
    clear: async () => {
      await first.clear();
      await second.clear();
    },
  };
}

const findPrimaryProcess = async (): Promise<FleetProcess | undefined> =>
  (await fleet.findPrimary(GROUP))?.process;
const findReplicaProcess = async (): Promise<FleetProcess | undefined> => {
  const primary = await fleet.findPrimary(GROUP);
  return fleet.members.find(({ group, id }) => group === GROUP && id !== primary?.id)?.process;
};
const getInstanceProcess = (index: number) => async (): Promise<FleetProcess | undefined> =>
  fleet.instances[index]?.process;

async function setPrimaryFaults(faults: object): Promise<void> {
  const primary = await fleet.findPrimary(GROUP);
  if (primary !== undefined) await setMemberFaults(primary, faults);
}

async function setGroupFaults(faults: object): Promise<void> {
  const members = fleet.members.filter(({ group }) => group === GROUP);
  await Promise.all(members.map(async (member) => setMemberFaults(member, faults)));
}

function createPlatformCell(id: string, faults: object): ProcessCell {
  return {
    id,
    inject: async () => setPlatformFaults(faults),
    clear: async () => setPlatformFaults({ down: false, slowMs: 0, loseAnswers: false }),
  };
}

function createCells(): ProcessCell[] {
  const killPrimary = createSignalCell('kill-primary', findPrimaryProcess, 'kill');
  const platformDown = createPlatformCell('platform-down', { down: true });
  const isolatePrimary: ProcessCell = {
    id: 'isolate-primary',
    inject: async () => setPrimaryFaults({ isolated: true }),
    // The isolated member may no longer be the primary, so the fault is cleared on every member.
    clear: async () => setGroupFaults({ isolated: false }),
  };
  return [
    killPrimary,
    createSignalCell('freeze-primary', findPrimaryProcess, 'freeze'),
    isolatePrimary,
    createSignalCell('kill-replica', findReplicaProcess, 'kill'),
    createSignalCell('freeze-replica', findReplicaProcess, 'freeze'),
    {
      id: 'lag-replicas',
      inject: async () => setGroupFaults({ applyLagMs: 1500 }),
      clear: async () => setGroupFaults({ applyLagMs: 0 }),
    },
    {
      id: 'silent-connections',
      inject: async () => setGroupFaults({ silence: true }),
      clear: clearNothing,
    },
    createSignalCell('kill-instance', getInstanceProcess(3), 'kill'),
    createSignalCell('freeze-instance', getInstanceProcess(4), 'freeze'),
    platformDown,
    createPlatformCell('platform-slow', { slowMs: 700 }),
    createPlatformCell('platform-loses-answers', { loseAnswers: true }),
    createCombinedCell(platformDown, killPrimary),
    createCombinedCell(
      createSignalCell('freeze-instance', getInstanceProcess(5), 'freeze'),
      killPrimary,
    ),
    createCombinedCell(
      isolatePrimary,
      createSignalCell('kill-instance', getInstanceProcess(6), 'kill'),
    ),
  ];
}

async function runCell(cell: ProcessCell, workload: RoamingWorkload): Promise<ProcessResult> {
  const started = performance.now();
  await cell.inject();
  await sleep(FAULT_DURATION_MS);
  await cell.clear();
  await sleep(RECOVERY_DELAY_MS);
  const confirmedTimes = workload.confirmedWrites.map(({ at }) => at).filter((at) => at >= started);
  const times = [started, ...confirmedTimes, performance.now()];
  const gapMs = Math.max(...times.slice(1).map((at, index) => at - (times[index] ?? at)));
  return { id: cell.id, gapMs: Math.round(gapMs), isWithin: gapMs <= MAX_WRITE_GAP_MS };
}

async function run(): Promise<{ report: object; hasPassed: boolean }> {
  const load = await FleetLoad.start(fleet);
  const { workload } = load;
  const results: ProcessResult[] = [];
  const requestedIds = process.argv.slice(2).filter((argument) => !argument.startsWith('-'));
  const cells = createCells().filter(
    ({ id }) => requestedIds.length === 0 || requestedIds.includes(id),
  );
  for (const cell of cells) results.push(await runCell(cell, workload));
  await load.stop();
  const instance = fleet.instances[0];
  const status = instance && ((await callAdmin(instance, '/v1/status')) as { revision: number });
  const { lost, doubled, stale, falseRefusals } = workload.counts;
  const hasPassed =
    lost + doubled + stale + falseRefusals === 0 && results.every((result) => result.isWithin);
  const report = {
    cells: results.length,
    passed: results.filter(({ isWithin }) => isWithin).length,
    failed: results.filter(({ isWithin }) => !isWithin).length,
    ...workload.counts,
    revision: status?.revision,
    results,
    refusals: Object.fromEntries(workload.refusals),
  };
  return { report, hasPassed };
}

let hasPassed = false;
try {
  const runResult = await run();
  ({ hasPassed } = runResult);
  process.stdout.write(`${JSON.stringify(runResult.report)}\n`);
} finally {
  await fleet.killAll();
}
process.exit(hasPassed ? 0 : 1);
