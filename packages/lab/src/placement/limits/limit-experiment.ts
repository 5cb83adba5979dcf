import {
  MemberPace,
  MemberSlotQueue,
  type OrganisationId,
  type SlotUse,
  type StatementLimit,
  type StatementOutcome,
  StatementTimes,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { EventQueue } from '../../faults/event-queue.js';
import { SeededRandom } from '../../faults/random.js';
import {
  AimdLimit,
  GradientLimit,
  MeasuredMinimumLimit,
  RampLimit,
  VegasLimit,
} from './limit-baselines.js';
import type { LimitPattern } from './limit-patterns.js';
import { LIMIT_SLOTS, LimitedMember } from './limited-member.js';

const FULL_LIMIT = LIMIT_SLOTS + 1;

type LimitFactory = (member: LimitedMember, now: number) => StatementLimit;

/** The limits that are compared. All start with one statement, but the fixed and the all-knowing one. */
export const LIMIT_FACTORIES: ReadonlyMap<string, LimitFactory> = new Map<string, LimitFactory>([
  ['adaptive', (_, now) => new MemberPace(FULL_LIMIT, toMilliseconds(now))],
  ['fixed limit', () => ({ limit: () => FULL_LIMIT, recordEnd: () => {} })],
  ['ramp of 10 s', (_, now) => new RampLimit(FULL_LIMIT, toMilliseconds(now))],
  ['gradient', () => new GradientLimit(FULL_LIMIT)],
  ['measured minimum', () => new MeasuredMinimumLimit(FULL_LIMIT)],
  ['AIMD', () => new AimdLimit(FULL_LIMIT)],
  ['Vegas', () => new VegasLimit(FULL_LIMIT)],
  ['all-knowing', (member) => ({ limit: () => member.bearable, recordEnd: () => {} })],
]);

/** Result of one pattern under one limit. */
export interface LimitResult {
  /** Share of the statements that were answered within their objective. */
  readonly inObjective: number;
  /** The same of the worst-served organisation with enough statements to tell. */
  readonly worstOrganisation: number;
  /** Time from which the member served well until its limit was full, in milliseconds. */
  readonly toFullMs: number;
  /** Statements that the member refused as busy or lost, and those answered too late. */
  readonly notBorne: number;
}

const MEMBERS = 3;
const SECONDS = 20;
const PER_SECOND = 900;
const MEAN_WORK_MS = 10;
const ORGANISATIONS = 20;
const MIN_STATEMENTS = 100;
const OBJECTIVES_MS = [400, 800] as const;
const PATIENCE_RATIO = 0.7;
const MAX_ATTEMPTS = 2;
const CHECK_INTERVAL_MS = 10;
const LONG_AGO_MS = -60_000;

interface Statement {
  readonly organisation: number;
  readonly priority: number;
  readonly objectiveMs: number;
  readonly arrivedAt: number;
  readonly workMs: number;
  attempts: number;
}

interface Host {
  readonly member: LimitedMember;
  readonly queue: MemberSlotQueue;
  readonly times: StatementTimes;
  readonly waiting: Map<string, Statement>;
  limit: StatementLimit;
}

/** Replays one pattern of failures of a member under one kind of limit. */
export class LimitExperiment {
  private readonly events = new EventQueue();

  private readonly random: SeededRandom;

  private readonly hosts: readonly Host[];

  private readonly counts = Array.from({ length: ORGANISATIONS }, () => ({ asked: 0, inTime: 0 }));

  private lateCount = 0;

  constructor(
    private readonly pattern: LimitPattern,
    private readonly createLimit: LimitFactory,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.hosts = Array.from({ length: MEMBERS }, () => this.createHost());
  }

  /** Runs the pattern to its end. */
  run(): LimitResult {
    const first = this.hosts[0] as Host;
    this.pattern.schedule(this.events, first.member, () => {
      first.limit = this.createLimit(first.member, this.events.now());
    });
    let toFullMs = Infinity;
    const check = (): void => {
      const now = toMilliseconds(this.events.now());
      for (const host of this.hosts) this.startWaiting(host);
      const isFull = first.limit.limit(now) >= FULL_LIMIT;
      if (now >= this.pattern.goodFromMs && isFull) {
        toFullMs = Math.min(toFullMs, now - this.pattern.goodFromMs);
      }
      if (now < SECONDS * 1000) this.events.schedule(CHECK_INTERVAL_MS, check);
    };
    check();
    this.scheduleArrival();
    this.events.runUntil(SECONDS * 1000 + 2000);
    const asked = this.counts.reduce((sum, count) => sum + count.asked, 0);
    const inTime = this.counts.reduce((sum, count) => sum + count.inTime, 0);
    const shares = this.counts
      .filter((count) => count.asked >= MIN_STATEMENTS)
      .map((count) => count.inTime / count.asked);
    return {
      inObjective: inTime / asked,
      worstOrganisation: Math.min(1, ...shares),
      toFullMs,
      notBorne: first.member.notBorne + this.lateCount,
    };
  }

  private createHost(): Host {
    const member = new LimitedMember(this.events);
    const limit: StatementLimit = {
      limit: (now) => host.limit.limit(now),
      recordEnd: (end, now) => host.limit.recordEnd(end, now),
    };
    const queue = new MemberSlotQueue(LIMIT_SLOTS, limit);
    const host: Host = {
      member,
      queue,
      times: new StatementTimes(),
      waiting: new Map(),
      limit: this.createLimit(member, this.pattern.countFromMs === 0 ? 0 : LONG_AGO_MS),
    };
    return host;
  }

  private scheduleArrival(): void {
    if (this.events.now() >= SECONDS * 1000) return;
    this.events.schedule((-Math.log(1 - this.random.next()) * 1000) / PER_SECOND, () => {
      const priority = this.random.next() < 0.4 ? 0 : 1;
      const organisation = Math.floor(this.random.next() ** 2 * ORGANISATIONS);
      const isCounted = this.events.now() >= this.pattern.countFromMs;
      const count = isCounted ? this.counts[organisation] : undefined;
      if (count !== undefined) count.asked += 1;
      this.place({
        organisation,
        priority: priority + 1,
        objectiveMs: OBJECTIVES_MS[priority] ?? 0,
        arrivedAt: this.events.now(),
        workMs: -Math.log(1 - this.random.next()) * MEAN_WORK_MS,
        attempts: 0,
      });
      this.scheduleArrival();
    });
  }

  /** Sends a statement to the member with the least estimated work, other than the one that failed. */
  private place(statement: Statement, failed?: Host): void {
    statement.attempts += 1;
    const now = toMilliseconds(this.events.now());
    const candidates = this.hosts.filter((host) => host !== failed);
    const costs = candidates.map(
      ({ queue, times }) =>
        (queue.pending + 1) * (times.findMeanMs(statement.priority, now) ?? MEAN_WORK_MS),
    );
    const host = candidates[costs.indexOf(Math.min(...costs))] as Host;
    const maxEstimatedWaitMs = statement.objectiveMs * PATIENCE_RATIO;
    const deadline = toMilliseconds(statement.arrivedAt + statement.objectiveMs);
    const organisation = toBrand<OrganisationId>(`o${statement.organisation}`);
    const request = { organisation, weight: 1, priority: statement.priority, maxEstimatedWaitMs };
    const decision = host.queue.request({ ...request, deadline }, now);
    this.takeRejected(host);
    if (decision.kind === 'granted') this.send(host, statement, decision.use);
    else if (decision.kind === 'refused') this.retry(host, statement);
    else host.waiting.set(`${decision.ticket.priority}/${decision.ticket.ticket}`, statement);
  }

  private send(host: Host, statement: Statement, use: SlotUse): void {
    host.member.send(statement.workMs, (outcome) => this.end(host, statement, use, outcome));
  }

  private end(host: Host, statement: Statement, use: SlotUse, outcome: StatementOutcome): void {
    const now = toMilliseconds(this.events.now());
    const isAnswered = outcome === 'answered';
    host.queue.recordEnd(use, now, isAnswered, outcome);
    // A lost reply makes the member as unattractive as the time that was waited for it.
    if (outcome !== 'busy') host.times.record(statement.priority, now - use.startedAt, now);
    const next = host.queue.release(now);
    if (next !== undefined) this.startNext(host, next);
    this.startWaiting(host);
    if (!isAnswered) this.retry(host, statement);
    else if (now - statement.arrivedAt <= statement.objectiveMs) {
      const isCounted = statement.arrivedAt >= this.pattern.countFromMs;
      const count = isCounted ? this.counts[statement.organisation] : undefined;
      if (count !== undefined) count.inTime += 1;
    } else this.lateCount += 1;
  }

  private startWaiting(host: Host): void {
    const now = toMilliseconds(this.events.now());
    host.queue.expire(now);
    for (let next = host.queue.startNext(now); next; next = host.queue.startNext(now)) {
      this.startNext(host, next);
    }
    this.takeRejected(host);
  }

  private startNext(
    host: Host,
    { priority, ticket, use }: NonNullable<ReturnType<MemberSlotQueue['startNext']>>,
  ): void {
    const key = `${priority}/${ticket}`;
    const statement = host.waiting.get(key);
    host.waiting.delete(key);
    if (statement !== undefined) this.send(host, statement, use);
  }

  private takeRejected(host: Host): void {
    for (const { ticket } of host.queue.takeRejected()) {
      const key = `${ticket.priority}/${ticket.ticket}`;
      const statement = host.waiting.get(key);
      host.waiting.delete(key);
      if (statement !== undefined) this.retry(host, statement);
    }
  }

  private retry(host: Host, statement: Statement): void {
    const isInTime = this.events.now() < statement.arrivedAt + statement.objectiveMs;
    if (isInTime && statement.attempts < MAX_ATTEMPTS) this.place(statement, host);
  }
}
