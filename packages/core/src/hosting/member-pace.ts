import { type Milliseconds, toMilliseconds } from '../types/ids.js';
import { StatementTimeTrend } from './statement-time-trend.js';

/** How a statement at a member ended. */
export type StatementOutcome =
  /** With a result. */
  | 'answered'
  /** With an error of its own, which tells nothing about how fast the member is. */
  | 'failed'
  /** The member refused it because it is busy. */
  | 'busy'
  /** Its timeout passed, or its connection was lost. */
  | 'lost'
  /** It was not sent to the member. */
  | 'unsent';

/** A statement that ended. */
export interface StatementEnd {
  /** Priority class; negative for statements of open transactions. */
  readonly priority: number;
  /** Time from its start at the member to its end, in milliseconds. */
  readonly elapsedMs: number;
  readonly outcome: StatementOutcome;
  /** Time within which its caller expects the answer, in milliseconds. */
  readonly objectiveMs: number;
  /** Statements that ran at the member when it ended, including it. */
  readonly running: number;
}

/** Why a limit changed. */
export type PaceCause = 'busy' | 'lost' | 'slow' | 'bears' | 'start';

/** A change of a limit, for logs. */
export interface PaceChange {
  readonly cause: PaceCause;
  readonly from: number;
  readonly to: number;
  readonly fullLimit: number;
  /** Moving share of statements without a reply. */
  readonly lostShare: number;
  /** Mean time of the class of the latest statement, in milliseconds; undefined if unknown. */
  readonly meanMs: number | undefined;
  /** Lowest such mean seen lately, in milliseconds; undefined if unknown. */
  readonly lowestMs: number | undefined;
}

/** Limit at a start or a return, and lower bound: one statement that shows how the member answers. */
const MIN_STATEMENTS = 1;
/** Steps in which the limit rises from its lower bound to the full value. */
const RISE_STEPS = 8;
/** Minimum time between two steps; eight of them take 0.8 s. */
const RISE_INTERVAL_MS = 100;
/**
 * The same at the limit at which the member last showed overload. With 100 ms, a member that bears one
 * statement less than its slots refuses up to ten statements in each second.
 */
const RETRY_INTERVAL_MS = 1000;
/** Remaining part of the limit after a sign of overload. */
const BUSY_FACTOR = 0.7;
const LOST_FACTOR = 0.5;
const SLOW_FACTOR = 0.8;
/** Time between two decreases because of slow statements, whose mean follows the limit with a delay. */
const SLOW_INTERVAL_MS = 100;
/** Weight of the newest statement in the share of lost ones. */
const LOST_SMOOTHING = 0.1;
/** Exceeded by three lost statements in succession, but not by one of twenty. */
const MAX_LOST_SHARE = 0.25;
/** A member that received nothing for longer may have been served by another host, or restarted. */
const MAX_IDLE_MS = 5000;
/** Part of the full limit that a cold member gets. */
const REDUCED_FRACTION = 0.5;

/** What a queue needs of the limit of its member. */
export type StatementLimit = Pick<MemberPace, 'limit' | 'recordEnd'>;

/**
 * Finds how many statements may run at a member at once, from how it answers.
 *
 * Load pattern: a member starts cold, is slow by a factor, flaps or refuses part of its statements. The
 * limit falls at once by a factor, and rises by steps while the member answers well at its full limit.
 * Answers that are slower, but within the callers' objectives, only hold it. It stays between one
 * statement and the full limit.
 */
export class MemberPace {
  private current = MIN_STATEMENTS;

  private readonly trend = new StatementTimeTrend();

  private lostShare = 0;

  /** Good answers since the last change, while as many statements ran as the limit allows. */
  private borne = 0;

  private changedAt: Milliseconds;

  /** Statements that started before this time do not decrease the limit again. */
  private fallenAt: Milliseconds | undefined;

  /** Limit at which the member last showed overload. */
  private overloadedAtLimit = Infinity;

  private lastEndAt: Milliseconds | undefined;

  private coldUntil = toMilliseconds(0);

  private change: PaceChange | undefined;

  /**
   * @param fullLimit - upper bound of the limit, in statements
   * @param startedAt - current time
   */
  constructor(
    private readonly fullLimit: number,
    startedAt: Milliseconds,
  ) {
    this.changedAt = startedAt;
  }

  /**
   * @param now - current time
   * @returns statements that may run at the member at once, at least 1
   */
  limit(now: Milliseconds): number {
    // A statement that runs for longer than this counts as idle time, too.
    if (this.current > MIN_STATEMENTS && this.isIdle(now)) this.recordStart(now);
    const bound = now < this.coldUntil ? this.reducedLimit : this.fullLimit;
    return Math.max(MIN_STATEMENTS, Math.floor(Math.min(this.current, bound)));
  }

  /** @returns whether no statement has ended lately */
  isIdle(now: Milliseconds): boolean {
    return this.lastEndAt === undefined || now - this.lastEndAt > MAX_IDLE_MS;
  }

  /** Records that the member has started or returned, or that this host took it over. */
  recordStart(now: Milliseconds): void {
    this.lostShare = 0;
    this.overloadedAtLimit = Infinity;
    this.set('start', MIN_STATEMENTS, now);
  }

  /**
   * Records what the member's entry says about its warm-up.
   *
   * @param endsAt - end of the warm-up; a time that has passed if there is none
   * @param now - current time
   */
  recordWarmup(endsAt: Milliseconds, now: Milliseconds): void {
    const wasCold = now < this.coldUntil;
    this.coldUntil = endsAt;
    if (!wasCold && now < endsAt) this.recordStart(now);
  }

  /**
   * Records that a statement ended.
   *
   * @param end - how it ended
   * @param now - current time
   */
  recordEnd(end: StatementEnd, now: Milliseconds): void {
    const { outcome, priority, elapsedMs } = end;
    this.lastEndAt = now;
    if (outcome === 'unsent') return;
    const isLost = outcome === 'lost' ? 1 : 0;
    this.lostShare += LOST_SMOOTHING * (isLost - this.lostShare);
    if (outcome === 'answered') this.trend.record(priority, elapsedMs, now);
    const startedAt = now - elapsedMs;
    const mayFall = this.fallenAt === undefined || startedAt >= this.fallenAt;
    if (outcome === 'busy') {
      if (mayFall) this.fall('busy', BUSY_FACTOR, end, now);
    } else if (outcome === 'lost') {
      const hasLostMany = this.lostShare > MAX_LOST_SHARE;
      if (mayFall && hasLostMany) this.fall('lost', LOST_FACTOR, end, now);
    } else if (outcome === 'answered') this.recordAnswer(end, now, mayFall);
  }

  /** @returns the change of the limit since the last call, if it has changed */
  takeChange(): PaceChange | undefined {
    const { change } = this;
    this.change = undefined;
    return change;
  }

  private get reducedLimit(): number {
    return Math.ceil(this.fullLimit * REDUCED_FRACTION);
  }

  private recordAnswer(end: StatementEnd, now: Milliseconds, mayFall: boolean): void {
    const level = this.trend.classify(end.priority, end.objectiveMs, now);
    if (level !== 'usual') {
      this.borne = 0;
      // Within the objective fewer statements at once only leave the member idle.
      const isDue = this.fallenAt === undefined || now - this.fallenAt >= SLOW_INTERVAL_MS;
      if (level === 'late' && mayFall && isDue) this.fall('slow', SLOW_FACTOR, end, now);
      return;
    }
    if (end.running < Math.floor(this.current) || this.lostShare > MAX_LOST_SHARE) return;
    this.borne += 1;
    const next = Math.min(this.fullLimit, this.current + this.computeStep());
    const isRetry = Math.floor(next) >= this.overloadedAtLimit;
    const intervalMs = isRetry ? RETRY_INTERVAL_MS : RISE_INTERVAL_MS;
    if (this.borne < this.current || now - this.changedAt < intervalMs) return;
    if (isRetry) this.overloadedAtLimit = Infinity;
    if (next > this.current) this.set('bears', next, now, end.priority);
  }

  private computeStep(): number {
    return Math.max(1, (this.fullLimit - MIN_STATEMENTS) / RISE_STEPS);
  }

  private fall(
    cause: PaceCause,
    factor: number,
    { priority }: StatementEnd,
    now: Milliseconds,
  ): void {
    const next = Math.max(MIN_STATEMENTS, this.current * factor);
    this.fallenAt = now;
    if (next >= this.current) {
      this.borne = 0;
      return;
    }
    // After an outage the member bears what it did before, and a slow one holds the limit by itself.
    if (cause === 'busy') this.overloadedAtLimit = Math.floor(this.current);
    this.set(cause, next, now, priority);
  }

  private set(cause: PaceCause, to: number, now: Milliseconds, priority?: number): void {
    const from = this.change?.from ?? this.current;
    const times = priority === undefined ? undefined : this.trend.find(priority, now);
    const { fullLimit, lostShare } = this;
    const { meanMs, lowestMs } = times ?? {};
    this.change = { cause, from, to, fullLimit, lostShare, meanMs, lowestMs };
    this.current = to;
    this.changedAt = now;
    this.borne = 0;
  }
}
