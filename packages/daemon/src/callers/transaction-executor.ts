/** Runs writes and transactions at the primary, and tells truthfully how they ended. */
import {
  alreadyDone,
  type CommitEvent,
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
import { serialize } from 'pg-protocol';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { AnswerWriter, type CallerOutput, READ_ONLY_STATE } from './answer-writer.js';
import type { CallerState } from './caller-state.js';
import type { ConnectionLease } from './lease.js';
import type { LeaseSource } from './lease-source.js';
import { findOutcome, type OutcomeKey, OutcomeExists, writeOutcome } from './outcome-records.js';
import { createUpstreamRequest, type RequestUnit } from './request-unit.js';
import type { ServingContext } from './serving-context.js';

/** Longest wait for a majority to hold a commit, in milliseconds. */
const CONFIRM_MS = 2000;
/** Time beyond a member's own wait after which its connection is taken for silent. */
const ANSWER_MARGIN_MS = 300;
/** Longest wait for the answer to COMMIT, in milliseconds. */
const COMMIT_TIMEOUT_MS = 2000;

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
  private open: OpenTransaction | undefined;

  private failed = false;

  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
    private readonly leases: LeaseSource,
    private readonly output: CallerOutput,
  ) {}

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
    const verdict = await this.followCommit(tracker, lease, key, deadline);
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
      this.dropLease(lease, error, writer.sink);
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
    const verdict = await this.followCommit(tracker, lease, key, deadline);
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
          `heatherledge.confirm(${CONFIRM_MS})`,
          CONFIRM_MS + ANSWER_MARGIN_MS,
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
      this.dropLease(lease, error, writer.sink);
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
    const verdict = await this.confirm(tracker, lease, key, deadline);
    this.finishVerdict(verdict, sink);
  }

  private finishVerdict(verdict: CommitVerdict, sink: AnswerWriter): void {
    if (verdict.kind !== 'done') sink.discard();
    this.settle(verdict);
    sink.complete();
  }

  private async followCommit(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<CommitVerdict> {
    tracker.handle({ kind: 'commit-requested' });
    try {
      const tag = await sendCommit(lease);
      if (tag !== 'COMMIT') {
        lease.release();
        return finishedVerdict(tracker, { kind: 'commit-refused', reason: ROLLED_BACK });
      }
    } catch (error) {
      if (isCommitRefusal(error)) {
        lease.discard();
        const reason = describeError(error);
        return finishedVerdict(tracker, { kind: 'commit-refused', reason });
      }
      return this.followInterruption(tracker, lease, key, deadline, error);
    }
    tracker.handle({ kind: 'commit-applied' });
    return this.confirm(tracker, lease, key, deadline);
  }

  private async confirm(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<CommitVerdict> {
    try {
      const position = await lease.connection.ask<SessionPosition>(
        `heatherledge.confirm(${CONFIRM_MS})`,
        CONFIRM_MS + ANSWER_MARGIN_MS,
      );
      lease.release();
      return finishedVerdict(tracker, { kind: 'confirmed', position });
    } catch (error) {
      return this.followInterruption(tracker, lease, key, deadline, error);
    }
  }

  private async followInterruption(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
    error: unknown,
  ): Promise<CommitVerdict> {
    this.dropLease(lease, error, undefined);
    const step = tracker.handle({ kind: 'interrupted', reason: describeError(error) });
    if (step.kind === 'finish') return step.verdict;
    const finding = key && (await findOutcome(key, this.leases, this.context, deadline));
    if (finding === undefined) return finishedVerdict(tracker, { kind: 'deadline' });
    return finishedVerdict(tracker, { kind: 'looked-up', ...finding });
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

  private dropLease(lease: ConnectionLease, error: unknown, sink: AnswerWriter | undefined): void {
    lease.discard();
    sink?.abandon();
    if (error instanceof ConnectionLost || error instanceof UpstreamFailure) {
      this.leases.doubt(lease.primary);
    }
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

/** Reason of a commit that the member answered with ROLLBACK, because a statement had failed. */
const ROLLED_BACK = 'a statement of the transaction had failed';

async function sendCommit(lease: ConnectionLease): Promise<string> {
  let tag = '';
  const request = { bytes: Buffer.alloc(0), hideParse: [], hideClose: [] };
  const sink = new AnswerWriter(NO_OUTPUT, request, false);
  await lease.connection.exchange(serialize.query('COMMIT'), sink, COMMIT_TIMEOUT_MS);
  if (sink.failure !== undefined) throw new UpstreamFailure(sink.failure);
  tag = sink.lastTag;
  return tag;
}

/** Output of answers that only the proxy reads. */
const NO_OUTPUT: CallerOutput = {
  write: () => true,
  drained: async () => {},
};

/** Errors with which a member answers COMMIT after having rolled back. */
function isCommitRefusal(error: unknown): boolean {
  if (!(error instanceof UpstreamFailure)) return false;
  const { code } = error.fields;
  return code.startsWith('23') || code.startsWith('40') || code === READ_ONLY_STATE;
}

function finishedVerdict(tracker: CommitTracker, event: CommitEvent): CommitVerdict {
  const step = tracker.handle(event);
  if (step.kind === 'finish') return step.verdict;
  return { kind: 'unknown', reason: 'no answer in time' };
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
