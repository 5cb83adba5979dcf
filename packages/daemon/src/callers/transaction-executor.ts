/** Runs writes and transactions at the primary, and tells truthfully how they ended. */
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
import { AnswerWriter, type CallerOutput, READ_ONLY_STATE } from './answer-writer.js';
import type { CallerState } from './caller-state.js';
import type { ConnectionLease } from './lease.js';
import type { LeaseSource } from './lease-source.js';
import {
  CommitFollower,
  CONFIRM_TIMEOUTS,
  describeError,
  finishedVerdict,
  ROLLED_BACK,
} from './commit-follower.js';
import { type OutcomeKey, OutcomeExists, writeOutcome } from './outcome-records.js';
import { createUpstreamRequest, type RequestUnit } from './request-unit.js';
import type { ServingContext } from './serving-context.js';

/** A transaction that the caller has open. */
interface OpenTransaction {
  readonly beginText: string;
  readonly key: OutcomeKey | undefined;
  /** Undefined until the first statement has been sent. */
  lease: ConnectionLease | undefined;
}

/** Raised inside to start over elsewhere; nothing has been run or shown. */
class TryElsewhere extends Error {}

/** Runs one session's writes and transactions. */
export class TransactionExecutor {
  private readonly commits: CommitFollower;

  private open: OpenTransaction | undefined;

  private failed = false;

  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
    private readonly leases: LeaseSource,
    private readonly output: CallerOutput,
  ) {
    this.commits = new CommitFollower(context, leases);
  }

  /** @returns whether the transaction has failed and nothing is left of it at a member */
  get isLost(): boolean {
    return this.failed && this.open?.lease === undefined;
  }

  /** @returns state of the caller's transaction */
  get status(): TransactionStatus {
    if (this.failed) return 'failed';
    return this.open === undefined ? 'idle' : 'transaction';
  }

  /**
   * Opens a transaction; a connection is taken with its first statement only.
   *
   * @param beginText - the caller's own BEGIN
   */
  begin(beginText: string): void {
    this.open = { beginText, key: this.takeKey(), lease: undefined };
  }

  /** Ends a transaction without effect. */
  async rollback(): Promise<void> {
    const lease = this.open?.lease;
    this.open = undefined;
    this.failed = false;
    if (lease === undefined) return;
    try {
      await lease.connection.query('ROLLBACK');
      lease.release();
    } catch {
      lease.discard();
    }
  }

  /** Lets go of everything because the caller has gone. */
  abandon(): void {
    const lease = this.open?.lease;
    this.open = undefined;
    if (lease === undefined) return;
    lease.connection.cancel();
    lease.discard();
  }

  /** Asks the member to cancel what runs in the transaction. */
  cancel(): void {
    this.open?.lease?.connection.cancel();
  }

  /**
   * Runs a request that may write, outside of a transaction.
   *
   * @param unit - the request
   * @throws ProxyError telling what is certain if it could not be finished
   */
  async runAlone(unit: RequestUnit): Promise<void> {
    const deadline = this.leases.resolveDeadline();
    const key = this.takeKey();
    await this.repeatElsewhere(deadline, async () => {
      const lease = await this.leases.acquirePrimary(deadline);
      if (key === undefined) await this.runPlain(unit, lease, deadline);
      else await this.runRecorded(unit, lease, key, deadline);
    });
    this.context.count('write');
  }

  /**
   * Runs a request inside the open transaction.
   *
   * @param unit - the request
   * @throws ProxyError if the transaction is lost
   */
  async runInside(unit: RequestUnit): Promise<void> {
    const { open } = this;
    if (open === undefined) return;
    if (open.lease !== undefined) {
      await this.runStatement(unit, open.lease, false);
      return;
    }
    const deadline = this.leases.resolveDeadline();
    try {
      await this.repeatElsewhere(deadline, async () => this.runFirst(unit, open, deadline));
    } catch (error) {
      this.failed = true;
      throw error;
    }
  }

  /**
   * Commits the open transaction.
   *
   * @returns command tag for the caller
   * @throws ProxyError telling what is certain if the commit was not confirmed
   */
  async commit(): Promise<string> {
    const { open, failed } = this;
    if (failed || open?.lease === undefined) {
      await this.rollback();
      return failed ? 'ROLLBACK' : 'COMMIT';
    }
    const { lease, key } = open;
    this.open = undefined;
    const deadline = this.leases.resolveDeadline();
    const tracker = new CommitTracker(key !== undefined);
    const verdict = await this.commits.commit(tracker, lease, key, deadline);
    if (verdict.kind === 'not-run' && verdict.reason === ROLLED_BACK) return 'ROLLBACK';
    this.settle(verdict);
    this.context.count('write');
    return 'COMMIT';
  }

  /** Notes that a refusal by the proxy has ended the transaction's chance to commit. */
  async fail(): Promise<void> {
    if (this.open === undefined) return;
    await this.rollback();
    this.open = { beginText: 'BEGIN', key: undefined, lease: undefined };
    this.failed = true;
  }

  private takeKey(): OutcomeKey | undefined {
    const { organisation, group, idempotencyKey: key } = this.state;
    this.state.idempotencyKey = undefined;
    return key === undefined ? undefined : { organisation, group, key };
  }

  private leftUntil(deadline: Milliseconds): number {
    return Math.max(1, deadline - this.context.clock.now());
  }

  private async repeatElsewhere(deadline: Milliseconds, run: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await run();
        return;
      } catch (error) {
        if (!(error instanceof TryElsewhere)) throw error;
        this.context.count('retry');
        if (this.context.clock.now() >= deadline) {
          throw ProxyError.create(primaryUnavailable, undefined);
        }
      }
    }
  }

  /** Runs a request that commits by itself. */
  private async runPlain(
    unit: RequestUnit,
    lease: ConnectionLease,
    deadline: Milliseconds,
  ): Promise<void> {
    const tracker = new CommitTracker(false);
    tracker.handle({ kind: 'commit-requested' });
    const writer = this.createWriter(unit, lease, true);
    let status: TransactionStatus;
    try {
      const { bytes } = writer.request;
      status = await lease.connection.exchange(bytes, writer.sink, this.leftUntil(deadline));
    } catch (error) {
      writer.sink.abandon();
      this.commits.dropLease(lease, error);
      this.settle(finishedVerdict(tracker, { kind: 'interrupted', reason: describeError(error) }));
      return;
    }
    if (this.wasRefusedAsReadOnly(writer.sink, lease)) throw new TryElsewhere();
    if (status !== 'idle') {
      this.adopt(lease, status);
      writer.sink.complete();
      return;
    }
    tracker.handle({ kind: 'commit-applied' });
    await this.finishAlone(tracker, lease, writer.sink, undefined, deadline);
  }

  /** Runs a request in a transaction of the proxy's own, together with its record. */
  private async runRecorded(
    unit: RequestUnit,
    lease: ConnectionLease,
    key: OutcomeKey,
    deadline: Milliseconds,
  ): Promise<void> {
    const tracker = new CommitTracker(true);
    const writer = this.createWriter(unit, lease, true);
    try {
      await lease.connection.query('BEGIN');
      await writeOutcome(lease.connection, key);
      const { bytes } = writer.request;
      await lease.connection.exchange(bytes, writer.sink, this.leftUntil(deadline));
    } catch (error) {
      await this.handleUnstarted(error, lease, writer.sink);
    }
    if (writer.sink.failure !== undefined) {
      await this.rollBackQuietly(lease);
      writer.sink.complete();
      return;
    }
    const verdict = await this.commits.commit(tracker, lease, key, deadline);
    // What surely did not run, and of which the caller has seen nothing, may run elsewhere.
    if (verdict.kind === 'not-run' && !writer.sink.hasForwarded) throw new TryElsewhere();
    this.finishVerdict(verdict, writer.sink);
  }

  private async runFirst(
    unit: RequestUnit,
    open: OpenTransaction,
    deadline: Milliseconds,
  ): Promise<void> {
    const lease = await this.leases.acquirePrimary(deadline);
    try {
      await lease.connection.query(open.beginText);
      if (open.key !== undefined) await writeOutcome(lease.connection, open.key);
    } catch (error) {
      await this.handleUnstarted(error, lease, undefined);
    }
    open.lease = lease;
    await this.runStatement(unit, lease, true);
  }

  /** Nothing was committed: whatever went wrong, the transaction has not run. */
  private async handleUnstarted(
    error: unknown,
    lease: ConnectionLease,
    sink: AnswerWriter | undefined,
  ): Promise<never> {
    if (error instanceof OutcomeExists) return this.reportRecorded(lease);
    const isReadOnly = error instanceof UpstreamFailure && error.fields.code === READ_ONLY_STATE;
    lease.discard();
    if (!isReadOnly && !(error instanceof ConnectionLost)) throw error;
    this.leases.doubt(lease.primary);
    if (sink?.hasForwarded) {
      sink.abandon();
      throw ProxyError.create(transactionLost, { reason: describeError(error) });
    }
    throw new TryElsewhere();
  }

  /** A record may stand in the unconfirmed tail of a replaced primary; only a majority tells. */
  private async reportRecorded(lease: ConnectionLease): Promise<never> {
    try {
      await lease.connection.query('ROLLBACK');
      this.state.advance(
        await lease.connection.ask<SessionPosition>(
          `heatherledge.confirm(${CONFIRM_TIMEOUTS.memberMs})`,
          CONFIRM_TIMEOUTS.connectionMs,
        ),
      );
    } catch {
      lease.discard();
      this.leases.doubt(lease.primary);
      throw new TryElsewhere();
    }
    lease.release();
    throw ProxyError.create(alreadyDone, undefined);
  }

  private async runStatement(
    unit: RequestUnit,
    lease: ConnectionLease,
    isFirst: boolean,
  ): Promise<void> {
    const writer = this.createWriter(unit, lease, isFirst);
    let status: TransactionStatus;
    try {
      const { bytes } = writer.request;
      status = await lease.connection.exchange(bytes, writer.sink, this.context.deadlineMs);
    } catch (error) {
      writer.sink.abandon();
      this.commits.dropLease(lease, error);
      if (isFirst && !writer.sink.hasForwarded) {
        this.loseLease();
        throw new TryElsewhere();
      }
      this.failed = true;
      this.loseLease();
      throw ProxyError.create(transactionLost, { reason: describeError(error) });
    }
    if (isFirst && this.wasRefusedAsReadOnly(writer.sink, lease)) {
      this.loseLease();
      throw new TryElsewhere();
    }
    this.failed = status === 'failed';
    if (status === 'idle') await this.finishInside(lease, writer.sink);
    else writer.sink.complete();
  }

  /** The request itself has ended the transaction, as in `UPDATE ...; COMMIT`. */
  private async finishInside(lease: ConnectionLease, sink: AnswerWriter): Promise<void> {
    const key = this.open?.key;
    this.open = undefined;
    const tracker = new CommitTracker(key !== undefined);
    tracker.handle({ kind: 'commit-requested' });
    tracker.handle({ kind: 'commit-applied' });
    await this.finishAlone(tracker, lease, sink, key, this.leases.resolveDeadline());
  }

  private loseLease(): void {
    if (this.open === undefined) return;
    this.open.lease?.discard();
    this.open.lease = undefined;
  }

  private async finishAlone(
    tracker: CommitTracker,
    lease: ConnectionLease,
    sink: AnswerWriter,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<void> {
    if (sink.failure !== undefined) {
      lease.release();
      sink.complete();
      return;
    }
    const verdict = await this.commits.confirm(tracker, lease, key, deadline);
    this.finishVerdict(verdict, sink);
  }

  private finishVerdict(verdict: CommitVerdict, sink: AnswerWriter): void {
    if (verdict.kind !== 'done') sink.discard();
    this.settle(verdict);
    sink.complete();
  }

  private settle(verdict: CommitVerdict): void {
    if (verdict.kind === 'done') {
      if (verdict.position !== undefined) this.state.advance(verdict.position);
      return;
    }
    const { reason } = verdict;
    const entry = verdict.kind === 'unknown' ? outcomeUnknown : transactionLost;
    throw ProxyError.create(entry, { reason });
  }

  private adopt(lease: ConnectionLease, status: TransactionStatus): void {
    this.open = { beginText: 'BEGIN', key: undefined, lease };
    this.failed = status === 'failed';
  }

  private wasRefusedAsReadOnly(sink: AnswerWriter, lease: ConnectionLease): boolean {
    if (sink.failure?.code !== READ_ONLY_STATE || sink.hasForwarded) return false;
    lease.discard();
    this.leases.doubt(lease.primary);
    return true;
  }

  private async rollBackQuietly(lease: ConnectionLease): Promise<void> {
    try {
      await lease.connection.query('ROLLBACK');
      lease.release();
    } catch {
      lease.discard();
    }
  }

  private createWriter(
    unit: RequestUnit,
    lease: ConnectionLease,
    hidesReadOnly: boolean,
  ): { sink: AnswerWriter; request: ReturnType<typeof createUpstreamRequest> } {
    const prepared = lease.connection.preparedNames;
    const request = createUpstreamRequest(unit, this.state.statements, prepared);
    return { request, sink: new AnswerWriter(this.output, request, hidesReadOnly) };
  }
}
