import { SeededRandom } from '../random.js';
import type { Violation } from './group-history.js';
import { CADENA_LATENCIES, GEORGIA_LATENCIES, GroupSimulation } from './group-simulation.js';
import type { GroupGuard } from './guards.js';
import {
  findInapplicableReason,
  GROUP_FAULTS,
  GROUP_STEPS,
  type FaultInjection,
  FaultInjector,
} from './fault-injector.js';

/** A cell of the group's fault matrix. */
export interface GroupCell {
  readonly id: string;
  readonly seed: number;
  readonly injections: readonly FaultInjection[];
  /** Whether the primary is killed and restarted at fixed times, in addition to the faults. */
  readonly killsPrimary: boolean;
}

/** Result of a cell; printed as JSON under these names. */
export interface CellResult {
  readonly id: string;
  readonly seed: number;
  readonly outcome: 'passed' | 'failed' | 'not-applicable';
  /** Why the cell is not applicable. */
  readonly reason?: string;
  readonly violations: readonly Violation[];
}

const PRIMARY_KILL_AT_MS = 2500;
const PRIMARY_RESTART_AT_MS = 6000;
const FAULTS_START_MS = 1600;
const HEAL_AT_MS = 7500;
const CALLERS_STOP_MS = 15_600;
const END_MS = 22_000;
/** Maximum time to the next acknowledged write after all faults have ended. */
const MAX_PRIMARY_CHANGE_MS = 8000;
const MAX_OCCURRENCE = 6;

/**
 * Lists the cells of the matrix: each fault at each step, alone and together with a second fault.
 *
 * @param singleSeeds - number of seeds for each fault at each step
 * @param pairSeeds - number of seeds for each fault at each step with a second, random fault
 * @returns the cells; the same arguments give the same cells
 */
export function listGroupCells(singleSeeds: number, pairSeeds: number): GroupCell[] {
  const cells: GroupCell[] = [];
  for (const step of GROUP_STEPS) {
    for (const fault of GROUP_FAULTS) {
      for (let seed = 1; seed <= singleSeeds; seed += 1) {
        cells.push(createGroupCell(`group/${fault}/${step}`, seed));
      }
      for (let seed = 1; seed <= pairSeeds; seed += 1) {
        cells.push(createGroupCell(`group/${fault}/${step}/pair`, seed));
      }
    }
  }
  return cells;
}

/**
 * Creates a cell from its id and seed.
 *
 * @param id - `group/FAULT/STEP` or `group/FAULT/STEP/pair`
 * @param seed - seed of the cell's random numbers
 * @returns the cell
 */
export function createGroupCell(id: string, seed: number): GroupCell {
  const [, fault, step, pair] = id.split('/');
  const random = new SeededRandom(seed * 7919 + hashText(id));
  const first = {
    fault: fault as FaultInjection['fault'],
    step: step as FaultInjection['step'],
    occurrence: random.pickInteger(1, MAX_OCCURRENCE),
    notBeforeMs: FAULTS_START_MS,
  };
  const second = {
    fault: random.pick(GROUP_FAULTS),
    step: random.pick(GROUP_STEPS),
    occurrence: random.pickInteger(1, MAX_OCCURRENCE),
    notBeforeMs: FAULTS_START_MS + random.pickInteger(0, 2000),
  };
  const involvesPrimaryChange = ['fence', 'promote', 'follow', 'look-up'].some((prefix) =>
    first.step.startsWith(prefix),
  );
  return {
    id,
    seed,
    injections: pair === 'pair' ? [first, second] : [first],
    killsPrimary: involvesPrimaryChange || random.next() < 0.4,
  };
}

/**
 * Runs a cell.
 *
 * @param cell - the cell
 * @param disabledGuards - guards that are disabled
 * @returns its result
 */
export function runGroupCell(
  cell: GroupCell,
  disabledGuards?: ReadonlySet<GroupGuard>,
): CellResult {
  const { id, seed } = cell;
  const reason = cell.injections.map(findInapplicableReason).find((text) => text !== undefined);
  if (reason !== undefined) return { id, seed, outcome: 'not-applicable', reason, violations: [] };
  const simulation = new GroupSimulation({
    seed: seed + hashText(id),
    latencies: seed % 2 === 0 ? CADENA_LATENCIES : GEORGIA_LATENCIES,
    disabledGuards,
    callersStopAtMs: CALLERS_STOP_MS,
  });
  const injector = new FaultInjector(simulation, cell.injections);
  if (cell.killsPrimary) schedulePrimaryKill(simulation);
  simulation.queue.schedule(HEAL_AT_MS, () => endAllFaults(simulation));
  simulation.queue.runUntil(END_MS);
  if (injector.injectedAtMs.length === 0) {
    const notInjectedReason = 'the step did not occur after the start of the faults';
    return { id, seed, outcome: 'not-applicable', reason: notInjectedReason, violations: [] };
  }
  const violations = [...simulation.findViolations(), ...checkWritesResume(simulation)];
  return { id, seed, outcome: violations.length === 0 ? 'passed' : 'failed', violations };
}

function schedulePrimaryKill(simulation: GroupSimulation): void {
  let killedName: string | undefined;
  simulation.queue.schedule(PRIMARY_KILL_AT_MS, () => {
    killedName = simulation.primary?.name;
    if (killedName !== undefined) simulation.kill(killedName);
  });
  simulation.queue.schedule(PRIMARY_RESTART_AT_MS, () => {
    if (killedName !== undefined) simulation.restart(killedName);
  });
}

function endAllFaults(simulation: GroupSimulation): void {
  simulation.network.heal();
  for (const name of simulation.network.nodeNames) {
    simulation.network.resume(name);
    simulation.restart(name);
  }
}

/** Checks that writes are acknowledged again in time after all faults have ended. */
function checkWritesResume(simulation: GroupSimulation): Violation[] {
  const resumedAtMs = simulation.doneTimes.find((doneAtMs) => doneAtMs > HEAL_AT_MS);
  if (resumedAtMs !== undefined && resumedAtMs - HEAL_AT_MS <= MAX_PRIMARY_CHANGE_MS) return [];
  return [
    { rule: 'writes-resume', detail: `after healing, next write at ${resumedAtMs ?? 'never'}` },
  ];
}

/**
 * Computes a hash of a text, to derive seeds from cell ids.
 *
 * @param text - the text
 * @returns an integer between 0 and 1,000,002
 */
export function hashText(text: string): number {
  let hash = 7;
  for (const char of text) hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  return hash;
}
