/** Follows the end of one write transaction and tells what may truthfully be said of it. */
import type { SessionPosition } from '../consistency/session-position.js';

/** What the caller is told. */
export type CommitVerdict =
  | { readonly kind: 'done'; readonly position: SessionPosition | undefined }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** What has to happen next. */
export type CommitStep =
  | { readonly kind: 'send-commit' }
  | { readonly kind: 'confirm' }
  | { readonly kind: 'look-up' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'finish'; readonly verdict: CommitVerdict };

/** What happened. */
export type CommitEvent =
  | { readonly kind: 'commit-requested' }
  /** The member answered COMMIT: the transaction is in its log. */
  | { readonly kind: 'commit-applied' }
  /** The member refused COMMIT and rolled back. */
  | { readonly kind: 'commit-refused'; readonly reason: string }
  /** A majority has the commit, in the term in which it was written. */
  | { readonly kind: 'confirmed'; readonly position: SessionPosition }
  /** The connection ended, or no confirmation came in time. */
  | { readonly kind: 'interrupted'; readonly reason: string }
  /** The record was looked for at a confirmed primary that waited for open transactions. */
  | { readonly kind: 'looked-up'; readonly found: boolean; readonly position: SessionPosition }
  | { readonly kind: 'look-up-failed' }
  | { readonly kind: 'deadline' };

type Phase = 'open' | 'commit-sent' | 'applied' | 'looking-up' | 'finished';

const WAIT: CommitStep = { kind: 'wait' };

/** One transaction's end, from the request to commit until the verdict. */
export class CommitTracker {
  private phase: Phase = 'open';

  private reason = 'no answer in time';

  /** @param hasRecord - whether an idempotency key was recorded in the transaction itself */
  constructor(private readonly hasRecord: boolean) {}

  /** @returns whether the verdict has been given */
  get isFinished(): boolean {
    return this.phase === 'finished';
  }

  /**
   * Takes an event; events that come late, after the verdict, change nothing.
   *
   * @param event - what happened
   * @returns what has to happen next
   */
  handle(event: CommitEvent): CommitStep {
    if (this.phase === 'finished') return WAIT;
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
        return this.phase === 'looking-up' ? { kind: 'look-up' } : WAIT;
      case 'deadline':
        return this.handleDeadline();
      default:
        return WAIT;
    }
  }

  private handleApplied(): CommitStep {
    if (this.phase !== 'commit-sent') return WAIT;
    this.phase = 'applied';
    return { kind: 'confirm' };
  }

  private handleRefusal(reason: string): CommitStep {
    // Once the commit is in a log, no refusal can take it back.
    if (this.phase !== 'commit-sent') return WAIT;
    return this.finish({ kind: 'not-run', reason });
  }

  private handleConfirmed(position: SessionPosition): CommitStep {
    // A confirmation that crossed with a lost connection says nothing about our commit.
    if (this.phase !== 'applied') return WAIT;
    return this.finish({ kind: 'done', position });
  }

  private handleInterruption(reason: string): CommitStep {
    this.reason = reason;
    if (this.phase === 'open') return this.finish({ kind: 'not-run', reason });
    if (!this.hasRecord) return this.finish({ kind: 'unknown', reason });
    this.phase = 'looking-up';
    return { kind: 'look-up' };
  }

  private handleLookUp(found: boolean, position: SessionPosition): CommitStep {
    if (this.phase !== 'looking-up') return WAIT;
    if (found) return this.finish({ kind: 'done', position });
    return this.finish({ kind: 'not-run', reason: this.reason });
  }

  private handleDeadline(): CommitStep {
    const { reason } = this;
    if (this.phase === 'open') return this.finish({ kind: 'not-run', reason });
    return this.finish({ kind: 'unknown', reason });
  }

  private finish(verdict: CommitVerdict): CommitStep {
    this.phase = 'finished';
    return { kind: 'finish', verdict };
  }
}
