import {
  type ClaimTimings,
  type OrganisationId,
  type SlotRecord,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { AdmissionAudit } from '../../shares/admission-audit.js';
import type { ExperimentOrganisation } from '../../shares/admission-strategy.js';
import { FakeStore, STORE_NODE } from '../../shares/fake-store.js';
import { createDriftingClock } from '../../shares/limits-experiment.js';
import { EXPERIMENT_ADMISSION_RULES, LoanStrategy } from '../../shares/loan-strategy.js';
import { EventQueue } from '../event-queue.js';
import { FakeNetwork, type NodeName } from '../fake-network.js';
import { type CellResult, hashText } from '../group/group-cells.js';
import type { Violation } from '../group/group-history.js';
import { CADENA_LATENCIES } from '../group/group-simulation.js';
import { SeededRandom } from '../random.js';

/** Steps at which a fault is injected: messages, and two actions of an operator. */
export const SHARE_STEPS = [
  'ask',
  'grant',
  'settle',
  'store-read',
  'store-read-answer',
  'store-write',
  'store-write-answer',
  'release',
  'lower-rate',
] as const;

/** Faults that are injected at a step. */
export const SHARE_FAULTS = [
  'kill-sender',
  'kill-receiver',
  'freeze-sender',
  'freeze-receiver',
  'isolate-sender-domain',
  'cut-one-way',
  'slow-sender',
  'lose-message',
  'late-message',
  'store-down',
  'store-slow',
  'store-loses-answers',
] as const;

/**
 * Guards that a mutation run disables: the delay before a new slot is used, the end of a holder's
 * lease, and the end of a loan's lifetime.
 */
export const SHARE_GUARDS = ['slot-settling', 'claim-lease', 'loan-life'] as const;

/** Id of a guard. */
export type ShareGuard = (typeof SHARE_GUARDS)[number];

/** A cell of the fault matrix of shared rates: one fault at one step. */
export interface ShareCell {
  /** `shares/FAULT/STEP`. */
  readonly id: string;
  readonly seed: number;
}

const INSTANCE_COUNT = 6;
const DOMAIN_COUNT = 3;
const SLOT_COUNT = 12;
/** Time before which no fault is injected. */
const FAULTS_START_AT_MS = 5000;
/**
 * Longer than a lease plus the time for which other instances observe a claim without renewal, so
 * that slots are taken over during the fault.
 */
const FAULT_DURATION_MS = 9000;
const SIMULATION_DURATION_MS = 24_000;
const ARRIVAL_INTERVAL_MS = 5;
/**
 * Multiples of the rate at which requests arrive, in turn: far above it, so that tokens are used up,
 * and far below it, so that tokens are kept.
 */
const LOAD_INTENSITIES = [3, 0.02];
const LOAD_PHASE_DURATION_MS = 1700;
const TOKEN_CHECK_INTERVAL_MS = 25;
const ROUNDING_TOLERANCE_TOKENS = 1e-6;
/** The fault is injected at a random occurrence of the step, at most this one. */
const MAX_STEP_OCCURRENCE = 12;
const SLOW_DELAY_MS = 700;
const LATE_MESSAGE_DELAY_MS = 1400;
/** Shortly after a phase of high load, while loans are in use. */
const OPERATOR_ACTION_AT_MS = 5130;
const LOAN_TTL_MS = 3000;
const LOWERED_RATE_FACTOR = 0.5;

/** Leases are short enough for slots to be taken over within a cell. */
const CELL_CLAIM_TIMINGS: ClaimTimings = {
  leaseMs: toMilliseconds(3000),
  renewalIntervalMs: toMilliseconds(800),
  maxReadIntervalMs: toMilliseconds(800),
  minReadIntervalMs: toMilliseconds(400),
  newSlotDelayMs: toMilliseconds(3100),
};

/**
 * Lists the cells of the matrix.
 *
 * @param seeds - number of cells for each fault at each step
 * @returns the cells, with seeds that count from 1
 */
export function listShareCells(seeds: number): ShareCell[] {
  const cells: ShareCell[] = [];
  for (const step of SHARE_STEPS) {
    for (const fault of SHARE_FAULTS) {
      for (let seed = 1; seed <= seeds; seed += 1) {
        cells.push({ id: `shares/${fault}/${step}`, seed });
      }
    }
  }
  return cells;
}

/**
 * Runs a cell, and checks that no organisation gets more than its rate and burst.
 *
 * @param cell - the cell
 * @param disabledGuards - guards that are disabled
 * @returns the outcome and the violations
 */
export function runShareCell(
  cell: ShareCell,
  disabledGuards?: ReadonlySet<ShareGuard>,
): CellResult {
  return new ShareSimulation(cell, disabledGuards ?? new Set()).run();
}

class ShareSimulation {
  private readonly queue = new EventQueue();

  private readonly random: SeededRandom;

  private readonly network: FakeNetwork;

  private readonly store: FakeStore<SlotRecord>;

  private readonly instanceNames: NodeName[];

  private readonly organisations: ExperimentOrganisation[];

  private readonly audits: AdmissionAudit[];

  private readonly strategy: LoanStrategy;

  /** Occurrences of the cell's step from {@link FAULTS_START_AT_MS} on. */
  private occurrenceCount = 0;

  private readonly targetOccurrence: number;

  private isFaultInjected = false;

  private readonly tokenViolations: Violation[] = [];

  constructor(
    private readonly cell: ShareCell,
    private readonly disabledGuards: ReadonlySet<ShareGuard>,
  ) {
    this.random = new SeededRandom(cell.seed * 104_729 + hashText(cell.id));
    this.network = new FakeNetwork(this.queue, this.random, CADENA_LATENCIES);
    this.store = new FakeStore(this.network, { writesPerSecond: 400, readsPerSecond: 2000 });
    this.instanceNames = Array.from(
      { length: INSTANCE_COUNT },
      (_, index) => `instance-${index + 1}`,
    );
    this.instanceNames.forEach((name, index) =>
      this.network.addNode(name, `domain-${(index % 3) + 1}`),
    );
    this.network.addNode(STORE_NODE, 'platform');
    this.organisations = ['organisation-1', 'organisation-2'].map((id, index) => ({
      id: toBrand<OrganisationId>(id),
      ratePerSecond: 60 + index * 60,
      burst: 40,
    }));
    this.audits = this.organisations.map(
      (organisation) => new AdmissionAudit(organisation.ratePerSecond / 1000, organisation.burst),
    );
    this.strategy = this.createStrategy();
    this.targetOccurrence = this.random.pickInteger(1, MAX_STEP_OCCURRENCE);
  }

  run(): CellResult {
    const { id, seed } = this.cell;
    this.network.observer = (step, from, to) => this.onStep(step, from, to);
    this.strategy.start();
    this.sendArrivals();
    this.checkTokens();
    this.queue.schedule(OPERATOR_ACTION_AT_MS, () => this.runOperatorAction());
    this.queue.runUntil(SIMULATION_DURATION_MS);
    if (!this.isFaultInjected) {
      const reason = 'the step did not occur after the start of the faults';
      return { id, seed, outcome: 'not-applicable', reason, violations: [] };
    }
    const violations = this.findViolations();
    return { id, seed, outcome: violations.length === 0 ? 'passed' : 'failed', violations };
  }

  private get step(): string {
    return this.cell.id.split('/')[2] ?? '';
  }

  private get fault(): string {
    return this.cell.id.split('/')[1] ?? '';
  }

  /** Returns all excess admissions, but of the failed token checks only the first. */
  private findViolations(): Violation[] {
    const [firstTokenViolation] = this.tokenViolations;
    const rateViolations = this.audits.flatMap(({ result }, index) =>
      result.above === 0
        ? []
        : [{ rule: 'rate-and-burst', detail: `${this.organisations[index]?.id}: ${result.above}` }],
    );
    return firstTokenViolation === undefined
      ? rateViolations
      : [...rateViolations, firstTokenViolation];
  }

  private createStrategy(): LoanStrategy {
    const { disabledGuards } = this;
    const newSlotDelayMs = toMilliseconds(
      disabledGuards.has('slot-settling') ? 0 : CELL_CLAIM_TIMINGS.newSlotDelayMs,
    );
    const loanTtlMs = toMilliseconds(LOAN_TTL_MS);
    return new LoanStrategy(this.network, this.random, this.store, {
      instances: this.instanceNames,
      organisations: this.organisations,
      slotCount: SLOT_COUNT,
      rules: {
        ...EXPERIMENT_ADMISSION_RULES,
        loans: { ...EXPERIMENT_ADMISSION_RULES.loans, loanTtlMs },
      },
      claimTimings: { ...CELL_CLAIM_TIMINGS, newSlotDelayMs },
      getClock: (name) => createDriftingClock(this.queue, this.instanceNames.indexOf(name)),
      borrowerLoanTtlFactor: disabledGuards.has('loan-life') ? 4 : 1,
      holderLeaseFactor: disabledGuards.has('claim-lease') ? 4 : 1,
    });
  }

  /**
   * Checks that the tokens that all running instances could spend never exceed the burst; the bound
   * on admissions depends on it.
   */
  private checkTokens(): void {
    for (const organisation of this.organisations) {
      const spendableTokens = this.strategy.countTokens(organisation);
      if (spendableTokens > organisation.burst + ROUNDING_TOLERANCE_TOKENS) {
        const detail = `${organisation.id}: ${spendableTokens.toFixed(3)} at ${this.queue.now()}`;
        this.tokenViolations.push({ rule: 'tokens-in-hand', detail });
      }
    }
    this.queue.schedule(TOKEN_CHECK_INTERVAL_MS, () => this.checkTokens());
  }

  private sendArrivals(): void {
    const phase = Math.floor(this.queue.now() / LOAD_PHASE_DURATION_MS) % LOAD_INTENSITIES.length;
    const intensity = LOAD_INTENSITIES[phase] ?? 1;
    this.organisations.forEach((organisation, index) => {
      const meanCount = (organisation.ratePerSecond * intensity * ARRIVAL_INTERVAL_MS) / 1000;
      const count = Math.floor(meanCount + this.random.next());
      for (let arrival = 0; arrival < count; arrival += 1) this.sendRequest(organisation, index);
    });
    this.queue.schedule(ARRIVAL_INTERVAL_MS, () => this.sendArrivals());
  }

  private sendRequest(organisation: ExperimentOrganisation, index: number): void {
    const instance = this.random.pickInteger(0, INSTANCE_COUNT - 1);
    if (!this.network.isRunning(this.instanceNames[instance] ?? '')) return;
    this.strategy.requestAdmission(instance, organisation, (isAdmitted) => {
      if (isAdmitted) this.audits[index]?.recordAdmission(this.queue.now());
    });
  }

  /** Runs the operator's action, if the cell's step is one. */
  private runOperatorAction(): void {
    if (this.step === 'release') {
      const instance = this.strategy.instances[this.random.pickInteger(0, INSTANCE_COUNT - 1)];
      this.onStep('release', instance?.name ?? '', STORE_NODE);
      instance?.releaseSlots();
    }
    if (this.step === 'lower-rate') {
      this.onStep('lower-rate', this.instanceNames[0] ?? '', this.instanceNames[1] ?? '');
      // The audits keep the old rates: a lowered rate must never allow more than the old one.
      for (const organisation of this.organisations) {
        const ratePerSecond = organisation.ratePerSecond * LOWERED_RATE_FACTOR;
        Object.assign(organisation, { ratePerSecond });
      }
    }
  }

  /** Injects the fault if this is the target occurrence of the cell's step. */
  private onStep(step: string, from: NodeName, to: NodeName): void {
    if (this.isFaultInjected || step !== this.step || this.queue.now() < FAULTS_START_AT_MS) return;
    this.occurrenceCount += 1;
    const isOperatorAction = step === 'release' || step === 'lower-rate';
    if (!isOperatorAction && this.occurrenceCount !== this.targetOccurrence) return;
    this.isFaultInjected = true;
    this.updateLiveInstances(from, to);
    this.injectFault(from, to);
  }

  /**
   * Lowers the number of instances that share the slots, as the membership does when instances fail,
   * and restores it at the end of the fault.
   */
  private updateLiveInstances(from: NodeName, to: NodeName): void {
    const affected = this.fault.endsWith('-receiver') ? to : from;
    const areAllLive = !/^(kill|freeze|isolate)/.test(this.fault);
    if (areAllLive || affected === STORE_NODE) return;
    const isDomainIsolated = this.fault.startsWith('isolate');
    const missingCount = isDomainIsolated ? INSTANCE_COUNT / DOMAIN_COUNT : 1;
    this.strategy.liveInstances = INSTANCE_COUNT - missingCount;
    this.queue.schedule(FAULT_DURATION_MS, () => {
      this.strategy.liveInstances = INSTANCE_COUNT;
    });
  }

  private injectFault(from: NodeName, to: NodeName): void {
    const { network, queue, store } = this;
    const scheduleEnd = (endFault: () => void): void => queue.schedule(FAULT_DURATION_MS, endFault);
    switch (this.fault) {
      case 'kill-sender':
        this.kill(from);
        break;
      case 'kill-receiver':
        this.kill(to);
        break;
      case 'freeze-sender':
        network.freeze(from);
        scheduleEnd(() => network.resume(from));
        break;
      case 'freeze-receiver':
        network.freeze(to);
        scheduleEnd(() => network.resume(to));
        break;
      case 'isolate-sender-domain':
        network.isolate(network.getDomain(from));
        scheduleEnd(() => network.heal());
        break;
      case 'cut-one-way':
        network.cut(from, to);
        scheduleEnd(() => network.heal());
        break;
      case 'slow-sender':
        network.slowDown(from, SLOW_DELAY_MS);
        scheduleEnd(() => network.heal());
        break;
      case 'lose-message':
        network.dropNextMessage(from, to);
        break;
      case 'late-message':
        network.delayNextMessage(from, to, LATE_MESSAGE_DELAY_MS);
        break;
      case 'store-down':
        store.faults.down = true;
        scheduleEnd(() => Object.assign(store.faults, { down: false }));
        break;
      case 'store-slow':
        store.faults.slowMs = SLOW_DELAY_MS;
        scheduleEnd(() => Object.assign(store.faults, { slowMs: 0 }));
        break;
      default:
        store.faults.loseAnswers = true;
        scheduleEnd(() => Object.assign(store.faults, { loseAnswers: false }));
    }
  }

  /** Kills and restarts an instance; for the store, which has no process here, it is an outage. */
  private kill(name: NodeName): void {
    const instance = this.strategy.findInstance(name);
    if (instance === undefined) {
      this.store.faults.down = true;
      this.queue.schedule(FAULT_DURATION_MS, () =>
        Object.assign(this.store.faults, { down: false }),
      );
      return;
    }
    this.network.kill(name);
    this.queue.schedule(FAULT_DURATION_MS / 4, () => {
      this.network.restart(name);
      instance.start();
    });
  }
}
