import type {
  CommitEvent,
  CommitTracker,
  CommitVerdict,
  Milliseconds,
  SessionPosition,
} from '@heatherledge/core';
import { serialize } from 'pg-protocol';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { ResponseWriter, type CallerOutput, READ_ONLY_SQLSTATE } from './response-writer.js';
import type { ConnectionLease } from './connection-lease.js';
import type { LeaseSource } from './lease-source.js';
import { findOutcome, type OutcomeKey } from './outcome-records.js';
import type { ServingContext } from './serving-context.js';

/**
 * Timeouts of a confirmation, in milliseconds: the member's own, and the connection's, which adds a
 * margin.
 */
export const CONFIRMATION_TIMEOUTS = { memberMs: 2000, connectionMs: 2300 } as const;
const COMMIT_TIMEOUT_MS = 2000;

/** Reason of a commit that the member ran as ROLLBACK, because a statement had failed. */
export const ROLLED_BACK_REASON = 'a statement of the transaction had failed';

/** SQLSTATE statement_completion_unknown: the statement may or may not have taken effect. */
const COMPLETION_UNKNOWN_SQLSTATE = '40003';

/** Commits transactions and finds out their outcome, following the steps of a {@link CommitTracker}. */
export class CommitExecutor {
  constructor(
    private readonly context: ServingContext,
    private readonly leases: LeaseSource,
  ) {}

  /**
   * Sends COMMIT, confirms it and resolves its outcome.
   *
   * @param tracker - the transaction's tracker
   * @param lease - connection with the open transaction, which is released or discarded
   * @param key - idempotency key under which the transaction is recorded, if any
   * @param deadline - time until which an unknown outcome is looked up
   * @returns the verdict on the transaction
   */
  async commit(
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
        return resolveVerdict(tracker, { kind: 'commit-refused', reason: ROLLED_BACK_REASON });
      }
    } catch (error) {
      if (!isCommitRefusal(error)) {
        return this.handleInterruption(tracker, lease, key, deadline, error);
      }
      lease.discard();
      return resolveVerdict(tracker, { kind: 'commit-refused', reason: describeError(error) });
    }
    tracker.handle({ kind: 'commit-applied' });
    return this.confirm(tracker, lease, key, deadline);
  }

  /**
   * Confirms with the member that a commit which it has applied is held by a majority.
   *
   * @param tracker - the transaction's tracker
   * @param lease - connection that has committed, which is released or discarded
   * @param key - idempotency key under which the transaction is recorded, if any
   * @param deadline - time until which an unknown outcome is looked up
   * @returns the verdict on the transaction
   */
  async confirm(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<CommitVerdict> {
    try {
      const position = await lease.connection.callFunction<SessionPosition>(
        `heatherledge.confirm(${CONFIRMATION_TIMEOUTS.memberMs})`,
        CONFIRMATION_TIMEOUTS.connectionMs,
      );
      lease.release();
      return resolveVerdict(tracker, { kind: 'confirmed', position });
    } catch (error) {
      return this.handleInterruption(tracker, lease, key, deadline, error);
    }
  }

  /**
   * Discards a connection after an error. Errors of the member or its connection also report a
   * suspicion of the primary.
   *
   * @param lease - the connection
   * @param error - the error
   */
  discardLease(lease: ConnectionLease, error: unknown): void {
    lease.discard();
    if (error instanceof ConnectionLost || error instanceof UpstreamFailure) {
      this.leases.suspectPrimary(lease.primary);
    }
  }

  private async handleInterruption(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
    error: unknown,
  ): Promise<CommitVerdict> {
    this.discardLease(lease, error);
    const step = tracker.handle({ kind: 'interrupted', reason: describeError(error) });
    if (step.kind === 'finish') return step.verdict;
    const lookup = key && (await findOutcome(key, this.leases, this.context, deadline));
    if (lookup === undefined) return resolveVerdict(tracker, { kind: 'deadline' });
    return resolveVerdict(tracker, { kind: 'looked-up', ...lookup });
  }
}

/**
 * Applies an event that ends a commit.
 *
 * @param tracker - the transaction's tracker
 * @param event - last event of the transaction
 * @returns the verdict; the outcome is unknown if the tracker still needs a look-up
 */
export function resolveVerdict(tracker: CommitTracker, event: CommitEvent): CommitVerdict {
  const step = tracker.handle(event);
  if (step.kind === 'finish') return step.verdict;
  return { kind: 'unknown', reason: 'no answer in time' };
}

/**
 * @param error - a thrown value
 * @returns its message
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

async function sendCommit(lease: ConnectionLease): Promise<string> {
  const request = { bytes: Buffer.alloc(0), hideParse: [], hideClose: [] };
  const writer = new ResponseWriter(DISCARDED_OUTPUT, request, false);
  await lease.connection.exchange(serialize.query('COMMIT'), writer, COMMIT_TIMEOUT_MS);
  if (writer.failure !== undefined) throw new UpstreamFailure(writer.failure);
  return writer.lastTag;
}

/** Output of responses that only the proxy reads. */
const DISCARDED_OUTPUT: CallerOutput = {
  write: () => true,
  waitForDrain: async () => {},
};

/**
 * Returns whether an error response to COMMIT means that the member has rolled back: integrity
 * constraint violations (23), transaction rollbacks (40) and refusals by a read-only member.
 * 40003 is excluded, because it leaves the outcome unknown.
 */
function isCommitRefusal(error: unknown): boolean {
  if (!(error instanceof UpstreamFailure)) return false;
  const { code } = error.fields;
  if (code === COMPLETION_UNKNOWN_SQLSTATE) return false;
  return code.startsWith('23') || code.startsWith('40') || code === READ_ONLY_SQLSTATE;
}
