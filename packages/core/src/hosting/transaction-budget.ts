import type { Milliseconds, OrganisationId } from '../types/ids.js';
import { computeRetryAfterMs } from './slot-request.js';

/** Fraction of the connections that one organisation's transactions may hold while others ask. */
const ORGANISATION_FRACTION = 0.5;
/** An organisation counts as asking for this long after it began, or tried to begin, a transaction. */
const ASKING_TTL_MS = 1000;
/** Fraction of the connections that transactions leave free at most, where there are few. */
const MAX_RESERVED_FRACTION = 0.5;
/** Weight of the newest transaction in the mean duration, an average of about the last ten. */
const SMOOTHING_FACTOR = 0.1;
/** Duration that is assumed before a transaction has ended. */
const DEFAULT_DURATION_MS = 100;

/** Why a transaction may not begin. */
export type TransactionRejectionCause =
  /** The organisation holds its share, and others ask. */
  | 'transaction-share'
  /** Only the connections that are left free for single statements remain. */
  | 'transaction-limit';

/** Decision on the start of a transaction. */
export type TransactionDecision =
  | { readonly kind: 'granted' }
  | {
      readonly kind: 'refused';
      readonly cause: TransactionRejectionCause;
      /** Expected time until a transaction ends that makes room, in milliseconds. */
      readonly retryAfterMs: number;
    };

interface AskingOrganisation {
  readonly organisation: OrganisationId | undefined;
  readonly at: Milliseconds;
}

/**
 * Decides which transactions may hold a connection to a member.
 *
 * Load pattern: one organisation begins transactions faster than they end, or a few clients sit idle in
 * theirs. Each holds a connection until it ends, so without a limit they take all of the 56 to 70, and
 * neither other organisations nor single statements reach the member. An organisation may hold half of
 * the connections; the other half is lent to it while no other organisation begins transactions. As
 * many connections as the member runs statements are left to single statements. Open transactions are
 * never aborted for this.
 */
export class TransactionBudget {
  private readonly openByOrganisation = new Map<OrganisationId | undefined, number>();

  private open = 0;

  /** The organisation that asked last. */
  private lastAsking: AskingOrganisation | undefined;

  /** The one that asked last among the others. */
  private otherAsking: AskingOrganisation | undefined;

  private meanDurationMs = DEFAULT_DURATION_MS;

  /** @param concurrency - statements that are sent to the member at the same time */
  constructor(private readonly concurrency: number) {}

  /**
   * Requests that a transaction may begin; if granted, `recordEnd` must follow.
   *
   * @param organisation - organisation of the transaction; undefined without a valid key
   * @param maxConnections - connections to the member that this instance may open
   * @param now - current time
   * @returns whether it may begin
   */
  request(
    organisation: OrganisationId | undefined,
    maxConnections: number,
    now: Milliseconds,
  ): TransactionDecision {
    this.recordAsking(organisation, now);
    const reserved = Math.min(this.concurrency, Math.floor(maxConnections * MAX_RESERVED_FRACTION));
    if (this.open >= maxConnections - reserved) {
      return this.refuse('transaction-limit', 1, this.open);
    }
    const own = this.openByOrganisation.get(organisation) ?? 0;
    const share = Math.max(1, Math.floor(maxConnections * ORGANISATION_FRACTION));
    if (own >= share && this.isOtherAsking(organisation, now)) {
      // It may hold more than its share, which was lent to it before others asked.
      return this.refuse('transaction-share', own - share + 1, own);
    }
    this.open += 1;
    this.openByOrganisation.set(organisation, own + 1);
    return { kind: 'granted' };
  }

  /**
   * Records that a transaction ended, or failed to begin.
   *
   * @param organisation - organisation of the transaction
   * @param durationMs - time for which it held its connection, in milliseconds
   */
  recordEnd(organisation: OrganisationId | undefined, durationMs: number): void {
    const own = this.openByOrganisation.get(organisation) ?? 0;
    if (own === 0) return;
    if (own === 1) this.openByOrganisation.delete(organisation);
    else this.openByOrganisation.set(organisation, own - 1);
    this.open -= 1;
    this.meanDurationMs += SMOOTHING_FACTOR * (durationMs - this.meanDurationMs);
  }

  private recordAsking(organisation: OrganisationId | undefined, at: Milliseconds): void {
    if (this.lastAsking !== undefined && this.lastAsking.organisation !== organisation) {
      this.otherAsking = this.lastAsking;
    }
    this.lastAsking = { organisation, at };
  }

  private isOtherAsking(organisation: OrganisationId | undefined, now: Milliseconds): boolean {
    return [this.lastAsking, this.otherAsking].some(
      (asking) =>
        asking !== undefined &&
        asking.organisation !== organisation &&
        now - asking.at < ASKING_TTL_MS,
    );
  }

  /** Expects the open transactions to end evenly over the time for which one holds its connection. */
  private refuse(
    cause: TransactionRejectionCause,
    requiredEnds: number,
    open: number,
  ): TransactionDecision {
    const retryAfterMs = computeRetryAfterMs((this.meanDurationMs * requiredEnds) / open);
    return { kind: 'refused', cause, retryAfterMs };
  }
}
