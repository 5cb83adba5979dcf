import {
  chooseReadMember,
  type MemberId,
  type Milliseconds,
  type ReadPlacement,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { AccessRefusal, MemberTransaction } from '../hosting/member-access.js';
import type { ExchangeResult } from '../members/member-connection.js';
import type { StatementReply, WireError } from '../ports/caller-protocol.js';
import type { Grant } from './grants.js';
import {
  findRegionRefusal,
  findTransactionRefusal,
  listAllowedReaders,
  mayReachMember,
} from './region-rules.js';
import {
  type CallerState,
  createConnectionRequest,
  createErrorReply,
  type DataStatement,
  type SessionServices,
} from './session-context.js';

/** Minimum delay before the next attempt to begin; the maximum is twice as long. */
const MIN_BEGIN_RETRY_DELAY_MS = 20;
/** Delay before a statement that the member was too busy to run is retried. */
const BUSY_RETRY_DELAY_MS = 15;

/** Runs the statements of one transaction at one member. */
export class Transaction {
  private memberTransaction: MemberTransaction | undefined;

  private member: MemberId | undefined;

  private failure: WireError | undefined;

  /** Resolves when the transaction has begun or failed to begin. */
  private readonly begun: Promise<void>;

  private hasWritten = false;

  private isEnded = false;

  /** Whether further attempts to begin would be refused as well. */
  private isRefused = false;

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
    if (this.memberTransaction === undefined || this.isEnded) return this.createFailureReply();
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
    if (this.memberTransaction === undefined || this.failure !== undefined) {
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
    void this.begun.then(() => this.memberTransaction?.end());
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

  /** Rolls back if the allowed regions have changed and leave out the member or its host. */
  checkRegions(): void {
    if (this.member === undefined || this.isEnded) return;
    const host = this.memberTransaction?.host;
    const refusal = findTransactionRefusal(this.services, this.grant, this.member, host);
    if (refusal !== undefined) this.abort(refusal.text);
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
      const access = this.isReadOnly ? 'any' : 'primary';
      const refusal = findRegionRefusal(this.services, this.grant, access);
      if (refusal !== undefined) {
        failure = refusal;
        break;
      }
      const result = await this.attemptBegin(tried, deadline);
      if (result === undefined) return;
      failure = result;
      if (result.code === 'key-rejected' || this.isRefused) break;
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
    const { clock, memberRegistry, memberAccess } = this.services;
    const placement = await this.choosePlacement(tried, deadline);
    if (placement === undefined) {
      return { code: 'busy', text: 'no member can begin a transaction' };
    }
    const { member } = placement;
    const evacuated = memberRegistry.evacuationGuard.findRefusal({ member });
    this.isRefused = evacuated !== undefined;
    if (evacuated !== undefined) return evacuated;
    tried.add(member);
    const timeoutMs = deadline - clock.now();
    const request = createConnectionRequest(placement, this.grant, this.state, timeoutMs);
    const result = await memberAccess.begin({ ...request, readOnly: this.isReadOnly });
    switch (result.kind) {
      case 'open':
        this.memberTransaction = result.transaction;
        this.member = member;
        return undefined;
      case 'refused':
        return this.handleRefusal(result, member);
      case 'lost':
        return { code: 'busy', text: result.reason };
      case 'answered': {
        const error = result.reply.error as WireError;
        if (error.code === 'lagging') memberRegistry.recordLagRefusal(member);
        return error;
      }
    }
  }

  private handleRefusal({ reason, code, text }: AccessRefusal, member: MemberId): WireError {
    const { memberRegistry } = this.services;
    this.isRefused = reason === 'overloaded' && !this.isReadOnly;
    if (reason === 'unreachable') memberRegistry.recordUnreachable(member);
    return { code, text };
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
        listAllowedReaders(this.services, this.grant),
        requirements,
        clock.now(),
      );
      if (placement !== undefined) return placement;
    }
    const member = await memberRegistry.primaryTracker.waitFor(route.group, deadline - clock.now());
    if (member === undefined || !mayReachMember(memberRegistry, this.grant, member)) {
      return undefined;
    }
    return { member, waitFor: undefined };
  }

  private async runStatement(
    statement: DataStatement,
    deadline: number,
    isCommit = false,
  ): Promise<StatementReply> {
    const { clock, grantChecker } = this.services;
    const memberTransaction = this.memberTransaction as MemberTransaction;
    for (;;) {
      this.checkRegions();
      // If the caller disconnects during the delay, other sessions may use the connection already.
      if (this.isEnded) return this.fail('aborted', this.failure?.text ?? 'rolled back');
      const code = grantChecker.findRefusal(this.grant);
      if (code !== undefined) return this.fail(code, 'the key is not known to be valid');
      const remainingMs = deadline - clock.now();
      const exchange = await memberTransaction.run(statement, this.state.values, remainingMs);
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

  private startIdleTimer(): void {
    if (this.isEnded || this.failure !== undefined) return;
    this.idleTimer = setTimeout(() => this.abort('idle for too long'), this.idleTimeoutMs);
  }
}
