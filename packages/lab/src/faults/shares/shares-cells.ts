/** Cells of the shared rates' matrix: no organisation gets more than its rate and burst. */
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
import { EXPERIMENT_DESK_RULES, LoanStrategy } from '../../shares/loan-strategy.js';
import { EventQueue } from '../event-queue.js';
import { FakeNetwork, type NodeName } from '../fake-network.js';
import { type CellResult, hashText } from '../group/group-cells.js';
import type { Violation } from '../group/group-history.js';
import { CADENA_LATENCIES } from '../group/group-simulation.js';
import { SeededRandom } from '../random.js';

/** Steps of the shared rates' protocols. */
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

/** Kinds of faults. */
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

/** Guards that a mutation run takes out. */
export const SHARE_GUARDS = ['slot-settling', 'claim-lease', 'loan-life'] as const;

/** A guard that can be taken out. */
export type ShareGuard = (typeof SHARE_GUARDS)[number];

/** One cell. */
export interface ShareCell {
  readonly id: string;
  readonly seed: number;
}

const INSTANCES = 6;
const DOMAINS = 3;
const SLOT_COUNT = 12;
const STRIKE_FROM_MS = 5000;
/** Longer than a lease and an observer's wait, so that slots are taken over meanwhile. */
const FAULT_MS = 9000;
const END_MS = 24_000;
const TICK_MS = 5;
/** Load in turn far above and far below the rate, so that tokens are both used up and kept. */
const INTENSITIES = [3, 0.02];
const PHASE_MS = 1700;
const CHECK_MS = 25;
const ROUNDING_TOKENS = 1e-6;
const LATEST_OCCURRENCE = 12;
const SLOW_MS = 700;
const LATE_MS = 1400;
/** Shortly after a time of high load, while loans are out. */
const RELEASE_AT_MS = 5130;
const LOAN_LIFE_MS = 3000;
const LOWERED_SHARE = 0.5;

/** Leases short enough for slots to be taken over within a cell. */
const CELL_CLAIMS: ClaimTimings = {
  leaseMs: toMilliseconds(3000),
  renewalIntervalMs: toMilliseconds(800),
  maxReadIntervalMs: toMilliseconds(800),
  minReadIntervalMs: toMilliseconds(400),
  newSlotDelayMs: toMilliseconds(3100),
};

/**
 * @param seeds - cells for each fault at each step
 * @returns the cells
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
 * @param cell - the cell
 * @param without - guards that are taken out
 * @returns what it came to
 */
export function runShareCell(cell: ShareCell, without?: ReadonlySet<ShareGuard>): CellResult {
  return new ShareWorld(cell, without ?? new Set()).run();
}

class ShareWorld {
  private readonly queue = new EventQueue();

  private readonly random: SeededRandom;

  private readonly network: FakeNetwork;

  private readonly store: FakeStore<SlotRecord>;

  private readonly names: NodeName[];

  private readonly organisations: ExperimentOrganisation[];

  private readonly audits: AdmissionAudit[];

  private readonly strategy: LoanStrategy;

  private occurrences = 0;

  private readonly occurrence: number;

  private hasStruck = false;

  private readonly tokenViolations: Violation[] = [];

  constructor(
    private readonly cell: ShareCell,
    private readonly without: ReadonlySet<ShareGuard>,
  ) {
    this.random = new SeededRandom(cell.seed * 104_729 + hashText(cell.id));
    this.network = new FakeNetwork(this.queue, this.random, CADENA_LATENCIES);
    this.store = new FakeStore(this.network, { writesPerSecond: 400, readsPerSecond: 2000 });
    this.names = Array.from({ length: INSTANCES }, (_, index) => `instance-${index + 1}`);
    this.names.forEach((name, index) => this.network.addNode(name, `domain-${(index % 3) + 1}`));
    this.network.addNode(STORE_NODE, 'platform');
    this.organisations = ['organisation-1', 'organisation-2'].map((id, index) => ({
      id: toBrand<OrganisationId>(id),
      ratePerSecond: 60 + index * 60,
      burst: 40,
    }));
    this.audits = this.organisations.map(
      (o) => new AdmissionAudit(o.ratePerSecond / 1000, o.burst),
    );
    this.strategy = this.createStrategy();
    this.occurrence = this.random.pickInteger(1, LATEST_OCCURRENCE);
  }

  run(): CellResult {
    const { id, seed } = this.cell;
    this.network.observer = (step, from, to) => this.observe(step, from, to);
    this.strategy.start();
    this.arrive();
    this.checkTokens();
    this.queue.schedule(RELEASE_AT_MS, () => this.disturb());
    this.queue.runUntil(END_MS);
    if (!this.hasStruck) {
      const reason = 'the step did not occur after the start of the faults';
      return { id, seed, outcome: 'not-applicable', reason, violations: [] };
    }
    const violations = this.judge();
    return { id, seed, outcome: violations.length === 0 ? 'passed' : 'failed', violations };
  }

  private get step(): string {
    return this.cell.id.split('/')[2] ?? '';
  }

  private get fault(): string {
    return this.cell.id.split('/')[1] ?? '';
  }

  private judge(): Violation[] {
    const [first] = this.tokenViolations;
    const above = this.audits.flatMap(({ result }, index) =>
      result.above === 0
        ? []
        : [{ rule: 'rate-and-burst', detail: `${this.organisations[index]?.id}: ${result.above}` }],
    );
    return first === undefined ? above : [...above, first];
  }

  private createStrategy(): LoanStrategy {
    const { without } = this;
    const newSlotDelayMs = toMilliseconds(
      without.has('slot-settling') ? 0 : CELL_CLAIMS.newSlotDelayMs,
    );
    const loanTtlMs = toMilliseconds(LOAN_LIFE_MS);
    return new LoanStrategy(this.network, this.random, this.store, {
      instances: this.names,
      organisations: this.organisations,
      slotCount: SLOT_COUNT,
      rules: {
        ...EXPERIMENT_DESK_RULES,
        loans: { ...EXPERIMENT_DESK_RULES.loans, loanTtlMs },
      },
      claims: { ...CELL_CLAIMS, newSlotDelayMs },
      clockOf: (name) => createDriftingClock(this.queue, this.names.indexOf(name)),
      borrowerLifeFactor: without.has('loan-life') ? 4 : 1,
      holderLeaseFactor: without.has('claim-lease') ? 4 : 1,
    });
  }

  /** Tokens in hand anywhere are never more than the burst; the bound on admissions rests on it. */
  private checkTokens(): void {
    for (const organisation of this.organisations) {
      const inHand = this.strategy.countTokens(organisation);
      if (inHand > organisation.burst + ROUNDING_TOKENS) {
        const detail = `${organisation.id}: ${inHand.toFixed(3)} at ${this.queue.now()}`;
        this.tokenViolations.push({ rule: 'tokens-in-hand', detail });
      }
    }
    this.queue.schedule(CHECK_MS, () => this.checkTokens());
  }

  private arrive(): void {
    const phase = Math.floor(this.queue.now() / PHASE_MS) % INTENSITIES.length;
    const intensity = INTENSITIES[phase] ?? 1;
    this.organisations.forEach((organisation, index) => {
      const mean = (organisation.ratePerSecond * intensity * TICK_MS) / 1000;
      const count = Math.floor(mean + this.random.next());
      for (let arrival = 0; arrival < count; arrival += 1) this.request(organisation, index);
    });
    this.queue.schedule(TICK_MS, () => this.arrive());
  }

  private request(organisation: ExperimentOrganisation, index: number): void {
    const instance = this.random.pickInteger(0, INSTANCES - 1);
    if (!this.network.isRunning(this.names[instance] ?? '')) return;
    this.strategy.request(instance, organisation, (isAdmitted) => {
      if (isAdmitted) this.audits[index]?.noteAdmission(this.queue.now());
    });
  }

  /** What operators and the platform do in some cells: stop an instance, lower a rate. */
  private disturb(): void {
    if (this.step === 'release') {
      const instance = this.strategy.instances[this.random.pickInteger(0, INSTANCES - 1)];
      this.observe('release', instance?.name ?? '', STORE_NODE);
      instance?.release();
    }
    if (this.step === 'lower-rate') {
      this.observe('lower-rate', this.names[0] ?? '', this.names[1] ?? '');
      // Judged by the old rate: what is lowered must at once be no more than it was.
      for (const organisation of this.organisations) {
        const ratePerSecond = organisation.ratePerSecond * LOWERED_SHARE;
        Object.assign(organisation, { ratePerSecond });
      }
    }
  }

  private observe(step: string, from: NodeName, to: NodeName): void {
    if (this.hasStruck || step !== this.step || this.queue.now() < STRIKE_FROM_MS) return;
    this.occurrences += 1;
    const isOnce = step === 'release' || step === 'lower-rate';
    if (!isOnce && this.occurrences !== this.occurrence) return;
    this.hasStruck = true;
    this.noteMissing(from, to);
    this.strike(from, to);
  }

  /** Membership tells the others how many instances are left to share the slots. */
  private noteMissing(from: NodeName, to: NodeName): void {
    const struck = this.fault.endsWith('-receiver') ? to : from;
    const isWhole = !/^(kill|freeze|isolate)/.test(this.fault);
    if (isWhole || struck === STORE_NODE) return;
    const isDomain = this.fault.startsWith('isolate');
    const missing = isDomain ? INSTANCES / DOMAINS : 1;
    this.strategy.liveInstances = INSTANCES - missing;
    this.queue.schedule(FAULT_MS, () => {
      this.strategy.liveInstances = INSTANCES;
    });
  }

  private strike(from: NodeName, to: NodeName): void {
    const { network, queue, store } = this;
    const end = (run: () => void): void => queue.schedule(FAULT_MS, run);
    switch (this.fault) {
      case 'kill-sender':
        this.kill(from);
        break;
      case 'kill-receiver':
        this.kill(to);
        break;
      case 'freeze-sender':
        network.freeze(from);
        end(() => network.resume(from));
        break;
      case 'freeze-receiver':
        network.freeze(to);
        end(() => network.resume(to));
        break;
      case 'isolate-sender-domain':
        network.isolate(network.getDomain(from));
        end(() => network.heal());
        break;
      case 'cut-one-way':
        network.cut(from, to);
        end(() => network.heal());
        break;
      case 'slow-sender':
        network.slowDown(from, SLOW_MS);
        end(() => network.heal());
        break;
      case 'lose-message':
        network.dropNextMessage(from, to);
        break;
      case 'late-message':
        network.delayNextMessage(from, to, LATE_MS);
        break;
      case 'store-down':
        store.faults.down = true;
        end(() => Object.assign(store.faults, { down: false }));
        break;
      case 'store-slow':
        store.faults.slowMs = SLOW_MS;
        end(() => Object.assign(store.faults, { slowMs: 0 }));
        break;
      default:
        store.faults.loseAnswers = true;
        end(() => Object.assign(store.faults, { loseAnswers: false }));
    }
  }

  private kill(name: NodeName): void {
    const instance = this.strategy.find(name);
    if (instance === undefined) {
      this.store.faults.down = true;
      this.queue.schedule(FAULT_MS, () => Object.assign(this.store.faults, { down: false }));
      return;
    }
    this.network.kill(name);
    this.queue.schedule(FAULT_MS / 4, () => {
      this.network.restart(name);
      instance.start();
    });
  }
}
