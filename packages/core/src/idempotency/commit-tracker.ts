import type { SessionPosition } from '../consistency/session-position.js';

/** Outcome of a write transaction as reported to the caller. */
export type CommitVerdict =
  | { readonly kind: 'done'; readonly position: SessionPosition | undefined }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Next step to carry out. */
export type CommitStep =
  | { readonly kind: 'send-commit' }
  /** Check that a majority holds the commit. */
  | { readonly kind: 'confirm' }
  /** Look up the outcome record. */
  | { readonly kind: 'look-up' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'finish'; readonly verdict: CommitVerdict };

/** Event that concerns the end of a write transaction. */
export type CommitEvent =
  | { readonly kind: 'commit-requested' }
  /** The member acknowledged COMMIT: the transaction is in its log. */
  | { readonly kind: 'commit-applied' }
  /** The member refused COMMIT and rolled back. */
  | { readonly kind: 'commit-refused'; readonly reason: string }
  /** A majority holds the commit, in the term in which it was written. */
  | { readonly kind: 'confirmed'; readonly position: SessionPosition }
  /** The connection ended, or no confirmation arrived in time. */
  | { readonly kind: 'interrupted'; readonly reason: string }
  /** A confirmed primary looked up the outcome record, after open transactions had ended. */
  | { readonly kind: 'looked-up'; readonly found: boolean; readonly position: SessionPosition }
  | { readonly kind: 'look-up-failed' }
  | { readonly kind: 'deadline' };

type Phase = 'open' | 'commit-sent' | 'applied' | 'looking-up' | 'finished';

const WAIT_STEP: CommitStep = { kind: 'wait' };

/**
 * Tracks one write transaction from the commit request to its outcome, and derives which outcome
 * can be reported with certainty.
 */
export class CommitTracker {
  private phase: Phase = 'open';

  private interruptionReason = 'no answer in time';

  /** @param hasRecord - whether the transaction itself stored a record under an idempotency key */
  constructor(private readonly hasRecord: boolean) {}

  /** @returns whether the outcome has been returned */
  get isFinished(): boolean {
    return this.phase === 'finished';
  }

  /**
   * Handles an event. Events that arrive after the outcome was returned are ignored.
   *
   * @param event - the event
   * @returns the next step
   */
  handle(event: CommitEvent): CommitStep {
    if (this.phase === 'finished') return WAIT_STEP;
    switch (event.kind) {
      case 'commit-requested':
        this.phase = 'commit-sent';
        return { kind: 'send-commit' };
      case 'commit-applied':
        return this.handleApplied();
      case 'commit-refused':
        return this.handleRefusal(event.reason);
      case 'confirmed':
        return this.handleConfirmed(event.position);
      case 'interrupted':
        return this.handleInterruption(event.reason);
      case 'looked-up':
        return this.handleLookUp(event.found, event.position);
      case 'look-up-failed':
        return this.phase === 'looking-up' ? { kind: 'look-up' } : WAIT_STEP;
      case 'deadline':
        return this.handleDeadline();
      default:
        return WAIT_STEP;
    }
  }

  private handleApplied(): CommitStep {
    if (this.phase !== 'commit-sent') return WAIT_STEP;
    this.phase = 'applied';
    return { kind: 'confirm' };
  }

  private handleRefusal(reason: string): CommitStep {
    // A refusal cannot undo a commit that is already in a log.
    if (this.phase !== 'commit-sent') return WAIT_STEP;
    return this.finish({ kind: 'not-run', reason });
  }

  private handleConfirmed(position: SessionPosition): CommitStep {
    // A confirmation that arrives after the connection was lost does not prove this commit.
    if (this.phase !== 'applied') return WAIT_STEP;
    return this.finish({ kind: 'done', position });
  }

  private handleInterruption(reason: string): CommitStep {
    this.interruptionReason = reason;
    if (this.phase === 'open') return this.finish({ kind: 'not-run', reason });
    if (!this.hasRecord) return this.finish({ kind: 'unknown', reason });
    this.phase = 'looking-up';
    return { kind: 'look-up' };
  }

  private handleLookUp(found: boolean, position: SessionPosition): CommitStep {
    if (this.phase !== 'looking-up') return WAIT_STEP;
    if (found) return this.finish({ kind: 'done', position });
    return this.finish({ kind: 'not-run', reason: this.interruptionReason });
  }

  private handleDeadline(): CommitStep {
    const { interruptionReason: reason } = this;
    if (this.phase === 'open') return this.finish({ kind: 'not-run', reason });
    return this.finish({ kind: 'unknown', reason });
  }

  private finish(verdict: CommitVerdict): CommitStep {
    this.phase = 'finished';
    return { kind: 'finish', verdict };
  }
}
