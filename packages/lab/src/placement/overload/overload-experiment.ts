import {
  resolveConnectionBudget,
  toBrand,
  TransactionBudget,
  type OrganisationId,
} from '@heatherledge/core';
import { EventQueue } from '../../faults/event-queue.js';
import { SeededRandom } from '../../faults/random.js';
import { OverloadMember } from './overload-member.js';
import {
  type Deployment,
  FAULT_FROM_MS,
  FAULT_UNTIL_MS,
  type OverloadPattern,
  type RequestClass,
} from './overload-patterns.js';
import { type OverloadPlan } from './overload-plans.js';
import { OverloadTally, type OverloadResult } from './overload-tally.js';
import { PIPELINED, type Scheduler } from './schedulers.js';

const GROUPS = 4;
const MEMBERS_PER_GROUP = 3;
const ORGANISATIONS = 140;
const DURATION_MS = 12_000;
/** Part of the members' slots that the usual load takes. */
const USUAL_UTILISATION = 0.75;
/** Zipf-like weights make a few organisations large. */
const ORGANISATION_SKEW = 0.9;
const LARGE_ORGANISATIONS = 2;
const WAVE_PERIOD_MS = 6000;
/** Callers wait for twice the objective. */
const TIMEOUT_FACTOR = 2;
/** The longest statements of the page take 10.8 times the mean. */
const MAX_SERVICE_FACTOR = 10.8;
const BEGIN_SERVICE_MS = 1;
const STATEMENTS_IN_TRANSACTION = 2;
/** Time between the statements of a transaction: a round trip of its caller. */
const TRANSACTION_GAP_MS = 3;
const IDLE_TRANSACTION_MS = 3000;
const MAX_CONNECTION_WAIT_IN_SLOT_MS = 100;
const BUSY_RETRY_MS = 20;
/** Way from the caller to the member and back. */
const ROUND_TRIP_MS = 3;

interface Node {
  readonly member: OverloadMember;
  readonly scheduler: Scheduler;
  readonly transactions: TransactionBudget;
}

interface Statement {
  readonly kind: RequestClass;
  readonly organisation: number;
  readonly arrivedAt: number;
  readonly workMs: number;
  readonly isInTransaction: boolean;
}

/** Called with whether the member replied. */
type OnEnd = (hasReply: boolean) => void;

/** Replays one pattern of one deployment under one plan. */
export class OverloadExperiment {
  private readonly events = new EventQueue();

  private readonly random: SeededRandom;

  private readonly groups: readonly (readonly Node[])[];

  private readonly tally: OverloadTally;

  private readonly cumulativeWeights: readonly number[];

  private readonly excessFactor: number;

  constructor(
    private readonly deployment: Deployment,
    private readonly pattern: OverloadPattern,
    private readonly plan: OverloadPlan,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.tally = new OverloadTally(deployment.classes);
    const { slots, connections } = deployment;
    const { maxConnections } = resolveConnectionBudget(connections, 'host');
    const createNode = (): Node => ({
      member: new OverloadMember(slots, maxConnections, this.events),
      scheduler: plan.create(slots, this.events),
      transactions: new TransactionBudget(slots + PIPELINED),
    });
    this.groups = Array.from({ length: GROUPS }, () =>
      Array.from({ length: MEMBERS_PER_GROUP }, createNode),
    );
    let sum = 0;
    let usual = 0;
    this.cumulativeWeights = Array.from({ length: ORGANISATIONS }, (_, index) => {
      const weight = computeWeight(index);
      usual += weight;
      sum += weight * (index < LARGE_ORGANISATIONS ? pattern.largeFactor : 1);
      return sum;
    });
    this.excessFactor = sum / usual;
  }

  /** Runs the pattern to its end. */
  run(): OverloadResult {
    this.groups.forEach((_, group) => {
      for (const kind of this.deployment.classes) this.scheduleArrival(group, kind);
      this.scheduleIdle(group);
    });
    this.scheduleSlowness(this.groups[0]?.[1]);
    this.scheduleSlowness(this.groups.at(-1)?.[0]);
    this.events.runUntil(DURATION_MS * 2);
    let busyRefusals = 0;
    for (const { member } of this.groups.flat()) busyRefusals += member.busyRefusals;
    return this.tally.computeResult(busyRefusals);
  }

  private computeRate(group: number, kind: RequestClass, now: number): number {
    const { classes, slots } = this.deployment;
    const { burstFactor, waveHeight } = this.pattern;
    const meanMs = classes.reduce((sum, other) => sum + other.share * other.meanServiceMs, 0);
    const usual = (USUAL_UTILISATION * slots * MEMBERS_PER_GROUP) / meanMs;
    const leastUrgent = Math.max(...classes.map(({ urgency }) => urgency));
    const isBurst = isFaulty(now) && kind.urgency === leastUrgent;
    const phase = (now / WAVE_PERIOD_MS + group / GROUPS) * 2 * Math.PI;
    const wave = 1 + waveHeight * Math.sin(phase);
    return usual * kind.share * (isBurst ? burstFactor : 1) * wave * this.excessFactor;
  }

  private scheduleArrival(group: number, kind: RequestClass): void {
    const now = this.events.now();
    if (now >= DURATION_MS) return;
    const delayMs = -Math.log(1 - this.random.next()) / this.computeRate(group, kind, now);
    this.events.schedule(delayMs, () => {
      this.submit(group, kind);
      this.scheduleArrival(group, kind);
    });
  }

  private submit(group: number, kind: RequestClass): void {
    const organisation = this.pickOrganisation();
    const arrivedAt = this.events.now();
    const isPrimaryOnly = this.random.next() < kind.primaryShare;
    const isInTransaction = this.random.next() < kind.transactionShare;
    const workMs = Math.min(
      kind.meanServiceMs * MAX_SERVICE_FACTOR,
      -Math.log(1 - this.random.next()) * kind.meanServiceMs,
    );
    const nodes = this.groups[group] as readonly Node[];
    const isLagging = this.pattern.isLagging && isFaulty(arrivedAt);
    const eligible = isPrimaryOnly || isLagging ? nodes.slice(0, 1) : [...nodes];
    const statement = { kind, organisation, arrivedAt, workMs, isInTransaction: false };
    const count = this.tally.recordArrival(kind, organisation);
    const settle = (hasReply: boolean): void => {
      const elapsedMs = this.events.now() - arrivedAt + ROUND_TRIP_MS;
      count(hasReply, hasReply && elapsedMs <= kind.objectiveMs);
    };
    if (isInTransaction) this.transact(nodes[0] as Node, statement, count);
    else this.runSingle(eligible, statement, settle);
  }

  /** Runs a statement at the member with the shortest queue, or else at the next one. */
  private runSingle(eligible: readonly Node[], statement: Statement, onEnd: OnEnd): void {
    const [first, second] = [...eligible].sort(
      (left, right) => countPending(left) - countPending(right),
    );
    this.runAt(first as Node, statement, (outcome) => {
      if (outcome === 'rejected' && second !== undefined) {
        this.runAt(second, statement, (other) => onEnd(other === 'answered'));
      } else onEnd(outcome === 'answered');
    });
  }

  private runAt(
    { scheduler, member }: Node,
    statement: Statement,
    onEnd: (outcome: 'answered' | 'rejected' | 'lost') => void,
  ): void {
    this.schedule(
      scheduler,
      statement,
      () => onEnd('rejected'),
      (release) => {
        member.acquire(MAX_CONNECTION_WAIT_IN_SLOT_MS, (isHeld) => {
          if (!isHeld) {
            release(false);
            onEnd('rejected');
            return;
          }
          this.send(member, statement, (hasReply) => {
            member.release();
            release(hasReply);
            onEnd(hasReply ? 'answered' : 'lost');
          });
        });
      },
    );
  }

  private schedule(
    scheduler: Scheduler,
    statement: Statement,
    reject: () => void,
    start: (release: OnEnd) => void,
  ): void {
    const { kind, organisation, arrivedAt, workMs, isInTransaction } = statement;
    const { urgency, objectiveMs } = kind;
    scheduler.submit({
      organisation: `o${organisation}`,
      weight: computeWeight(organisation),
      urgency,
      objectiveMs,
      objectiveAt: arrivedAt + objectiveMs,
      timeoutAt: arrivedAt + objectiveMs * TIMEOUT_FACTOR,
      workMs,
      isInTransaction,
      start,
      reject,
    });
  }

  /** Sends a statement until the member is not too busy; the caller gives up after its timeout. */
  private send(member: OverloadMember, statement: Statement, onEnd: OnEnd): void {
    const timeoutAt = statement.arrivedAt + statement.kind.objectiveMs * TIMEOUT_FACTOR;
    let isEnded = false;
    const end = (hasReply: boolean): void => {
      if (isEnded) return;
      isEnded = true;
      onEnd(hasReply);
    };
    const attempt = (): void => {
      if (isEnded) return;
      member.send(statement.workMs, (hasRun) => {
        if (hasRun) end(true);
        else this.events.schedule(BUSY_RETRY_MS, attempt);
      });
    };
    this.events.schedule(timeoutAt - this.events.now(), () => end(false));
    attempt();
  }

  /** Begins a transaction, runs its statements, and counts it as one request. */
  private transact(
    node: Node,
    first: Statement,
    count: (hasReply: boolean, isInTime: boolean) => void,
  ): void {
    const { kind, organisation } = first;
    this.begin(node, first, (end) => {
      if (end === undefined) {
        count(false, false);
        return;
      }
      let isInTime = this.events.now() - first.arrivedAt + ROUND_TRIP_MS <= kind.objectiveMs;
      const runNext = (remaining: number): void => {
        if (remaining === 0) {
          end();
          count(true, isInTime);
          return;
        }
        const arrivedAt = this.events.now();
        const workMs = -Math.log(1 - this.random.next()) * kind.meanServiceMs;
        const statement = { kind, organisation, arrivedAt, workMs, isInTransaction: true };
        const fail = (): void => {
          end();
          count(false, false);
        };
        this.schedule(node.scheduler, statement, fail, (release) => {
          this.send(node.member, statement, (hasReply) => {
            release(hasReply);
            if (!hasReply) {
              fail();
              return;
            }
            const elapsedMs = this.events.now() - arrivedAt + ROUND_TRIP_MS;
            isInTime &&= elapsedMs <= kind.objectiveMs;
            this.events.schedule(TRANSACTION_GAP_MS, () => runNext(remaining - 1));
          });
        });
      };
      this.events.schedule(TRANSACTION_GAP_MS, () => runNext(STATEMENTS_IN_TRANSACTION));
    });
  }

  /** @param onBegun - called with how to end the transaction, or undefined if it was rejected */
  private begin(
    { member, scheduler, transactions }: Node,
    statement: Statement,
    onBegun: (end: (() => void) | undefined) => void,
  ): void {
    const begin = { ...statement, workMs: BEGIN_SERVICE_MS };
    const acquire = (maxWaitMs: number, release: OnEnd, onEnd: () => void): void => {
      member.acquire(maxWaitMs, (isHeld) => {
        if (!isHeld) {
          release(false);
          onEnd();
          onBegun(undefined);
          return;
        }
        const end = (): void => {
          member.release();
          onEnd();
        };
        this.send(member, begin, (hasReply) => {
          release(hasReply);
          if (!hasReply) end();
          onBegun(hasReply ? end : undefined);
        });
      });
    };
    if (!this.plan.limitsTransactions) {
      acquire(
        statement.kind.objectiveMs * 0.7,
        () => {},
        () => {},
      );
      return;
    }
    const startedAt = this.events.now();
    const organisation = toBrand<OrganisationId>(`o${statement.organisation}`);
    const decision = transactions.request(organisation, member.maxConnections, startedAt);
    if (decision.kind === 'refused') {
      onBegun(undefined);
      return;
    }
    const onEnd = (): void => transactions.recordEnd(organisation, this.events.now() - startedAt);
    const reject = (): void => {
      onEnd();
      onBegun(undefined);
    };
    this.schedule(scheduler, begin, reject, (release) =>
      acquire(MAX_CONNECTION_WAIT_IN_SLOT_MS, release, onEnd),
    );
  }

  /** Begins transactions of one organisation, whose clients sit idle in them. */
  private scheduleIdle(group: number): void {
    const { idlePerSecond } = this.pattern;
    if (idlePerSecond === 0 || this.events.now() >= FAULT_UNTIL_MS) return;
    const [kind] = this.deployment.classes as [RequestClass];
    const node = this.groups[group]?.[0] as Node;
    const organisation = ORGANISATIONS - 1;
    const statement = { kind, organisation, workMs: 0, isInTransaction: false };
    this.events.schedule(1000 / idlePerSecond, () => {
      this.begin(node, { ...statement, arrivedAt: this.events.now() }, (end) => {
        if (end !== undefined) this.events.schedule(IDLE_TRANSACTION_MS, end);
      });
      this.scheduleIdle(group);
    });
  }

  private pickOrganisation(): number {
    const target = this.random.next() * (this.cumulativeWeights.at(-1) ?? 1);
    return Math.max(
      0,
      this.cumulativeWeights.findIndex((weight) => weight > target),
    );
  }

  private scheduleSlowness(node: Node | undefined): void {
    const { slowFactor, flapMs } = this.pattern;
    if (node === undefined || slowFactor === 1) return;
    const stepMs = flapMs === 0 ? FAULT_UNTIL_MS - FAULT_FROM_MS : flapMs;
    let isSlow = false;
    for (let at = FAULT_FROM_MS; at < FAULT_UNTIL_MS; at += stepMs) {
      isSlow = !isSlow;
      const slowness = isSlow ? slowFactor : 1;
      this.events.schedule(at, () => Object.assign(node.member, { slowness }));
    }
    this.events.schedule(FAULT_UNTIL_MS, () => Object.assign(node.member, { slowness: 1 }));
  }
}

function computeWeight(organisation: number): number {
  return 1 / (organisation + 1) ** ORGANISATION_SKEW;
}

function isFaulty(now: number): boolean {
  return now >= FAULT_FROM_MS && now < FAULT_UNTIL_MS;
}

function countPending({ scheduler, member }: Node): number {
  return Math.max(scheduler.pending, member.pending);
}
