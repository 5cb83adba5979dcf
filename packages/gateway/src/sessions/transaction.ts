/** One transaction of a caller, bound to one connection of one member. */
import {
  chooseReadMember,
  type MemberId,
  type Milliseconds,
  type ReadPlacement,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { MemberPool } from '../members/member-pool.js';
import type { ExchangeResult, MemberConnection } from '../members/member-connection.js';
import type { StatementReply, WireError } from '../ports/caller-protocol.js';
import {
  type CallerState,
  createAcquireRequest,
  createErrorReply,
  type DataStatement,
  type Grant,
  type SessionServices,
} from './session-context.js';

/** Pause before a member is asked again to begin. */
const BEGIN_PAUSE_MS = 20;
/** Time for a rollback; the connection is dropped after that, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;
/** Pause before a statement that surely did not run is offered again. */
const BUSY_PAUSE_MS = 15;

interface Place {
  readonly member: MemberId;
  readonly pool: MemberPool;
  readonly connection: MemberConnection;
}

/** Runs a transaction's statements. */
export class Transaction {
  private place: Place | undefined;

  private failure: WireError | undefined;

  private readonly opening: Promise<void>;

  private hasWritten = false;

  private isEnded = false;

  /** The primary's queue is too long, and no other member can serve. */
  private isOverloaded = false;

  private idleTimer: NodeJS.Timeout | undefined;

  /**
   * Begins at once, so that the member is ready when the first statement comes.
   *
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param readOnly - whether the caller said that it only reads
   * @param arrivedAt - when the first byte of the transaction arrived
   * @param services - what it works with
   * @param idleMs - time without a statement after which it is rolled back
   */
  constructor(
    readonly grant: Grant,
    private readonly state: CallerState,
    private readonly readOnly: boolean,
    private readonly arrivedAt: Milliseconds,
    private readonly services: SessionServices,
    private readonly idleMs: number,
  ) {
    this.opening = this.begin();
    this.startIdleTimer();
  }

  /** @returns whether every further statement is refused */
  get isFailed(): boolean {
    return this.failure !== undefined;
  }

  /**
   * Runs a read or write.
   *
   * @param statement - the statement
   * @returns the answer for the caller
   */
  async execute(statement: DataStatement): Promise<StatementReply> {
    clearTimeout(this.idleTimer);
    await this.opening;
    if (this.place === undefined || this.isEnded) return this.reportFailure();
    const deadline = statement.arrivedAt + this.grant.route.statementTimeoutMs;
    if (statement.access === 'write') this.hasWritten = true;
    const reply = await this.exchange(statement, deadline);
    this.startIdleTimer();
    return reply;
  }

  /**
   * Commits.
   *
   * @param requestId - the caller's id
   * @param text - the statement as it came
   * @param arrivedAt - when its first byte arrived
   * @returns the answer for the caller
   */
  async commit(requestId: string, text: string, arrivedAt: Milliseconds): Promise<StatementReply> {
    clearTimeout(this.idleTimer);
    await this.opening;
    if (this.place === undefined || this.failure !== undefined) {
      this.rollback();
      return { ...this.reportFailure(), state: 'idle' };
    }
    const deadline = arrivedAt + this.grant.route.statementTimeoutMs;
    const statement = { requestId, text, access: 'read' as const, prepared: undefined, arrivedAt };
    const reply = await this.exchange(statement, deadline, true);
    if (reply.error === undefined && this.hasWritten && reply.mark !== undefined) {
      this.state.marks.set(this.grant.route.group, reply.mark);
    }
    this.rollback();
    return { ...reply, state: 'idle' };
  }

  /** Ends the transaction without keeping anything; a commit that was answered is not touched. */
  rollback(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.idleTimer);
    void this.opening.then(async () => this.releasePlace());
  }

  /**
   * Rolls back by the gateway's own decision; the caller is told at its next statement.
   *
   * @param reason - why
   */
  abort(reason: string): void {
    if (this.isEnded) return;
    this.failure ??= { code: 'aborted', text: reason };
    this.services.log.info('transaction.aborted', { route: this.grant.route.name, reason });
    this.rollback();
  }

  /** @returns the answer to a statement after the transaction has failed */
  reportFailure(): StatementReply {
    const { code, text } = this.failure ?? {
      code: 'aborted' as const,
      text: 'transaction is over',
    };
    return createErrorReply(code, text, 'failed');
  }

  private async begin(): Promise<void> {
    const { clock, random } = this.services;
    const deadline = this.arrivedAt + this.grant.route.statementTimeoutMs;
    const tried = new Set<MemberId>();
    let failure: WireError = { code: 'busy', text: 'no member can begin a transaction' };
    while (clock.now() < deadline && !this.isEnded) {
      const result = await this.tryBegin(tried, deadline);
      if (result === undefined) return;
      failure = result;
      if (result.code === 'key-rejected' || this.isOverloaded) break;
      await delay(BEGIN_PAUSE_MS * (1 + random()));
    }
    this.failure ??= failure;
  }

  /** @returns undefined if the transaction is open, or why it is not */
  private async tryBegin(tried: Set<MemberId>, deadline: number): Promise<WireError | undefined> {
    const { clock, groups, judge } = this.services;
    const placement = await this.choosePlace(tried, deadline);
    const pool = placement === undefined ? undefined : groups.findPool(placement.member);
    if (placement === undefined || pool === undefined) {
      return { code: 'busy', text: 'no member can begin a transaction' };
    }
    tried.add(placement.member);
    const waitMs = deadline - clock.now();
    const acquired = await pool.acquire(createAcquireRequest(this.grant, this.state, waitMs));
    if (acquired.kind === 'refused') {
      this.isOverloaded = acquired.reason === 'overloaded' && !this.readOnly;
      return { code: 'busy', text: `no connection: ${acquired.reason}` };
    }
    const { connection } = acquired;
    const objection = judge.findObjection(this.grant) ?? this.findStalePlace(placement);
    if (objection !== undefined) {
      pool.release(connection);
      return { code: objection, text: 'the key or the primary is not known to be valid' };
    }
    const command = { kind: 'begin' as const, readOnly: this.readOnly, waitFor: placement.waitFor };
    const remainingMs = deadline - clock.now();
    const exchange = await connection.exchangeInSession(
      this.state,
      undefined,
      command,
      remainingMs,
    );
    if (exchange.kind === 'answered' && exchange.reply.error === undefined) {
      this.place = { member: placement.member, pool, connection };
      return undefined;
    }
    pool.release(connection);
    if (exchange.kind === 'lost') return { code: 'busy', text: exchange.reason };
    const error = exchange.reply.error as WireError;
    if (error.code === 'lagging') groups.recordLagging(placement.member);
    return error;
  }

  private async choosePlace(
    tried: ReadonlySet<MemberId>,
    deadline: number,
  ): Promise<ReadPlacement | undefined> {
    const { clock, groups } = this.services;
    const { route } = this.grant;
    if (this.readOnly) {
      const needs = {
        route,
        sessionPosition: this.state.marks.get(route.group),
        stalenessPosition: groups.primaries.findPositionForAge(route, this.arrivedAt),
        tried,
      };
      const placement = chooseReadMember(groups.listReaders(route.group), needs, clock.now());
      if (placement !== undefined) return placement;
    }
    const member = await groups.primaries.waitFor(route.group, deadline - clock.now());
    return member === undefined ? undefined : { member, waitFor: undefined };
  }

  private findStalePlace(placement: ReadPlacement): 'busy' | undefined {
    const { clock, groups } = this.services;
    if (placement.waitFor !== undefined) return undefined;
    if (groups.primaries.find(this.grant.route.group) !== placement.member) return 'busy';
    return groups.confirmation.mayTrustPrimary(clock.now()) ? undefined : 'busy';
  }

  private async exchange(
    statement: DataStatement,
    deadline: number,
    isCommit = false,
  ): Promise<StatementReply> {
    const { clock, judge } = this.services;
    const { connection } = this.place as Place;
    for (;;) {
      // A caller may leave during a pause; the connection then belongs to others.
      if (this.isEnded) return this.fail('aborted', 'the transaction was rolled back');
      const objection = judge.findObjection(this.grant);
      if (objection !== undefined) return this.fail(objection, 'the key is not known to be valid');
      const { requestId, text, prepared } = statement;
      const exchange = await connection.exchangeInSession(
        this.state,
        prepared,
        { kind: 'forward', requestId, text, waitFor: undefined },
        deadline - clock.now(),
      );
      if (exchange.kind === 'lost') return this.failLost(exchange, isCommit);
      const { reply } = exchange;
      const mayRetry = reply.error?.code === 'busy' && reply.state === 'open';
      if (!mayRetry || clock.now() + BUSY_PAUSE_MS >= deadline) return this.judgeReply(reply);
      await delay(BUSY_PAUSE_MS);
    }
  }

  private judgeReply(reply: StatementReply): StatementReply {
    if (reply.error !== undefined && reply.state === 'failed') this.failure ??= reply.error;
    // A member that left the transaction by itself has rolled it back.
    if (reply.error !== undefined && reply.state === 'idle') {
      this.failure ??= reply.error;
      return { ...reply, state: 'failed' };
    }
    return reply;
  }

  private failLost(
    exchange: Extract<ExchangeResult, { kind: 'lost' }>,
    isCommit: boolean,
  ): StatementReply {
    if (isCommit && this.hasWritten && exchange.wasSent) {
      return this.fail('in-doubt', `the outcome is not known: ${exchange.reason}`);
    }
    return this.fail('aborted', `rolled back: ${exchange.reason}`);
  }

  private fail(code: WireError['code'], text: string): StatementReply {
    this.failure ??= { code, text };
    return createErrorReply(code, text, 'failed');
  }

  private async releasePlace(): Promise<void> {
    const { place } = this;
    if (place === undefined) return;
    this.place = undefined;
    const { pool, connection } = place;
    if (!connection.isClosed && connection.transactionState !== 'idle') {
      const exchange = await connection.exchange({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
      if (exchange.kind === 'answered' && exchange.reply.state !== 'idle') {
        pool.discard(connection, 'the transaction could not be rolled back');
      }
    }
    pool.release(connection);
  }

  private startIdleTimer(): void {
    if (this.isEnded || this.failure !== undefined) return;
    this.idleTimer = setTimeout(() => this.abort('idle for too long'), this.idleMs);
  }
}
