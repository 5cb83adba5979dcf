/** Cells of the settings' matrix: accepted changes are kept, never revert, and withdrawals bite. */
import type { ChangeOutcome } from '@heatherledge/daemon';
import type { NodeName } from '../fake-network.js';
import { type CellResult, hashText } from '../group/group-cells.js';
import type { Violation } from '../group/group-history.js';
import { SeededRandom } from '../random.js';
import { runWithPromises } from './promise-clock.js';
import { KEY_PATH, PLATFORM_NODE, type SettingsGuard, SettingsWorld } from './settings-world.js';

/** Steps of the settings' protocols. */
export const SETTINGS_STEPS = [
  'store-read',
  'store-read-answer',
  'store-write',
  'store-write-answer',
  'pull',
  'pull-answer',
] as const;

/** Kinds of faults. */
export const SETTINGS_FAULTS = [
  'kill-sender',
  'freeze-sender',
  'freeze-receiver',
  'isolate-sender-domain',
  'isolate-receiver-domain',
  'cut-one-way',
  'lose-message',
  'late-message',
  'platform-down',
  'platform-slow',
  'platform-loses-answers',
  'platform-cut-from-domain',
] as const;

/** One cell. */
export interface SettingsCell {
  readonly id: string;
  readonly seed: number;
}

const STEP_MS = 10;
const STRIKE_FROM_MS = 2500;
const FIRST_CHANGE_MS = 3000;
const WITHDRAW_MS = 3600;
const FAULT_MS = 12_000;
const END_MS = 26_000;
const LATE_MS = 3000;
const SLOW_MS = 2000;
const LATEST_OCCURRENCE = 8;
/** A withdrawn key stops everywhere within this time of its acceptance. */
const WITHDRAWAL_LIMIT_MS = 5000;
/** An accepted change is in force at all instances within this time after everything is whole. */
const IN_FORCE_LIMIT_MS = 5000;
const CLOCK_TOLERANCE_MS = 50;
const CHANGED_PATH = 'teams/t/organisations/o';

/**
 * @param seeds - cells for each fault at each step
 * @returns the cells
 */
export function listSettingsCells(seeds: number): SettingsCell[] {
  const cells: SettingsCell[] = [];
  for (const step of SETTINGS_STEPS) {
    for (const fault of SETTINGS_FAULTS) {
      for (let seed = 1; seed <= seeds; seed += 1) {
        cells.push({ id: `settings/${fault}/${step}`, seed });
      }
    }
  }
  return cells;
}

/**
 * @param cell - the cell
 * @param without - guards that are taken out
 * @returns what it came to
 */
export async function runSettingsCell(
  cell: SettingsCell,
  without?: ReadonlySet<SettingsGuard>,
): Promise<CellResult> {
  return new SettingsRun(cell, without ?? new Set()).run();
}

interface ToldChange {
  readonly changeId: string;
  readonly burst: number;
  outcome?: ChangeOutcome['kind'];
  /** Revision that the operator was told. */
  revision?: number;
}

class SettingsRun {
  private readonly world: SettingsWorld;

  private readonly random: SeededRandom;

  private readonly changes: ToldChange[] = [];

  private readonly violations: Violation[] = [];

  private occurrences = 0;

  private readonly occurrence: number;

  private hasStruck = false;

  private withdrawnAt: number | undefined;

  constructor(
    private readonly cell: SettingsCell,
    without: ReadonlySet<SettingsGuard>,
  ) {
    this.random = new SeededRandom(cell.seed * 15_485 + hashText(cell.id));
    this.world = new SettingsWorld(cell.seed + hashText(cell.id), without);
    this.occurrence = this.random.pickInteger(1, LATEST_OCCURRENCE);
    this.world.network.observer = (step, from, to) => this.observe(step, from, to);
  }

  async run(): Promise<CellResult> {
    const { id, seed } = this.cell;
    const { queue } = this.world;
    queue.schedule(FIRST_CHANGE_MS, () => this.changeTwiceAtOnce());
    queue.schedule(WITHDRAW_MS, () => this.withdraw());
    this.watchKey();
    await runWithPromises(queue, END_MS, STEP_MS);
    if (!this.hasStruck) {
      const reason = 'the step did not occur after the start of the faults';
      return { id, seed, outcome: 'not-applicable', reason, violations: [] };
    }
    this.judge();
    const outcome = this.violations.length === 0 ? 'passed' : 'failed';
    return { id, seed, outcome, violations: this.violations };
  }

  /** Two operators change the same path through two writers at the same moment. */
  private changeTwiceAtOnce(): void {
    [0, 1].forEach((writer) => {
      const burst = 100 + writer;
      const told: ToldChange = { changeId: `change-${writer}`, burst };
      this.changes.push(told);
      const value = { requestsPerSecond: 10, burst };
      const instance = this.world.instances[writer];
      const base = this.world.instances[0]?.replica.current.revision;
      void instance?.change(told.changeId, CHANGED_PATH, value, base).then((outcome) => {
        told.outcome = outcome.kind;
        if ('revision' in outcome) told.revision = outcome.revision;
      });
    });
  }

  private withdraw(): void {
    void this.world.instances[2]?.change('withdrawal', KEY_PATH, undefined);
  }

  /** Looks at each instance again and again: does it honour the key for too long? */
  private watchKey(): void {
    const { queue, network, instances } = this.world;
    const now = queue.now();
    const isStored = this.world.readStored(KEY_PATH) !== undefined;
    if (!isStored) this.withdrawnAt ??= now;
    const limit = (this.withdrawnAt ?? Infinity) + WITHDRAWAL_LIMIT_MS + CLOCK_TOLERANCE_MS;
    for (const instance of instances) {
      if (now > limit && network.isRunning(instance.name) && instance.honoursKey) {
        this.violations.push({ rule: 'withdrawal', detail: `${instance.name} at ${now}` });
        return;
      }
    }
    queue.schedule(STEP_MS * 5, () => this.watchKey());
  }

  private judge(): void {
    for (const detail of this.world.reversions.slice(0, 1)) {
      this.violations.push({ rule: 'never-reverts', detail });
    }
    this.judgeChanges();
    this.judgeForce();
  }

  /** "Accepted" is said only of what is in the history, and "not accepted" only of what is not. */
  private judgeChanges(): void {
    for (const { changeId, outcome, revision } of this.changes) {
      const [audit] = this.world.store.range(`/heatherledge/audit/${changeId}`);
      const wasMade = audit !== undefined;
      if (outcome === 'accepted' && (!wasMade || audit.modRevision !== revision)) {
        this.violations.push({ rule: 'accepted-is-kept', detail: changeId });
      }
      if ((outcome === 'conflict' || outcome === 'unavailable') && wasMade) {
        this.violations.push({ rule: 'refused-is-not-made', detail: changeId });
      }
    }
    const made = this.changes.filter(
      ({ changeId }) => this.world.store.range(`/heatherledge/audit/${changeId}`).length > 0,
    );
    if (made.length > 1) {
      this.violations.push({ rule: 'one-change-on-a-revision', detail: `${made.length} made` });
    }
    this.judgeLastWrite();
  }

  /** The value in the store is that of the newest change made, not of one that overtook it. */
  private judgeLastWrite(): void {
    const made = this.changes
      .map((change) => ({
        change,
        audit: this.world.store.range(`/heatherledge/audit/${change.changeId}`)[0],
      }))
      .filter(({ audit }) => audit !== undefined)
      .sort((left, right) => (right.audit?.modRevision ?? 0) - (left.audit?.modRevision ?? 0));
    const stored = this.world.readStored(CHANGED_PATH) as { burst: number };
    const newest = made[0]?.change.burst;
    if (newest !== undefined && stored.burst !== newest) {
      this.violations.push({ rule: 'newest-change-stands', detail: `${stored.burst}` });
    }
  }

  private judgeForce(): void {
    const healedAt = STRIKE_FROM_MS + FAULT_MS;
    if (END_MS - healedAt < IN_FORCE_LIMIT_MS) return;
    const stored = this.world.readStored(CHANGED_PATH) as { burst: number };
    for (const { name, replica } of this.world.instances) {
      const value = replica.current.values.get(CHANGED_PATH) as { burst: number } | undefined;
      if (value?.burst !== stored.burst) this.violations.push({ rule: 'in-force', detail: name });
    }
  }

  private observe(step: string, from: NodeName, to: NodeName): void {
    const wanted = this.cell.id.split('/')[2];
    if (this.hasStruck || step !== wanted || this.world.queue.now() < STRIKE_FROM_MS) return;
    this.occurrences += 1;
    if (this.occurrences !== this.occurrence) return;
    this.hasStruck = true;
    this.strike(this.cell.id.split('/')[1] ?? '', from, to);
  }

  private strike(fault: string, from: NodeName, to: NodeName): void {
    const { network, faults } = this.world;
    const end = (run: () => void): void => this.world.queue.schedule(FAULT_MS, run);
    const inner = from === PLATFORM_NODE ? to : from;
    switch (fault) {
      case 'kill-sender':
        this.kill(inner);
        break;
      case 'freeze-sender':
        network.freeze(inner);
        end(() => network.resume(inner));
        break;
      case 'freeze-receiver':
        network.freeze(to === PLATFORM_NODE ? from : to);
        end(() => network.resume(to === PLATFORM_NODE ? from : to));
        break;
      case 'isolate-sender-domain':
        this.isolate(network.getDomain(inner));
        break;
      case 'isolate-receiver-domain':
        this.isolate(network.getDomain(to === PLATFORM_NODE ? from : to));
        break;
      case 'platform-cut-from-domain':
        this.cutPlatform(network.getDomain(inner));
        break;
      case 'cut-one-way':
        network.cut(from, to);
        end(() => network.heal());
        break;
      case 'lose-message':
        network.dropNextMessage(from, to);
        break;
      case 'late-message':
        network.delayNextMessage(from, to, LATE_MS);
        break;
      case 'platform-down':
        faults.down = true;
        end(() => Object.assign(faults, { down: false }));
        break;
      case 'platform-slow':
        faults.slowMs = SLOW_MS;
        end(() => Object.assign(faults, { slowMs: 0 }));
        break;
      default:
        faults.loseAnswers = true;
        end(() => Object.assign(faults, { loseAnswers: false }));
    }
  }

  private kill(name: NodeName): void {
    const { network, queue, instances } = this.world;
    network.kill(name);
    queue.schedule(FAULT_MS / 4, () => {
      network.restart(name);
      instances.find((instance) => instance.name === name)?.start();
    });
  }

  private isolate(domain: string): void {
    this.world.network.isolate(domain);
    this.world.queue.schedule(FAULT_MS, () => this.world.network.heal());
  }

  private cutPlatform(domain: string): void {
    const { network, queue } = this.world;
    for (const name of network.nodeNames.filter((other) => network.getDomain(other) === domain)) {
      network.cut(name, PLATFORM_NODE);
      network.cut(PLATFORM_NODE, name);
    }
    queue.schedule(FAULT_MS, () => network.heal());
  }
}
