/** Measures a way to keep rates under a shape of load. */
import {
  type Clock,
  DEFAULT_CLAIM_TIMINGS,
  type OrganisationId,
  type SlotRecord,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { EventQueue } from '../faults/event-queue.js';
import { FakeNetwork, type NetworkLatencies } from '../faults/fake-network.js';
import { SeededRandom } from '../faults/random.js';
import { AdmissionAudit } from './admission-audit.js';
import type { AdmissionStrategy, ExperimentOrganisation } from './admission-strategy.js';
import {
  type DripBucket,
  DripStrategy,
  EvenSplitStrategy,
  type StoredBucket,
  SwapStrategy,
} from './baseline-strategies.js';
import { FakeStore, STORE_NODE, type StoreCapacity } from './fake-store.js';
import { type LoadShape, resolveLoad } from './load-shapes.js';
import { EXPERIMENT_DESK_RULES, LoanStrategy } from './loan-strategy.js';

/** Ways that are compared. */
export type StrategyName = 'loans' | 'even-split' | 'swap-per-request' | 'atomic-bucket';

/** Every way, ours first. */
export const STRATEGY_NAMES: readonly StrategyName[] = [
  'loans',
  'even-split',
  'swap-per-request',
  'atomic-bucket',
];

/** Size and length of an experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  readonly instances: number;
  readonly organisations: number;
  readonly latencies: NetworkLatencies;
  readonly shape: LoadShape;
  readonly strategy: StrategyName;
  readonly durationMs: number;
}

/** Figures of an experiment. */
export interface ExperimentResult {
  readonly strategy: StrategyName;
  readonly shape: LoadShape;
  readonly instances: number;
  readonly organisations: number;
  readonly arrived: number;
  /** Admissions above an organisation's rate and burst; must be 0. */
  readonly above: number;
  /** Wrongful refusals, in per cent of all arrivals. */
  readonly wrongfulPercent: number;
  /** Least of all organisations' admissions over what was due to it. */
  readonly worstServed: number;
  readonly platformCallsPerSecond: number;
}

const SLOT_COUNT = 64;
const STORE_CAPACITY: StoreCapacity = { writesPerSecond: 400, readsPerSecond: 2000 };
/** Time for slots to be claimed before the load begins, in milliseconds. */
const WARM_UP_MS = 8000;
/** The failure domain that the shape `cut-off` cuts off, and for how long. */
const CUT_FROM_MS = 4000;
const CUT_MS = 8000;
const CUT_DOMAIN = 'domain-2';
const LARGE_ORGANISATIONS = 2;
const LARGE_RATE = 400;
const SMALL_RATE = 40;
const TICK_MS = 5;

/**
 * @param options - size, shape and way
 * @returns the figures
 */
export function runLimitsExperiment(options: ExperimentOptions): ExperimentResult {
  return new LimitsExperiment(options).run();
}

class LimitsExperiment {
  private readonly queue = new EventQueue();

  private readonly random: SeededRandom;

  private readonly network: FakeNetwork;

  private readonly names: string[];

  private readonly organisations: ExperimentOrganisation[];

  private readonly audits: AdmissionAudit[];

  private readonly strategy: AdmissionStrategy;

  constructor(private readonly options: ExperimentOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.queue, this.random, options.latencies);
    this.names = Array.from({ length: options.instances }, (_, index) => `instance-${index + 1}`);
    this.names.forEach((name, index) => this.network.addNode(name, `domain-${(index % 3) + 1}`));
    this.network.addNode(STORE_NODE, 'platform');
    this.organisations = Array.from({ length: options.organisations }, (_, index) => {
      const rate = index < LARGE_ORGANISATIONS ? LARGE_RATE : SMALL_RATE;
      return {
        id: toBrand<OrganisationId>(`organisation-${index + 1}`),
        ratePerSecond: rate,
        burst: rate / 2,
      };
    });
    this.audits = this.organisations.map(
      ({ ratePerSecond, burst }) => new AdmissionAudit(ratePerSecond / 1000, burst),
    );
    this.strategy = this.createStrategy();
  }

  run(): ExperimentResult {
    const { durationMs, shape } = this.options;
    this.strategy.start();
    this.queue.runUntil(WARM_UP_MS);
    const callsBefore = this.strategy.platformCalls;
    if (shape === 'cut-off') this.scheduleCut();
    this.arrive();
    this.queue.runUntil(WARM_UP_MS + durationMs);
    const calls = this.strategy.platformCalls - callsBefore;
    return this.summarize(calls / (durationMs / 1000));
  }

  private summarize(platformCallsPerSecond: number): ExperimentResult {
    const { strategy, shape, instances, organisations } = this.options;
    const results = this.audits.map(({ result }) => result);
    const sum = (pick: (result: AdmissionAudit['result']) => number): number =>
      results.reduce((total, result) => total + pick(result), 0);
    const arrived = sum((result) => result.arrived);
    return {
      strategy,
      shape,
      instances,
      organisations,
      arrived,
      above: sum((result) => result.above),
      wrongfulPercent: round((100 * sum((result) => result.wrongful)) / arrived),
      worstServed: round(
        Math.min(...results.map(({ admitted, due }) => admitted / Math.max(1, due))),
      ),
      platformCallsPerSecond: round(platformCallsPerSecond),
    };
  }

  private createStrategy(): AdmissionStrategy {
    const { network, names, random } = this;
    switch (this.options.strategy) {
      case 'even-split':
        return new EvenSplitStrategy(network, names.length);
      case 'swap-per-request':
        return new SwapStrategy(
          network,
          names,
          new FakeStore<StoredBucket>(network, STORE_CAPACITY),
        );
      case 'atomic-bucket':
        return new DripStrategy(network, names, new FakeStore<DripBucket>(network, STORE_CAPACITY));
      default:
        return new LoanStrategy(
          network,
          random,
          new FakeStore<SlotRecord>(network, STORE_CAPACITY),
          {
            instances: names,
            organisations: this.organisations,
            slotCount: SLOT_COUNT,
            rules: EXPERIMENT_DESK_RULES,
            claims: DEFAULT_CLAIM_TIMINGS,
            clockOf: (name) => createDriftingClock(this.queue, names.indexOf(name)),
          },
        );
    }
  }

  private scheduleCut(): void {
    this.queue.schedule(CUT_FROM_MS, () => this.network.isolate(CUT_DOMAIN));
    this.queue.schedule(CUT_FROM_MS + CUT_MS, () => this.network.heal());
  }

  /** Open loop: arrivals do not wait for the answers to earlier ones. */
  private arrive(): void {
    const now = this.queue.now();
    this.organisations.forEach((organisation, index) => {
      const load = resolveLoad(this.options.shape, index, this.names.length, now - WARM_UP_MS);
      const mean = (organisation.ratePerSecond * load.intensity * TICK_MS) / 1000;
      for (let count = this.drawCount(mean); count > 0; count -= 1) {
        this.request(organisation, index, this.random.pickInteger(load.first, load.last));
      }
    });
    this.queue.schedule(TICK_MS, () => this.arrive());
  }

  private request(organisation: ExperimentOrganisation, index: number, instance: number): void {
    const audit = this.audits[index];
    audit?.noteArrival(this.queue.now());
    this.strategy.request(instance, organisation, (isAdmitted) => {
      if (isAdmitted) audit?.noteAdmission(this.queue.now());
      else audit?.noteRefusal();
    });
  }

  /** Poisson-distributed count, by Knuth's multiplication. */
  private drawCount(mean: number): number {
    const limit = Math.exp(-mean);
    let product = this.random.next();
    let count = 0;
    while (product > limit) {
      count += 1;
      product *= this.random.next();
    }
    return count;
  }
}

/** Fastest against slowest clock, as a share. */
const CLOCK_DRIFT = 0.002;
const CLOCK_OFFSET_MS = 100_000;

/**
 * @param queue - time of the experiment
 * @param number - number of the instance
 * @returns a clock with a start and a pace of its own
 */
export function createDriftingClock(queue: EventQueue, number: number): Clock {
  const pace = 1 + (((number * 7) % 5) / 4 - 0.5) * CLOCK_DRIFT;
  return { now: () => toMilliseconds(queue.now() * pace + number * CLOCK_OFFSET_MS) };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
