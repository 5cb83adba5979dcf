import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { EventQueue } from '../faults/event-queue.js';
import { SeededRandom } from '../faults/random.js';
import type { LoadPattern, PatternFault } from './load-patterns.js';
import { ModelMember } from './model-member.js';
import { type ModelStatement, Policy, type PolicyPlan } from './policies.js';

/** Size and duration of a run. */
export interface ExperimentSize {
  readonly instances: number;
  readonly groups: number;
  readonly organisations: number;
  readonly seconds: number;
  /** Usual arrivals of the fleet in a second. */
  readonly perSecond: number;
}

/** Result of one pattern under one policy. */
export interface PlacementResult {
  /** Share of the statements that were answered within their objective. */
  readonly inObjective: number;
  /** The same of the worst-served organisation with enough statements to tell. */
  readonly worstOrganisation: number;
  readonly refused: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  /** New connections for each statement. */
  readonly handshakes: number;
}

const MEMBERS_PER_GROUP = 3;
const REGIONS = 3;
const SAME_REGION_MS = 1.4;
const OTHER_REGION_MS = 12;
const OBJECTIVE_MS = 600;
const PATIENCE_RATIO = 0.7;
const TIMEOUT_MS = 1200;
const MEAN_WORK_MS = 10;
/** Share of the statements that only the primary may run. */
const PRIMARY_SHARE = 0.2;
const PRIMARY_PRIORITY = 1;
const READ_PRIORITY = 2;
/** Organisations with fewer statements are left out of the worst-served one. */
const MIN_STATEMENTS = 20;
/** Zipf-like weights make a few organisations large. */
const ORGANISATION_SKEW = 0.9;
const MAX_TRACKED_MS = 60_000;

/** Replays one pattern under one policy. */
export class PlacementExperiment {
  private readonly events = new EventQueue();

  private readonly random: SeededRandom;

  private readonly members: readonly ModelMember[];

  private readonly policy: Policy;

  private readonly latencies: Histogram = buildHistogram({
    highestTrackableValue: MAX_TRACKED_MS,
    autoResize: true,
  });

  private readonly cumulativeWeights: readonly number[];

  private readonly byOrganisation = new Map<number, { asked: number; inObjective: number }>();

  private refused = 0;

  constructor(
    private readonly pattern: LoadPattern,
    plan: PolicyPlan,
    private readonly size: ExperimentSize,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    const memberCount = size.groups * MEMBERS_PER_GROUP;
    this.members = Array.from({ length: memberCount }, () => new ModelMember(this.events));
    this.policy = new Policy(plan, this.members, this.events);
    let sum = 0;
    this.cumulativeWeights = Array.from({ length: size.organisations }, (_, index) => {
      sum += (index === 0 ? pattern.hotFactor : 1) / (index + 1) ** ORGANISATION_SKEW;
      return sum;
    });
  }

  /** Runs the pattern to its end. */
  run(): PlacementResult {
    const { seconds } = this.size;
    for (const fault of this.pattern.faults) this.scheduleFault(fault);
    this.scheduleArrival();
    this.events.runUntil(seconds * 1000 + TIMEOUT_MS * 2);
    const counts = [...this.byOrganisation.values()];
    const asked = counts.reduce((sum, count) => sum + count.asked, 0);
    const inObjective = counts.reduce((sum, count) => sum + count.inObjective, 0);
    const shares = counts
      .filter((count) => count.asked >= MIN_STATEMENTS)
      .map((count) => count.inObjective / count.asked);
    const handshakes = this.members.reduce((sum, member) => sum + member.handshakes, 0);
    return {
      inObjective: inObjective / asked,
      worstOrganisation: Math.min(1, ...shares),
      refused: this.refused / asked,
      medianMs: this.latencies.getValueAtPercentile(50),
      p99Ms: this.latencies.getValueAtPercentile(99),
      handshakes: handshakes / asked,
    };
  }

  private scheduleArrival(): void {
    const now = this.events.now();
    if (now >= this.size.seconds * 1000) return;
    const totalWeight = this.cumulativeWeights.at(-1) ?? 1;
    const usualWeight = totalWeight - (this.pattern.hotFactor - 1);
    const rate =
      this.size.perSecond * this.pattern.computeIntensity(now) * (totalWeight / usualWeight);
    this.events.schedule((-Math.log(1 - this.random.next()) * 1000) / rate, () => {
      this.submit(this.events.now());
      this.scheduleArrival();
    });
  }

  private submit(arrivedAt: number): void {
    const organisation = this.pickOrganisation();
    const instance = this.random.pickInteger(0, this.size.instances - 1);
    const group = this.random.pickInteger(0, this.size.groups - 1);
    const count = this.byOrganisation.get(organisation) ?? { asked: 0, inObjective: 0 };
    count.asked += 1;
    this.byOrganisation.set(organisation, count);
    const isPrimaryOnly = this.random.next() < PRIMARY_SHARE || this.isLagging(arrivedAt);
    const indexes = isPrimaryOnly ? [0] : [0, 1, 2];
    const statement: ModelStatement = {
      organisation,
      weight: 1 / (organisation + 1) ** ORGANISATION_SKEW,
      instance,
      eligible: indexes.map((index) => ({
        member: group * MEMBERS_PER_GROUP + index,
        delayMs: instance % REGIONS === index ? SAME_REGION_MS : OTHER_REGION_MS,
      })),
      workMs: -Math.log(1 - this.random.next()) * MEAN_WORK_MS,
      priority: isPrimaryOnly ? PRIMARY_PRIORITY : READ_PRIORITY,
      maxWaitMs: OBJECTIVE_MS * PATIENCE_RATIO,
      deadline: arrivedAt + TIMEOUT_MS,
      onEnd: (hasRun) => {
        const elapsedMs = this.events.now() - arrivedAt;
        if (!hasRun) {
          this.refused += 1;
          return;
        }
        this.latencies.recordValue(Math.max(1, Math.round(elapsedMs)));
        if (elapsedMs <= OBJECTIVE_MS) count.inObjective += 1;
      },
    };
    const outage = this.pattern.faults.find(
      ({ kind, fromMs, untilMs }) =>
        kind === 'power-loss' && arrivedAt >= fromMs && arrivedAt < untilMs,
    );
    if (outage === undefined) this.policy.place(statement);
    else this.events.schedule(outage.untilMs - arrivedAt, () => this.policy.place(statement));
  }

  private pickOrganisation(): number {
    const target = this.random.next() * (this.cumulativeWeights.at(-1) ?? 1);
    const index = this.cumulativeWeights.findIndex((weight) => weight > target);
    return Math.max(0, index);
  }

  private isLagging(now: number): boolean {
    return this.pattern.faults.some(
      ({ kind, fromMs, untilMs }) => kind === 'lagging-replicas' && now >= fromMs && now < untilMs,
    );
  }

  private scheduleFault({ kind, fromMs, untilMs, factor = 1 }: PatternFault): void {
    const [first] = this.members;
    if (kind === 'slow-member' && first !== undefined) {
      this.events.schedule(fromMs, () => Object.assign(first, { slowness: factor }));
      this.events.schedule(untilMs, () => Object.assign(first, { slowness: 1 }));
    } else if (kind === 'lost-host') {
      this.events.schedule(fromMs, () => this.policy.lostHosts.add(0));
    } else if (kind === 'rolling-restart') {
      const stepMs = (untilMs - fromMs) / this.members.length;
      this.members.forEach((member, index) => {
        this.events.schedule(fromMs + index * stepMs, () => member.closeConnections('host'));
      });
    } else if (kind === 'power-loss') {
      for (const member of this.members) {
        this.events.schedule(fromMs, () => member.closeConnections('host'));
      }
    }
  }
}
