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

/** Minimum delay before the next attempt to begin; the maximum is twice as long. */
const MIN_BEGIN_RETRY_DELAY_MS = 20;
/** Timeout of a rollback; the connection is dropped after that, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;
/** Delay before a statement that the member was too busy to run is retried. */
const BUSY_RETRY_DELAY_MS = 15;

/** The connection on which the transaction runs. */
interface MemberBinding {
  readonly member: MemberId;
  readonly pool: MemberPool;
  readonly connection: MemberConnection;
}

/** Runs the statements of one transaction, on one connection to one member. */
export class Transaction {
  private binding: MemberBinding | undefined;

  private failure: WireError | undefined;

  /** Resolves when the transaction has begun or failed to begin. */
  private readonly begun: Promise<void>;

  private hasWritten = false;

  private isEnded = false;

  /** Whether the primary is overloaded, in a transaction that only the primary can run. */
  private isOverloaded = false;

  private idleTimer: NodeJS.Timeout | undefined;

  /**
   * Begins at once, so that the member is ready when the first statement arrives.
   *
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param isReadOnly - whether the caller declared the transaction read-only
   * @param arrivedAt - when the first byte of the transaction arrived
   * @param services - services of the session
   * @param idleTimeoutMs - time without a statement after which the transaction is rolled back
   */
  constructor(
    readonly grant: Grant,
    private readonly state: CallerState,
    private readonly isReadOnly: boolean,
    private readonly arrivedAt: Milliseconds,
    private readonly services: SessionServices,
    private readonly idleTimeoutMs: number,
  ) {
    this.begun = this.begin();
    this.startIdleTimer();
  }

  /** @returns whether all further statements are refused */
  get isFailed(): boolean {
    return this.failure !== undefined;
  }

  /**
   * Runs a read or write.
   *
   * @param statement - the statement
   * @returns the reply for the caller
   */
  async execute(statement: DataStatement): Promise<StatementReply> {
    clearTimeout(this.idleTimer);
    await this.begun;
    if (this.binding === undefined || this.isEnded) return this.createFailureReply();
    const deadline = statement.arrivedAt + this.grant.route.statementTimeoutMs;
    if (statement.access === 'write') this.hasWritten = true;
    const reply = await this.runStatement(statement, deadline);
    this.startIdleTimer();
    return reply;
  }

  /**
   * Commits the transaction.
   *
   * @param requestId - the caller's id of the request
   * @param text - the statement as received
   * @param arrivedAt - when the statement's first byte arrived
   * @returns the reply for the caller
   */
  async commit(requestId: string, text: string, arrivedAt: Milliseconds): Promise<StatementReply> {
    clearTimeout(this.idleTimer);
    await this.begun;
    if (this.binding === undefined || this.failure !== undefined) {
      this.rollback();
      return { ...this.createFailureReply(), state: 'idle' };
    }
    const deadline = arrivedAt + this.grant.route.statementTimeoutMs;
    const statement = { requestId, text, access: 'read' as const, prepared: undefined, arrivedAt };
    const reply = await this.runStatement(statement, deadline, true);
    if (reply.error === undefined && this.hasWritten && reply.mark !== undefined) {
      this.state.commitPositions.set(this.grant.route.group, reply.mark);
    }
    this.rollback();
    return { ...reply, state: 'idle' };
  }

  /** Rolls the transaction back if it is still open at the member, and releases the connection. */
  rollback(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.idleTimer);
    void this.begun.then(async () => this.releaseConnection());
  }

  /**
   * Rolls back by decision of the gateway; the reply to the caller's next statement reports it.
   *
   * @param reason - why; part of the error that the caller receives
   */
  abort(reason: string): void {
    if (this.isEnded) return;
    this.failure ??= { code: 'aborted', text: reason };
    this.services.log.info('transaction.aborted', { route: this.grant.route.name, reason });
    this.rollback();
  }

  /** @returns the reply to a statement after the transaction has failed */
  createFailureReply(): StatementReply {
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
      const result = await this.attemptBegin(tried, deadline);
      if (result === undefined) return;
      failure = result;
      if (result.code === 'key-rejected' || this.isOverloaded) break;
      await delay(MIN_BEGIN_RETRY_DELAY_MS * (1 + random()));
    }
    this.failure ??= failure;
  }

  /**
   * Makes one attempt to begin at a member.
   *
   * @returns the error, or undefined if the transaction is open
   */
  private async attemptBegin(
    tried: Set<MemberId>,
    deadline: number,
  ): Promise<WireError | undefined> {
    const { clock, memberRegistry, grantChecker } = this.services;
    const placement = await this.choosePlacement(tried, deadline);
    const pool = placement === undefined ? undefined : memberRegistry.findPool(placement.member);
    if (placement === undefined || pool === undefined) {
      return { code: 'busy', text: 'no member can begin a transaction' };
    }
    tried.add(placement.member);
    const waitMs = deadline - clock.now();
    const acquired = await pool.acquire(createAcquireRequest(this.grant, this.state, waitMs));
    if (acquired.kind === 'refused') {
      this.isOverloaded = acquired.reason === 'overloaded' && !this.isReadOnly;
      return { code: 'busy', text: `no connection: ${acquired.reason}` };
    }
    const { connection } = acquired;
    const refusalCode = grantChecker.findRefusal(this.grant) ?? this.checkPlacement(placement);
    if (refusalCode !== undefined) {
      pool.release(connection);
      return { code: refusalCode, text: 'the key or the primary is not known to be valid' };
    }
    const command = {
      kind: 'begin' as const,
      readOnly: this.isReadOnly,
      waitFor: placement.waitFor,
    };
    const remainingMs = deadline - clock.now();
    const exchange = await connection.exchangeInSession(
      this.state,
      undefined,
      command,
      remainingMs,
    );
    if (exchange.kind === 'answered' && exchange.reply.error === undefined) {
      this.binding = { member: placement.member, pool, connection };
      return undefined;
    }
    pool.release(connection);
    if (exchange.kind === 'lost') return { code: 'busy', text: exchange.reason };
    const error = exchange.reply.error as WireError;
    if (error.code === 'lagging') memberRegistry.recordLagRefusal(placement.member);
    return error;
  }

  private async choosePlacement(
    tried: ReadonlySet<MemberId>,
    deadline: number,
  ): Promise<ReadPlacement | undefined> {
    const { clock, memberRegistry } = this.services;
    const { route } = this.grant;
    if (this.isReadOnly) {
      const requirements = {
        route,
        sessionPosition: this.state.commitPositions.get(route.group),
        stalenessPosition: memberRegistry.primaryTracker.findPositionForAge(route, this.arrivedAt),
        tried,
      };
      const placement = chooseReadMember(
        memberRegistry.listReaders(route.group),
        requirements,
        clock.now(),
      );
      if (placement !== undefined) return placement;
    }
    const member = await memberRegistry.primaryTracker.waitFor(route.group, deadline - clock.now());
    return member === undefined ? undefined : { member, waitFor: undefined };
  }

  /** @returns an error code if the primary may have changed since it was chosen */
  private checkPlacement(placement: ReadPlacement): 'busy' | undefined {
    const { clock, memberRegistry } = this.services;
    if (placement.waitFor !== undefined) return undefined;
    if (memberRegistry.primaryTracker.find(this.grant.route.group) !== placement.member) {
      return 'busy';
    }
    return memberRegistry.confirmation.mayTrustPrimary(clock.now()) ? undefined : 'busy';
  }

  private async runStatement(
    statement: DataStatement,
    deadline: number,
    isCommit = false,
  ): Promise<StatementReply> {
    const { clock, grantChecker } = this.services;
    const { connection } = this.binding as MemberBinding;
    for (;;) {
      // If the caller disconnects during the delay, other sessions may use the connection already.
      if (this.isEnded) return this.fail('aborted', 'the transaction was rolled back');
      const code = grantChecker.findRefusal(this.grant);
      if (code !== undefined) return this.fail(code, 'the key is not known to be valid');
      const { requestId, text, prepared } = statement;
      const exchange = await connection.exchangeInSession(
        this.state,
        prepared,
        { kind: 'forward', requestId, text, waitFor: undefined },
        deadline - clock.now(),
      );
      if (exchange.kind === 'lost') return this.failAfterLoss(exchange, isCommit);
      const { reply } = exchange;
      const mayRetry = reply.error?.code === 'busy' && reply.state === 'open';
      if (!mayRetry || clock.now() + BUSY_RETRY_DELAY_MS >= deadline) return this.applyReply(reply);
      await delay(BUSY_RETRY_DELAY_MS);
    }
  }

  private applyReply(reply: StatementReply): StatementReply {
    if (reply.error !== undefined && reply.state === 'failed') this.failure ??= reply.error;
    // A member that is no longer inside the transaction has rolled it back.
    if (reply.error !== undefined && reply.state === 'idle') {
      this.failure ??= reply.error;
      return { ...reply, state: 'failed' };
    }
    return reply;
  }

  private failAfterLoss(
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

  private async releaseConnection(): Promise<void> {
    const { binding } = this;
    if (binding === undefined) return;
    this.binding = undefined;
    const { pool, connection } = binding;
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
    this.idleTimer = setTimeout(() => this.abort('idle for too long'), this.idleTimeoutMs);
  }
}
