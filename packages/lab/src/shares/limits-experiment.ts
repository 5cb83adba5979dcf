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
  CompareAndSwapStrategy,
  EvenSplitStrategy,
  LeakyBucketStrategy,
  type StoredLeakyBucket,
  type StoredTokenBucket,
} from './baseline-strategies.js';
import { FakeStore, STORE_NODE, type StoreCapacity } from './fake-store.js';
import { type LoadShape, resolveLoad } from './load-shapes.js';
import { EXPERIMENT_ADMISSION_RULES, LoanStrategy } from './loan-strategy.js';

/** Name of a compared strategy: token loans, as the gateway uses them, or a baseline. */
export type StrategyName = 'loans' | 'even-split' | 'swap-per-request' | 'atomic-bucket';

/** All strategies, token loans first. */
export const STRATEGY_NAMES: readonly StrategyName[] = [
  'loans',
  'even-split',
  'swap-per-request',
  'atomic-bucket',
];

/** Strategy, load and size of an experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Number of instances. */
  readonly instances: number;
  /** Number of organisations. */
  readonly organisations: number;
  readonly latencies: NetworkLatencies;
  readonly shape: LoadShape;
  readonly strategy: StrategyName;
  /** Duration of the load; the time in which slots are claimed comes before it. */
  readonly durationMs: number;
}

/** Results of an experiment, summed over all organisations where nothing else is said. */
export interface ExperimentResult {
  readonly strategy: StrategyName;
  readonly shape: LoadShape;
  readonly instances: number;
  readonly organisations: number;
  /** Number of requests that arrived. */
  readonly arrived: number;
  /** Admissions above an organisation's rate and burst; must be 0 for token loans. */
  readonly above: number;
  /** Admissions missing compared with an ideal bucket, as a percentage of all arrivals. */
  readonly wrongfulPercent: number;
  /** Minimum over the organisations of the ratio of admissions to those of an ideal bucket. */
  readonly worstServed: number;
  readonly platformCallsPerSecond: number;
}

const SLOT_COUNT = 64;
const STORE_CAPACITY: StoreCapacity = { writesPerSecond: 400, readsPerSecond: 2000 };
/** Time in which slots are claimed before the load begins. */
const WARM_UP_MS = 8000;
/** Time from the start of the load until the load shape `cut-off` isolates a failure domain. */
const ISOLATION_DELAY_MS = 4000;
const ISOLATION_DURATION_MS = 8000;
const ISOLATED_DOMAIN = 'domain-2';
const LARGE_ORGANISATION_COUNT = 2;
const LARGE_RATE_PER_SECOND = 400;
const SMALL_RATE_PER_SECOND = 40;
const ARRIVAL_INTERVAL_MS = 5;

/**
 * Measures how well a strategy enforces the organisations' rates under a load shape.
 *
 * @param options - strategy, load and size
 * @returns the results
 */
export function runLimitsExperiment(options: ExperimentOptions): ExperimentResult {
  return new LimitsExperiment(options).run();
}

class LimitsExperiment {
  private readonly queue = new EventQueue();

  private readonly random: SeededRandom;

  private readonly network: FakeNetwork;

  private readonly instanceNames: string[];

  private readonly organisations: ExperimentOrganisation[];

  private readonly audits: AdmissionAudit[];

  private readonly strategy: AdmissionStrategy;

  constructor(private readonly options: ExperimentOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.queue, this.random, options.latencies);
    this.instanceNames = Array.from(
      { length: options.instances },
      (_, index) => `instance-${index + 1}`,
    );
    this.instanceNames.forEach((name, index) =>
      this.network.addNode(name, `domain-${(index % 3) + 1}`),
    );
    this.network.addNode(STORE_NODE, 'platform');
    this.organisations = Array.from({ length: options.organisations }, (_, index) => {
      const ratePerSecond =
        index < LARGE_ORGANISATION_COUNT ? LARGE_RATE_PER_SECOND : SMALL_RATE_PER_SECOND;
      return {
        id: toBrand<OrganisationId>(`organisation-${index + 1}`),
        ratePerSecond,
        burst: ratePerSecond / 2,
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
    if (shape === 'cut-off') this.scheduleIsolation();
    this.sendArrivals();
    this.queue.runUntil(WARM_UP_MS + durationMs);
    const calls = this.strategy.platformCalls - callsBefore;
    return this.createResult(calls / (durationMs / 1000));
  }

  private createResult(platformCallsPerSecond: number): ExperimentResult {
    const { strategy, shape, instances, organisations } = this.options;
    const results = this.audits.map(({ result }) => result);
    const sum = (getCount: (result: AdmissionAudit['result']) => number): number =>
      results.reduce((total, result) => total + getCount(result), 0);
    const arrived = sum((result) => result.arrived);
    return {
      strategy,
      shape,
      instances,
      organisations,
      arrived,
      above: sum((result) => result.above),
      wrongfulPercent: roundToThousandths(
        (100 * sum((result) => result.wrongfulRefusals)) / arrived,
      ),
      worstServed: roundToThousandths(
        Math.min(
          ...results.map(
            ({ admitted, idealAdmissions }) => admitted / Math.max(1, idealAdmissions),
          ),
        ),
      ),
      platformCallsPerSecond: roundToThousandths(platformCallsPerSecond),
    };
  }

  private createStrategy(): AdmissionStrategy {
    const { network, instanceNames, random } = this;
    switch (this.options.strategy) {
      case 'even-split':
        return new EvenSplitStrategy(network, instanceNames.length);
      case 'swap-per-request':
        return new CompareAndSwapStrategy(
          network,
          instanceNames,
          new FakeStore<StoredTokenBucket>(network, STORE_CAPACITY),
        );
      case 'atomic-bucket':
        return new LeakyBucketStrategy(
          network,
          instanceNames,
          new FakeStore<StoredLeakyBucket>(network, STORE_CAPACITY),
        );
      default:
        return new LoanStrategy(
          network,
          random,
          new FakeStore<SlotRecord>(network, STORE_CAPACITY),
          {
            instances: instanceNames,
            organisations: this.organisations,
            slotCount: SLOT_COUNT,
            rules: EXPERIMENT_ADMISSION_RULES,
            claimTimings: DEFAULT_CLAIM_TIMINGS,
            getClock: (name) => createDriftingClock(this.queue, instanceNames.indexOf(name)),
          },
        );
    }
  }

  private scheduleIsolation(): void {
    this.queue.schedule(ISOLATION_DELAY_MS, () => this.network.isolate(ISOLATED_DOMAIN));
    this.queue.schedule(ISOLATION_DELAY_MS + ISOLATION_DURATION_MS, () => this.network.heal());
  }

  /** Sends requests in an open loop: they do not wait for the decisions on earlier ones. */
  private sendArrivals(): void {
    const now = this.queue.now();
    this.organisations.forEach((organisation, index) => {
      const load = resolveLoad(
        this.options.shape,
        index,
        this.instanceNames.length,
        now - WARM_UP_MS,
      );
      const meanCount = (organisation.ratePerSecond * load.intensity * ARRIVAL_INTERVAL_MS) / 1000;
      for (let count = this.drawPoissonCount(meanCount); count > 0; count -= 1) {
        this.sendRequest(
          organisation,
          index,
          this.random.pickInteger(load.firstInstance, load.lastInstance),
        );
      }
    });
    this.queue.schedule(ARRIVAL_INTERVAL_MS, () => this.sendArrivals());
  }

  private sendRequest(organisation: ExperimentOrganisation, index: number, instance: number): void {
    const audit = this.audits[index];
    audit?.recordArrival(this.queue.now());
    this.strategy.requestAdmission(instance, organisation, (isAdmitted) => {
      if (isAdmitted) audit?.recordAdmission(this.queue.now());
      else audit?.recordRefusal();
    });
  }

  /** Draws a Poisson-distributed count by Knuth's multiplication method. */
  private drawPoissonCount(mean: number): number {
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

/** Difference between the fastest and the slowest clock, relative to the simulated time. */
const CLOCK_SPEED_DIFFERENCE = 0.002;
/** Difference between the clocks of consecutive instances at the start. */
const CLOCK_OFFSET_MS = 100_000;

/**
 * Creates the clock of an instance, which differs from other instances' clocks in offset and speed.
 *
 * @param queue - holds the simulated time
 * @param instanceIndex - index of the instance
 * @returns the clock
 */
export function createDriftingClock(queue: EventQueue, instanceIndex: number): Clock {
  const speed = 1 + (((instanceIndex * 7) % 5) / 4 - 0.5) * CLOCK_SPEED_DIFFERENCE;
  return { now: () => toMilliseconds(queue.now() * speed + instanceIndex * CLOCK_OFFSET_MS) };
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1000) / 1000;
}
