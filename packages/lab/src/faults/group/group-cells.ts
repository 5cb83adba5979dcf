/** Cells of the group's matrix: every fault at every step, and pairs of them. */
import { SeededRandom } from '../random.js';
import type { Violation } from './group-history.js';
import { CADENA_LATENCIES, GEORGIA_LATENCIES, GroupWorld } from './group-world.js';
import type { GroupGuard } from './guards.js';
import { explainInapplicable, GROUP_FAULTS, GROUP_STEPS, type Strike, Striker } from './strike.js';

/** One cell: faults, a seed, and whether the primary is killed besides. */
export interface GroupCell {
  readonly id: string;
  readonly seed: number;
  readonly strikes: readonly Strike[];
  readonly killsPrimary: boolean;
}

/** What a cell came to. */
export interface CellResult {
  readonly id: string;
  readonly seed: number;
  readonly outcome: 'passed' | 'failed' | 'not-applicable';
  readonly reason?: string;
  readonly violations: readonly Violation[];
}

const KILL_AT_MS = 2500;
const RESTART_AT_MS = 6000;
const STRIKE_FROM_MS = 1600;
const HEAL_AT_MS = 7500;
const CLIENTS_STOP_MS = 15_600;
const END_MS = 22_000;
/** Every change of primary is to be over within this time. */
const CHANGE_LIMIT_MS = 8000;
const LATEST_OCCURRENCE = 6;

/**
 * Lists the cells.
 *
 * @param singleSeeds - cells for each fault at each step
 * @param pairSeeds - cells for each fault at each step with a second, random one
 * @returns the cells; the same arguments give the same ones
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
 * Makes a cell from its name and seed.
 *
 * @param id - `group/FAULT/STEP` or `group/FAULT/STEP/pair`
 * @param seed - seed of everything random in it
 * @returns the cell
 */
export function createGroupCell(id: string, seed: number): GroupCell {
  const [, fault, step, pair] = id.split('/');
  const random = new SeededRandom(seed * 7919 + hashText(id));
  const first = {
    fault: fault as Strike['fault'],
    step: step as Strike['step'],
    occurrence: random.pickInteger(1, LATEST_OCCURRENCE),
    notBeforeMs: STRIKE_FROM_MS,
  };
  const second = {
    fault: random.pick(GROUP_FAULTS),
    step: random.pick(GROUP_STEPS),
    occurrence: random.pickInteger(1, LATEST_OCCURRENCE),
    notBeforeMs: STRIKE_FROM_MS + random.pickInteger(0, 2000),
  };
  const needsChange = ['fence', 'promote', 'follow', 'look-up'].some((word) =>
    first.step.startsWith(word),
  );
  return {
    id,
    seed,
    strikes: pair === 'pair' ? [first, second] : [first],
    killsPrimary: needsChange || random.next() < 0.4,
  };
}

/**
 * Runs a cell.
 *
 * @param cell - the cell
 * @param without - guards that are taken out
 * @returns what it came to
 */
export function runGroupCell(cell: GroupCell, without?: ReadonlySet<GroupGuard>): CellResult {
  const { id, seed } = cell;
  const reason = cell.strikes.map(explainInapplicable).find((text) => text !== undefined);
  if (reason !== undefined) return { id, seed, outcome: 'not-applicable', reason, violations: [] };
  const world = new GroupWorld({
    seed: seed + hashText(id),
    latencies: seed % 2 === 0 ? CADENA_LATENCIES : GEORGIA_LATENCIES,
    without,
    clientsStopAt: CLIENTS_STOP_MS,
  });
  const striker = new Striker(world, cell.strikes);
  if (cell.killsPrimary) scheduleKill(world);
  world.queue.schedule(HEAL_AT_MS, () => healAll(world));
  world.queue.runUntil(END_MS);
  if (striker.struckAt.length === 0) {
    const never = 'the step did not occur after the start of the faults';
    return { id, seed, outcome: 'not-applicable', reason: never, violations: [] };
  }
  const violations = [...world.judge(), ...checkProgress(world)];
  return { id, seed, outcome: violations.length === 0 ? 'passed' : 'failed', violations };
}

function scheduleKill(world: GroupWorld): void {
  let killed: string | undefined;
  world.queue.schedule(KILL_AT_MS, () => {
    killed = world.primary?.name;
    if (killed !== undefined) world.kill(killed);
  });
  world.queue.schedule(RESTART_AT_MS, () => {
    if (killed !== undefined) world.restart(killed);
  });
}

function healAll(world: GroupWorld): void {
  world.network.heal();
  for (const name of world.network.names) {
    world.network.resume(name);
    world.restart(name);
  }
}

/** Once everything is whole again, writes go on within the limit for a change of primary. */
function checkProgress(world: GroupWorld): Violation[] {
  const next = world.doneMoments.find((moment) => moment > HEAL_AT_MS);
  if (next !== undefined && next - HEAL_AT_MS <= CHANGE_LIMIT_MS) return [];
  return [{ rule: 'writes-resume', detail: `after healing, next write at ${next ?? 'never'}` }];
}

/**
 * @param text - any text
 * @returns a small number that depends on all of it
 */
export function hashText(text: string): number {
  let hash = 7;
  for (const char of text) hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  return hash;
}
