import type { ChangeOutcome } from '@heatherledge/daemon';
import type { NodeName } from '../fake-network.js';
import { type CellResult, hashText } from '../group/group-cells.js';
import type { Violation } from '../group/group-history.js';
import { SeededRandom } from '../random.js';
import { runWithPromises } from './run-with-promises.js';
import {
  PLATFORM_NODE,
  type SettingsGuard,
  SettingsSimulation,
  WITHDRAWN_KEY_PATH,
} from './settings-simulation.js';

/** Protocol steps of settings at which a fault can be injected. */
export const SETTINGS_STEPS = [
  'store-read',
  'store-read-answer',
  'store-write',
  'store-write-answer',
  'pull',
  'pull-answer',
] as const;

/** Faults that are injected into the settings protocols. */
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

/** A cell of the fault matrix: a fault at a protocol step, with a seed. */
export interface SettingsCell {
  /** `settings/FAULT/STEP`. */
  readonly id: string;
  readonly seed: number;
}

const SIMULATION_STEP_MS = 10;
/** Time from which messages count as occurrences of the cell's step. */
const FAULTS_FROM_MS = 2500;
const CHANGES_AT_MS = 3000;
const WITHDRAWAL_AT_MS = 3600;
const FAULT_DURATION_MS = 12_000;
const SIMULATION_END_MS = 26_000;
const MESSAGE_DELAY_MS = 3000;
const MAX_PLATFORM_DELAY_MS = 2000;
/** Upper bound of the randomly chosen occurrence of the step at which the fault is injected. */
const MAX_OCCURRENCE = 8;
/** Maximum time after a withdrawal is stored until every running instance refuses the key. */
const MAX_WITHDRAWAL_DELAY_MS = 5000;
/** Maximum time after the end of the faults within which all instances must apply a change. */
const MAX_PROPAGATION_DELAY_MS = 5000;
const CLOCK_TOLERANCE_MS = 50;
const CHANGED_PATH = 'teams/t/organisations/o';

/**
 * Lists the cells of the settings.
 *
 * @param seeds - number of cells for each fault at each step
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
 * Runs a cell: injects its fault while settings are changed and a key is withdrawn, and checks that
 * accepted changes are kept, that no instance reverts to an older revision, and that the key stops
 * working in time.
 *
 * @param cell - the cell
 * @param disabledGuards - guards that are disabled, none by default
 * @returns the outcome and the violations
 */
export async function runSettingsCell(
  cell: SettingsCell,
  disabledGuards?: ReadonlySet<SettingsGuard>,
): Promise<CellResult> {
  return new SettingsCellRun(cell, disabledGuards ?? new Set()).run();
}

/** A change of settings and the outcome reported to the operator. */
interface SettingsChange {
  readonly changeId: string;
  readonly burst: number;
  outcome?: ChangeOutcome['kind'];
  /** Revision reported to the operator. */
  revision?: number;
}

class SettingsCellRun {
  private readonly simulation: SettingsSimulation;

  private readonly random: SeededRandom;

  private readonly changes: SettingsChange[] = [];

  private readonly violations: Violation[] = [];

  /** Occurrences of the cell's step so far. */
  private seenOccurrences = 0;

  /** Occurrence at which the fault is injected. */
  private readonly targetOccurrence: number;

  private isInjected = false;

  private withdrawnAtMs: number | undefined;

  constructor(
    private readonly cell: SettingsCell,
    disabledGuards: ReadonlySet<SettingsGuard>,
  ) {
    this.random = new SeededRandom(cell.seed * 15_485 + hashText(cell.id));
    this.simulation = new SettingsSimulation(cell.seed + hashText(cell.id), disabledGuards);
    this.targetOccurrence = this.random.pickInteger(1, MAX_OCCURRENCE);
    this.simulation.network.observer = (step, from, to) => this.onMessage(step, from, to);
  }

  async run(): Promise<CellResult> {
    const { id, seed } = this.cell;
    const { queue } = this.simulation;
    queue.schedule(CHANGES_AT_MS, () => this.startConflictingChanges());
    queue.schedule(WITHDRAWAL_AT_MS, () => this.withdrawKey());
    this.checkKeyWithdrawal();
    await runWithPromises(queue, SIMULATION_END_MS, SIMULATION_STEP_MS);
    if (!this.isInjected) {
      const reason = 'the step did not occur after the start of the faults';
      return { id, seed, outcome: 'not-applicable', reason, violations: [] };
    }
    this.checkResults();
    const outcome = this.violations.length === 0 ? 'passed' : 'failed';
    return { id, seed, outcome, violations: this.violations };
  }

  /** Changes the same path through two writers at the same time, as two operators would. */
  private startConflictingChanges(): void {
    [0, 1].forEach((writer) => {
      const burst = 100 + writer;
      const change: SettingsChange = { changeId: `change-${writer}`, burst };
      this.changes.push(change);
      const value = { requestsPerSecond: 10, burst };
      const instance = this.simulation.instances[writer];
      const base = this.simulation.instances[0]?.replica.current.revision;
      void instance?.writeSettings(change.changeId, CHANGED_PATH, value, base).then((outcome) => {
        change.outcome = outcome.kind;
        if ('revision' in outcome) change.revision = outcome.revision;
      });
    });
  }

  private withdrawKey(): void {
    void this.simulation.instances[2]?.writeSettings('withdrawal', WITHDRAWN_KEY_PATH, undefined);
  }

  /** Checks periodically that no running instance accepts the key after the withdrawal deadline. */
  private checkKeyWithdrawal(): void {
    const { queue, network, instances } = this.simulation;
    const now = queue.now();
    const isStored = this.simulation.readStored(WITHDRAWN_KEY_PATH) !== undefined;
    if (!isStored) this.withdrawnAtMs ??= now;
    const deadlineMs =
      (this.withdrawnAtMs ?? Infinity) + MAX_WITHDRAWAL_DELAY_MS + CLOCK_TOLERANCE_MS;
    for (const instance of instances) {
      if (now > deadlineMs && network.isRunning(instance.name) && instance.isKeyAccepted) {
        this.violations.push({ rule: 'withdrawal', detail: `${instance.name} at ${now}` });
        return;
      }
    }
    queue.schedule(SIMULATION_STEP_MS * 5, () => this.checkKeyWithdrawal());
  }

  private checkResults(): void {
    for (const detail of this.simulation.reversions.slice(0, 1)) {
      this.violations.push({ rule: 'never-reverts', detail });
    }
    this.checkReportedOutcomes();
    this.checkPropagation();
  }

  /** Checks that accepted changes are in the history, and refused or failed ones are not. */
  private checkReportedOutcomes(): void {
    for (const { changeId, outcome, revision } of this.changes) {
      const [audit] = this.simulation.store.range(`/heatherledge/audit/${changeId}`);
      const isCommitted = audit !== undefined;
      if (outcome === 'accepted' && (!isCommitted || audit.modRevision !== revision)) {
        this.violations.push({ rule: 'accepted-is-kept', detail: changeId });
      }
      if ((outcome === 'conflict' || outcome === 'unavailable') && isCommitted) {
        this.violations.push({ rule: 'refused-is-not-made', detail: changeId });
      }
    }
    const committed = this.changes.filter(
      ({ changeId }) => this.simulation.store.range(`/heatherledge/audit/${changeId}`).length > 0,
    );
    if (committed.length > 1) {
      this.violations.push({
        rule: 'one-change-on-a-revision',
        detail: `${committed.length} made`,
      });
    }
    this.checkStoredValue();
  }

  /** Checks that the store holds the value of the newest committed change. */
  private checkStoredValue(): void {
    const committed = this.changes
      .map((change) => ({
        change,
        audit: this.simulation.store.range(`/heatherledge/audit/${change.changeId}`)[0],
      }))
      .filter(({ audit }) => audit !== undefined)
      .sort((left, right) => (right.audit?.modRevision ?? 0) - (left.audit?.modRevision ?? 0));
    const stored = this.simulation.readStored(CHANGED_PATH) as { burst: number };
    const newestBurst = committed[0]?.change.burst;
    if (newestBurst !== undefined && stored.burst !== newestBurst) {
      this.violations.push({ rule: 'newest-change-stands', detail: `${stored.burst}` });
    }
  }

  /** Checks that every instance applies the stored value after the faults have ended. */
  private checkPropagation(): void {
    const faultEndMs = FAULTS_FROM_MS + FAULT_DURATION_MS;
    if (SIMULATION_END_MS - faultEndMs < MAX_PROPAGATION_DELAY_MS) return;
    const stored = this.simulation.readStored(CHANGED_PATH) as { burst: number };
    for (const { name, replica } of this.simulation.instances) {
      const value = replica.current.values.get(CHANGED_PATH) as { burst: number } | undefined;
      if (value?.burst !== stored.burst) this.violations.push({ rule: 'in-force', detail: name });
    }
  }

  /** Injects the fault at the chosen occurrence of the cell's step. */
  private onMessage(step: string, from: NodeName, to: NodeName): void {
    const target = this.cell.id.split('/')[2];
    if (this.isInjected || step !== target || this.simulation.queue.now() < FAULTS_FROM_MS) return;
    this.seenOccurrences += 1;
    if (this.seenOccurrences !== this.targetOccurrence) return;
    this.isInjected = true;
    this.injectFault(this.cell.id.split('/')[1] ?? '', from, to);
  }

  private injectFault(fault: string, from: NodeName, to: NodeName): void {
    const { network, faults } = this.simulation;
    const scheduleEnd = (run: () => void): void =>
      this.simulation.queue.schedule(FAULT_DURATION_MS, run);
    const instanceNode = from === PLATFORM_NODE ? to : from;
    switch (fault) {
      case 'kill-sender':
        this.killAndRestart(instanceNode);
        break;
      case 'freeze-sender':
        network.freeze(instanceNode);
        scheduleEnd(() => network.resume(instanceNode));
        break;
      case 'freeze-receiver':
        network.freeze(to === PLATFORM_NODE ? from : to);
        scheduleEnd(() => network.resume(to === PLATFORM_NODE ? from : to));
        break;
      case 'isolate-sender-domain':
        this.isolateDomain(network.getDomain(instanceNode));
        break;
      case 'isolate-receiver-domain':
        this.isolateDomain(network.getDomain(to === PLATFORM_NODE ? from : to));
        break;
      case 'platform-cut-from-domain':
        this.cutPlatformFromDomain(network.getDomain(instanceNode));
        break;
      case 'cut-one-way':
        network.cut(from, to);
        scheduleEnd(() => network.heal());
        break;
      case 'lose-message':
        network.dropNextMessage(from, to);
        break;
      case 'late-message':
        network.delayNextMessage(from, to, MESSAGE_DELAY_MS);
        break;
      case 'platform-down':
        faults.down = true;
        scheduleEnd(() => Object.assign(faults, { down: false }));
        break;
      case 'platform-slow':
        faults.slowMs = MAX_PLATFORM_DELAY_MS;
        scheduleEnd(() => Object.assign(faults, { slowMs: 0 }));
        break;
      default:
        faults.loseAnswers = true;
        scheduleEnd(() => Object.assign(faults, { loseAnswers: false }));
    }
  }

  /** Kills an instance and restarts it after a quarter of the fault's duration. */
  private killAndRestart(name: NodeName): void {
    const { network, queue, instances } = this.simulation;
    network.kill(name);
    queue.schedule(FAULT_DURATION_MS / 4, () => {
      network.restart(name);
      instances.find((instance) => instance.name === name)?.start();
    });
  }

  private isolateDomain(domain: string): void {
    this.simulation.network.isolate(domain);
    this.simulation.queue.schedule(FAULT_DURATION_MS, () => this.simulation.network.heal());
  }

  private cutPlatformFromDomain(domain: string): void {
    const { network, queue } = this.simulation;
    for (const name of network.nodeNames.filter((other) => network.getDomain(other) === domain)) {
      network.cut(name, PLATFORM_NODE);
      network.cut(PLATFORM_NODE, name);
    }
    queue.schedule(FAULT_DURATION_MS, () => network.heal());
  }
}
