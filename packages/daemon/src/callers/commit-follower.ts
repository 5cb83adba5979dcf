/** Follows a commit from its sending to what may truthfully be said of it. */
import type {
  CommitEvent,
  CommitTracker,
  CommitVerdict,
  Milliseconds,
  SessionPosition,
} from '@heatherledge/core';
import { serialize } from 'pg-protocol';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { AnswerWriter, type CallerOutput, READ_ONLY_STATE } from './answer-writer.js';
import type { ConnectionLease } from './lease.js';
import type { LeaseSource } from './lease-source.js';
import { findOutcome, type OutcomeKey } from './outcome-records.js';
import type { ServingContext } from './serving-context.js';

/** Longest waits for a confirmation: the member's own, and the connection's with a margin. */
export const CONFIRM_TIMEOUTS = { memberMs: 2000, connectionMs: 2300 } as const;
/** Longest wait for the answer to COMMIT, in milliseconds. */
const COMMIT_TIMEOUT_MS = 2000;

/** Reason of a commit that the member answered with ROLLBACK, because a statement had failed. */
export const ROLLED_BACK = 'a statement of the transaction had failed';

/** SQLSTATE with which a member says that it does not know the end of a statement. */
const COMPLETION_UNKNOWN = '40003';

/** Carries out what a {@link CommitTracker} asks for. */
export class CommitFollower {
  constructor(
    private readonly context: ServingContext,
    private readonly leases: LeaseSource,
  ) {}

  /**
   * Sends COMMIT and follows it to the verdict.
   *
   * @param tracker - the transaction's tracker
   * @param lease - connection with the transaction, which is given up
   * @param key - key under which the transaction recorded itself, if any
   * @param deadline - longest wait
   * @returns what is certain
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
        return finishedVerdict(tracker, { kind: 'commit-refused', reason: ROLLED_BACK });
      }
    } catch (error) {
      if (!isCommitRefusal(error)) {
        return this.followInterruption(tracker, lease, key, deadline, error);
      }
      lease.discard();
      return finishedVerdict(tracker, { kind: 'commit-refused', reason: describeError(error) });
    }
    tracker.handle({ kind: 'commit-applied' });
    return this.confirm(tracker, lease, key, deadline);
  }

  /**
   * Follows a commit that the member has answered.
   *
   * @param tracker - the transaction's tracker
   * @param lease - connection on which it was committed, which is given up
   * @param key - key under which the transaction recorded itself, if any
   * @param deadline - longest wait
   * @returns what is certain
   */
  async confirm(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
  ): Promise<CommitVerdict> {
    try {
      const position = await lease.connection.ask<SessionPosition>(
        `heatherledge.confirm(${CONFIRM_TIMEOUTS.memberMs})`,
        CONFIRM_TIMEOUTS.connectionMs,
      );
      lease.release();
      return finishedVerdict(tracker, { kind: 'confirmed', position });
    } catch (error) {
      return this.followInterruption(tracker, lease, key, deadline, error);
    }
  }

  /**
   * Gives up a connection on which something went wrong.
   *
   * @param lease - the connection
   * @param error - what went wrong
   */
  dropLease(lease: ConnectionLease, error: unknown): void {
    lease.discard();
    if (error instanceof ConnectionLost || error instanceof UpstreamFailure) {
      this.leases.doubt(lease.primary);
    }
  }

  private async followInterruption(
    tracker: CommitTracker,
    lease: ConnectionLease,
    key: OutcomeKey | undefined,
    deadline: Milliseconds,
    error: unknown,
  ): Promise<CommitVerdict> {
    this.dropLease(lease, error);
    const step = tracker.handle({ kind: 'interrupted', reason: describeError(error) });
    if (step.kind === 'finish') return step.verdict;
    const finding = key && (await findOutcome(key, this.leases, this.context, deadline));
    if (finding === undefined) return finishedVerdict(tracker, { kind: 'deadline' });
    return finishedVerdict(tracker, { kind: 'looked-up', ...finding });
  }
}

/**
 * @param tracker - a transaction's tracker
 * @param event - last event of the transaction
 * @returns the verdict that the event leads to
 */
export function finishedVerdict(tracker: CommitTracker, event: CommitEvent): CommitVerdict {
  const step = tracker.handle(event);
  if (step.kind === 'finish') return step.verdict;
  return { kind: 'unknown', reason: 'no answer in time' };
}

/**
 * @param error - anything thrown
 * @returns its message
 */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

async function sendCommit(lease: ConnectionLease): Promise<string> {
  const request = { bytes: Buffer.alloc(0), hideParse: [], hideClose: [] };
  const sink = new AnswerWriter(NO_OUTPUT, request, false);
  await lease.connection.exchange(serialize.query('COMMIT'), sink, COMMIT_TIMEOUT_MS);
  if (sink.failure !== undefined) throw new UpstreamFailure(sink.failure);
  return sink.lastTag;
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
  if (code === COMPLETION_UNKNOWN) return false;
  return code.startsWith('23') || code.startsWith('40') || code === READ_ONLY_STATE;
}
