import {
  alreadyDone,
  CommitTracker,
  type CommitVerdict,
  type Milliseconds,
  outcomeUnknown,
  primaryUnavailable,
  ProxyError,
  type SessionPosition,
  transactionLost,
} from '@heatherledge/core';
import type { TransactionStatus } from '@heatherledge/wire';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { ResponseWriter, type CallerOutput, READ_ONLY_SQLSTATE } from './response-writer.js';
import type { CallerState } from './caller-state.js';
import type { ConnectionLease } from './connection-lease.js';
import type { LeaseSource } from './lease-source.js';
import {
  CommitExecutor,
  CONFIRMATION_TIMEOUTS,
  describeError,
  resolveVerdict,
  ROLLED_BACK_REASON,
} from './commit-executor.js';
import { type OpenTransaction, RetryableFailure } from './open-transaction.js';
import { type OutcomeKey, OutcomeExists, writeOutcome } from './outcome-records.js';
import type { CallerRequest } from './caller-request.js';
import { createUpstreamRequest } from './request-rewriter.js';
import type { ServingContext } from './serving-context.js';

/** Runs a session's writes and transactions at the primary and reports their outcome. */
export class TransactionExecutor {
  private readonly commits: CommitExecutor;

  private openTransaction: OpenTransaction | undefined;

  private failed = false;

  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
    private readonly leases: LeaseSource,
    private readonly output: CallerOutput,
  ) {
    this.commits = new CommitExecutor(context, leases);
  }

  /** @returns whether the transaction has failed and no member holds a part of it */
  get isLost(): boolean {
    return this.failed && this.openTransaction?.lease === undefined;
  }

  /** @returns status of the caller's transaction, as ReadyForQuery reports it */
  get status(): TransactionStatus {
    if (this.failed) return 'failed';
    return this.openTransaction === undefined ? 'idle' : 'transaction';
  }

  /**
   * Opens a transaction. Its connection is acquired with the first statement.
   *
   * @param beginText - SQL text of the caller's BEGIN
   */
  begin(beginText: string): void {
    this.openTransaction = { beginText, key: this.takeIdempotencyKey(), lease: undefined };
  }

  /**
   * Gives the open transaction a key, if it has run no statement.
   *
   * @param key - idempotency key of the caller
   * @returns whether the transaction is recorded under this key
   */
  useIdempotencyKey(key: string): boolean {
    const { openTransaction } = this;
    if (openTransaction === undefined) return false;
    const { organisation, group } = this.state;
    if (openTransaction.lease === undefined) openTransaction.key ??= { organisation, group, key };
    return openTransaction.key?.key === key;
  }

  /** Rolls back the open transaction, if there is one. */
  async rollback(): Promise<void> {
    const lease = this.openTransaction?.lease;
    this.openTransaction = undefined;
    this.failed = false;
    if (lease === undefined) return;
    try {
      await lease.connection.query('ROLLBACK');
      lease.release();
    } catch {
      lease.discard();
    }
  }

  /** Cancels the open transaction and discards its connection, because the caller has disconnected. */
  abandon(): void {
    const lease = this.openTransaction?.lease;
    this.openTransaction = undefined;
    if (lease === undefined) return;
    lease.connection.cancel();
    lease.discard();
  }

  /** Cancels the statement that runs in the open transaction. */
  cancel(): void {
    this.openTransaction?.lease?.connection.cancel();
  }

  /**
   * Runs a request that may write outside of a transaction.
   *
   * @param request - the request
   * @throws ProxyError stating the known outcome if the request could not be completed
   */
  async runOutsideTransaction(request: CallerRequest): Promise<void> {
    const deadline = this.leases.computeDeadline();
    const key = this.takeIdempotencyKey();
    await this.runWithRetries(deadline, async () => {
      const lease = await this.leases.acquirePrimary(deadline);
      if (key === undefined) await this.runAutocommit(request, lease, deadline);
      else await this.runWithOutcomeRecord(request, lease, key, deadline);
    });
    this.context.countEvent('write');
  }

  /**
   * Runs a request in the open transaction.
   *
   * @param request - the request
   * @throws ProxyError if the transaction is lost
   */
  async runInTransaction(request: CallerRequest): Promise<void> {
    const { openTransaction } = this;
    if (openTransaction === undefined) return;
    if (openTransaction.lease !== undefined) {
      await this.runStatement(request, openTransaction.lease, false);
      return;
    }
    const deadline = this.leases.computeDeadline();
    try {
      await this.runWithRetries(deadline, async () =>
        this.runFirstStatement(request, openTransaction, deadline),
      );
    } catch (error) {
      this.failed = true;
      throw error;
    }
  }

  /**
   * Commits the open transaction.
   *
   * @returns command tag for the caller
   * @throws ProxyError stating the known outcome if the commit was not confirmed
   */
  async commit(): Promise<string> {
    const { openTransaction, failed } = this;
    if (failed || openTransaction?.lease === undefined) {
      await this.rollback();
      return failed ? 'ROLLBACK' : 'COMMIT';
    }
    const { lease, key } = openTransaction;
    this.openTransaction = undefined;
    const deadline = this.leases.computeDeadline();
    const tracker = new CommitTracker(key !== undefined);
    const verdict = await this.commits.commit(tracker, lease, key, deadline);
    if (verdict.kind === 'not-run' && verdict.reason === ROLLED_BACK_REASON) return 'ROLLBACK';
    this.applyVerdict(verdict);
    this.context.countEvent('write');
    return 'COMMIT';
  }

  /**
   * Rolls back the open transaction and marks it as failed, because a request in it was refused or has
   * failed.
   */
  async markFailed(): Promise<void> {
    if (this.openTransaction === undefined) return;
    await this.rollback();
    this.openTransaction = { beginText: 'BEGIN', key: undefined, lease: undefined };
    this.failed = true;
  }

  private takeIdempotencyKey(): OutcomeKey | undefined {
    const { organisation, group, idempotencyKey: key } = this.state;
    this.state.idempotencyKey = undefined;
    return key === undefined ? undefined : { organisation, group, key };
  }

  private computeRemainingMs(deadline: Milliseconds): number {
    return Math.max(1, deadline - this.context.clock.now());
  }

  /** Runs a function again after each {@link RetryableFailure}, until the deadline. */
  private async runWithRetries(deadline: Milliseconds, run: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await run();
        return;
      } catch (error) {
        if (!(error instanceof RetryableFailure)) throw error;
        this.context.countEvent('retry');
        if (this.context.clock.now() >= deadline) {
          throw ProxyError.create(primaryUnavailable, undefined);
        }
      }
    }
  }

  /** Runs a request that the member commits by itself. */
  private async runAutocommit(
    request: CallerRequest,
    lease: ConnectionLease,
    deadline: Milliseconds,
  ): Promise<void> {
    const tracker = new CommitTracker(false);
    tracker.handle({ kind: 'commit-requested' });
    const prepared = this.prepareRequest(request, lease, true);
    let status: TransactionStatus;
    try {
      status = await lease.connection.exchange(
        prepared.request.bytes,
        prepared.sink,
        this.computeRemainingMs(deadline),
      );
    } catch (error) {
      prepared.sink.discardAll();
      this.commits.discardLease(lease, error);
      this.applyVerdict(
        resolveVerdict(tracker, { kind: 'interrupted', reason: describeError(error) }),
      );
      return;
    }
    if (this.handleReadOnlyRefusal(prepared.sink, lease)) throw new RetryableFailure();
    if (status !== 'idle') {
      this.setOpenTransaction(lease, status);
      prepared.sink.complete();
      return;
    }
    tracker.handle({ kind: 'commit-applied' });
    await this.finishCommitted(tracker, lease, prepared.sink, undefined, deadline);
  }

  /** Runs a request and writes its outcome record in one transaction that the proxy opens. */
  private async runWithOutcomeRecord(
    request: CallerRequest,
    lease: ConnectionLease,
    key: OutcomeKey,
    deadline: Milliseconds,
  ): Promise<void> {
    const tracker = new CommitTracker(true);
    const prepared = this.prepareRequest(request, lease, true);
    try {
      await lease.connection.query('BEGIN');
      await writeOutcome(lease, key, 'BEGIN');
      const { bytes } = prepared.request;
      await lease.connection.exchange(bytes, prepared.sink, this.computeRemainingMs(deadline));
    } catch (error) {
      await this.handleUncommittedFailure(error, lease, prepared.sink);
    }
    if (prepared.sink.failure !== undefined) {
      await this.rollBackOrDiscard(lease);
      prepared.sink.complete();
      return;
    }
    const verdict = await this.commits.commit(tracker, lease, key, deadline);
    // A request that did not take effect can run again while none of its response was forwarded.
    if (verdict.kind === 'not-run' && !prepared.sink.hasForwarded) throw new RetryableFailure();
    this.finishWithVerdict(verdict, prepared.sink);
  }

  private async runFirstStatement(
    request: CallerRequest,
    transaction: OpenTransaction,
    deadline: Milliseconds,
  ): Promise<void> {
    const lease = await this.leases.acquirePrimary(deadline);
    try {
      await lease.connection.query(transaction.beginText);
      if (transaction.key !== undefined) {
        await writeOutcome(lease, transaction.key, transaction.beginText);
      }
    } catch (error) {
      await this.handleUncommittedFailure(error, lease, undefined);
    }
    transaction.lease = lease;
    await this.runStatement(request, lease, true);
  }

  /** Handles an error before COMMIT was sent: the transaction has taken no effect. */
  private async handleUncommittedFailure(
    error: unknown,
    lease: ConnectionLease,
    sink: ResponseWriter | undefined,
  ): Promise<never> {
    if (error instanceof OutcomeExists) return this.refuseRecordedTransaction(lease);
    const isRefusal = error instanceof UpstreamFailure && error.fields.code === READ_ONLY_SQLSTATE;
    lease.discard();
    if ((!isRefusal || this.state.isReadOnly) && !(error instanceof ConnectionLost)) throw error;
    this.leases.suspectPrimary(lease.primary);
    if (sink?.hasForwarded) {
      sink.discardAll();
      throw ProxyError.create(transactionLost, { reason: describeError(error) });
    }
    throw new RetryableFailure();
  }

  /**
   * Refuses a transaction whose idempotency key is recorded. The record may be in the unconfirmed tail
   * of the log of a replaced primary, so it counts only once the primary has confirmed its position
   * with a majority.
   */
  private async refuseRecordedTransaction(lease: ConnectionLease): Promise<never> {
    try {
      await lease.connection.query('ROLLBACK');
      this.state.advancePosition(
        await lease.connection.callFunction<SessionPosition>(
          `heatherledge.confirm(${CONFIRMATION_TIMEOUTS.memberMs})`,
          CONFIRMATION_TIMEOUTS.connectionMs,
        ),
      );
    } catch {
      lease.discard();
      this.leases.suspectPrimary(lease.primary);
      throw new RetryableFailure();
    }
    lease.release();
    throw ProxyError.create(alreadyDone, undefined);
  }

  private async runStatement(
    request: CallerRequest,
    lease: ConnectionLease,
    isFirst: boolean,
  ): Promise<void> {
    const prepared = this.prepareRequest(request, lease, isFirst);
    let status: TransactionStatus;
    try {
      const { bytes } = prepared.request;
      status = await lease.connection.exchange(bytes, prepared.sink, this.context.deadlineMs);
    } catch (error) {
      prepared.sink.discardAll();
      this.commits.discardLease(lease, error);
      if (isFirst && !prepared.sink.hasForwarded) {
        this.discardLease();
        throw new RetryableFailure();
      }
      this.failed = true;
      this.discardLease();
      throw ProxyError.create(transactionLost, { reason: describeError(error) });
    }
    if (isFirst && this.handleReadOnlyRefusal(prepared.sink, lease)) {
      this.discardLease();
      throw new RetryableFailure();
    }
    this.failed = status === 'failed';
    if (status === 'idle') await this.finishTransactionRequest(lease, prepared.sink);
    else prepared.sink.complete();
  }

  /** Finishes a request that has itself committed the transaction, as in `UPDATE ...; COMMIT`. */
  private async finishTransactionRequest(
    lease: ConnectionLease,
    sink: ResponseWriter,
  ): Promise<void> {
    const key = this.openTransaction?.key;
    this.openTransaction = undefined;
    const tracker = new CommitTracker(key !== undefined);
    tracker.handle({ kind: 'commit-requested' });
    tracker.handle({ kind: 'commit-applied' });
    await this.finishCommitted(tracker, lease, sink, key, this.leases.computeDeadline());
  }

  private discardLease(): void {
    if (this.openTransaction === undefined) return;
    this.openTransaction.lease?.discard();
    this.openTransaction.lease = undefined;
  }

  private async finishCommitted(
    tracker: CommitTracker,
    lease: ConnectionLease,
    sink: ResponseWriter,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<void> {
    if (sink.failure !== undefined) {
      lease.release();
      sink.complete();
      return;
    }
    const verdict = await this.commits.confirm(tracker, lease, key, deadline);
    this.finishWithVerdict(verdict, sink);
  }

  private finishWithVerdict(verdict: CommitVerdict, sink: ResponseWriter): void {
    if (verdict.kind !== 'done') sink.discardUnforwarded();
    this.applyVerdict(verdict);
    sink.complete();
  }

  /**
   * Advances the session's position after a confirmed commit.
   *
   * @throws ProxyError if the transaction was lost or its outcome is unknown
   */
  private applyVerdict(verdict: CommitVerdict): void {
    if (verdict.kind === 'done') {
      if (verdict.position !== undefined) this.state.advancePosition(verdict.position);
      return;
    }
    const entry = verdict.kind === 'unknown' ? outcomeUnknown : transactionLost;
    throw ProxyError.create(entry, { reason: verdict.reason });
  }

  /** Continues a transaction that a request has opened at the member, as in `BEGIN; UPDATE ...`. */
  private setOpenTransaction(lease: ConnectionLease, status: TransactionStatus): void {
    this.openTransaction = { beginText: 'BEGIN', key: undefined, lease };
    this.failed = status === 'failed';
  }

  /** @returns whether the member refused the request as read-only; its connection is then discarded */
  private handleReadOnlyRefusal(sink: ResponseWriter, lease: ConnectionLease): boolean {
    if (!sink.hasHiddenError) return false;
    lease.discard();
    this.leases.suspectPrimary(lease.primary);
    return true;
  }

  private async rollBackOrDiscard(lease: ConnectionLease): Promise<void> {
    try {
      await lease.connection.query('ROLLBACK');
      lease.release();
    } catch {
      lease.discard();
    }
  }

  private prepareRequest(
    callerRequest: CallerRequest,
    lease: ConnectionLease,
    hidesReadOnlyError: boolean,
  ): { sink: ResponseWriter; request: ReturnType<typeof createUpstreamRequest> } {
    const request = createUpstreamRequest(callerRequest, lease.connection);
    const hides = hidesReadOnlyError && !this.state.isReadOnly;
    return { request, sink: new ResponseWriter(this.output, request, hides) };
  }
}
